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
  /** Its term was raised and no primary is known to it yet. */
  Fenced,
};

/** What a member said of itself. */
struct MemberStatus
{
  MemberId mMember;
  std::uint64_t mTerm = 0;
  MemberRole mRole = MemberRole::Fenced;
  /** Last entry in its log. */
  LogPosition mLast;
  /** Whom it follows; empty for none. */
  MemberId mPrimary;
  /** Replica: time since it last heard from the primary. */
  std::chrono::milliseconds mPrimarySilence{};
  /** It is to get no new work. */
  bool mLeaving = false;
  /** When the status was asked for: the member may have said it at any moment after. */
  TimePoint mAskedAt;
};

} // namespace papayaspindle
