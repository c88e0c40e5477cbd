#pragma once

#include "core/ids.h"
#include "core/logposition.h"
#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle {

/** Fields of a member's status reply that routing needs. */
struct MemberProgress
{
  MemberId mMember;
  /** The member's own current term. */
  std::uint64_t mTerm = 0;
  bool mIsPrimary = false;
  bool mIsLeaving = false;
  /** Last entry in the member's log. */
  LogPosition mLastPosition;
  /** Last entry that is visible to reads. */
  LogPosition mApplied;
  /** Time just before the status request was sent. */
  TimePoint mRequestedAt;
};

} // namespace papayaspindle
