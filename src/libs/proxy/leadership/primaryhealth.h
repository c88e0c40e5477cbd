#pragma once

#include "core/timetypes.h"
#include "proxy/memberreply.h"

#include <functional>
#include <optional>
#include <string>

namespace papayaspindle::proxy {

/** State of a group's primary as this instance observes it. */
struct PrimaryHealth
{
  /** Id of the primary; empty if no member reports to be the primary. */
  std::string mMember;
  bool mIsDraining = false;
  /** The directory lists the member. */
  bool mIsListed = false;
  /** Since when the member has been unreachable or has refused to lead. */
  std::optional<TimePoint> mDownSince;
  /** No replica has been fresh enough for some time, and the primary lacks the capacity
   * for all reads. */
  bool mIsOverloadedByLag = false;
  /** Newest log position that the member has reported. */
  std::optional<LogPosition> mPosition;
  /** When the member last answered any request. */
  TimePoint mLastReply;
};

/** Receives the reply to a command about a member's state, or nothing if there is none.
 */
using StatusHook = std::function<void(const std::optional<MemberReply>&)>;

} // namespace papayaspindle::proxy
