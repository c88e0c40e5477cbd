#pragma once

#include "core/ids.h"
#include "core/logposition.h"
#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle {

/** State of a member as reported in its status reply. */
struct MemberReport
{
  MemberId mMember;
  /** Current term of the member. */
  std::uint64_t mTerm = 0;
  /** Last entry in the member's log. */
  LogPosition mPosition;
  /** When the status was requested; the report describes the member at this time or
   * later. */
  TimePoint mRequestedAt;
};

} // namespace papayaspindle
