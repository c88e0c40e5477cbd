#pragma once

#include "core/ids.h"
#include "core/logposition.h"
#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle {

/** A member's status reply, as far as routing needs it. */
struct MemberProgress
{
  MemberId mMember;
  /** The member's own current term. */
  std::uint64_t mTerm = 0;
  bool mIsPrimary = false;
  bool mIsLeaving = false;
  /** Last entry in the member's log. */
  LogPosition mLast;
  /** Last entry that reads can see. */
  LogPosition mApplied;
  /** From before the request was sent. */
  TimePoint mAskedAt;
};

} // namespace papayaspindle
