#pragma once

#include "backend.pb.h"
#include "core/error.h"
#include "core/logposition.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace papayaspindle {

/** Condition for the end of MemberControl::WaitForPosition(). */
enum class PositionReached : std::uint8_t
{
  /** The member's log contains the position, which suffices to acknowledge a write. */
  Received,
  /** Reads at the member see the write at the position. */
  Applied,
};

/**
 * Control calls to backend servers. They do not count towards the connection limit of the
 * group.
 *
 * Every call blocks for at most its timeout. Errors: MemberUnreachable when the member
 * certainly did not receive the call (the message starts with "refused" if the host
 * refused the connection); OutcomeUnknown when no answer arrived and the member may have
 * executed the call.
 */
class MemberControl
{
public:
  virtual ~MemberControl() = default;

  /** @param aAddress "ip:port" of the member */
  virtual Result<v1::StatusReply> Status(std::string_view aAddress,
                                         std::chrono::milliseconds aTimeout) = 0;
  /**
   * Waits until the member has reached a log position.
   *
   * @param aPosition position to wait for
   * @param aReached whether the log must contain the position or reads must see it
   * @return the status of the member when it has reached the position or at the timeout
   */
  virtual Result<v1::StatusReply> WaitForPosition(std::string_view aAddress,
                                                  const LogPosition& aPosition,
                                                  PositionReached aReached,
                                                  std::chrono::milliseconds aTimeout) = 0;
  virtual Result<v1::RaiseTermReply> RaiseTerm(std::string_view aAddress,
                                               const v1::RaiseTermRequest& aRequest,
                                               std::chrono::milliseconds aTimeout) = 0;
  virtual Result<v1::PromoteReply> Promote(std::string_view aAddress,
                                           const v1::PromoteRequest& aRequest,
                                           std::chrono::milliseconds aTimeout) = 0;
  virtual Result<v1::FollowReply> Follow(std::string_view aAddress,
                                         const v1::FollowRequest& aRequest,
                                         std::chrono::milliseconds aTimeout) = 0;
  virtual Result<v1::FindRequestReply> FindRequest(
    std::string_view aAddress,
    const v1::FindRequestRequest& aRequest,
    std::chrono::milliseconds aTimeout) = 0;
};

} // namespace papayaspindle
