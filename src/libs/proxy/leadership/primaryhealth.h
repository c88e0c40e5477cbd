#pragma once

#include "core/timetypes.h"
#include "proxy/memberreply.h"

#include <functional>
#include <optional>
#include <string>

namespace papayaspindle::proxy {

/** What this instance knows of a group's primary. */
struct PrimaryHealth
{
  /** Empty when no member calls itself primary. */
  std::string mMember;
  bool mIsDraining = false;
  /** In the directory. */
  bool mIsListed = false;
  /** Since when the member can't be reached, or refuses to lead. */
  std::optional<TimePoint> mDownSince;
  /** No replica has been fresh enough for some time, and the primary can't run all reads.
   */
  bool mIsOverloadedByLag = false;
  /** Newest log position that the member has reported. */
  std::optional<LogPosition> mPosition;
  /** When the member last answered anything. */
  TimePoint mLastReply;
};

/** Receives the answer to a status command, or nothing when there was none. */
using StatusHook = std::function<void(const std::optional<MemberReply>&)>;

} // namespace papayaspindle::proxy
