#pragma once

#include "core/ids.h"
#include "core/logposition.h"
#include "core/timetypes.h"

#include <chrono>
#include <cstdint>

namespace papayaspindle {

/** A member's role in its own term. */
enum class MemberRole : std::uint8_t
{
  Primary,
  Replica,
  /** The member's term was raised, and it has not been given a primary yet. */
  Fenced,
};

/** Status that a member reports about itself. */
struct MemberStatus
{
  MemberId mMember;
  std::uint64_t mTerm = 0;
  MemberRole mRole = MemberRole::Fenced;
  /** Last entry in the member's log. */
  LogPosition mLastPosition;
  /** The primary that the member follows; empty for none. */
  MemberId mPrimary;
  /** For a replica: time since it last received a message from the primary. */
  std::chrono::milliseconds mPrimarySilence{};
  /** Whether the member is leaving and must get no new work. */
  bool mLeaving = false;
  /** Time just before the status was requested; the member reported it at some later
   * time. */
  TimePoint mRequestedAt;
};

} // namespace papayaspindle
