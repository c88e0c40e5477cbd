#pragma once

#include "core/ids.h"
#include "core/logposition.h"
#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle {

/** What a member said of itself in a status reply. */
struct MemberReport
{
  MemberId mMember;
  /** The member's own current term. */
  std::uint64_t mTerm = 0;
  /** Last entry in the member's log. */
  LogPosition mPosition;
  /** When the report was asked for: the member may have said it at any moment after. */
  TimePoint mAskedAt;
};

} // namespace papayaspindle
