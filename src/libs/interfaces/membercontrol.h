#pragma once

#include "backend.pb.h"
#include "core/error.h"
#include "core/logposition.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace papayaspindle {

/** What a wait for a position waits for. */
enum class PositionReached : std::uint8_t
{
  /** The member's log holds the position: enough for an acknowledgement. */
  Received,
  /** Reads at the member see the position. */
  Applied,
};

/**
 * Control calls to one backend server; they use none of the group's limited connections.
 *
 * Every call blocks for at most its timeout. Errors: MemberUnreachable when the member
 * certainly did not get the call (the message starts with "refused" when the host refused
 * the connection); OutcomeUnknown when no answer arrived and the member may have acted.
 */
class MemberControl
{
public:
  virtual ~MemberControl() = default;

  /** @param aAddress "ip:port" of the member */
  virtual Result<v1::StatusReply> Status(std::string_view aAddress,
                                         std::chrono::milliseconds aTimeout) = 0;
  /**
   * @param aPosition position to wait for
   * @param aReached whether the log must hold it or reads must see it
   * @return the member's status once it has reached the position, or at the timeout
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
