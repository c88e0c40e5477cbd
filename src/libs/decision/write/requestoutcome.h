#pragma once

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/logposition.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace papayaspindle {

/** Answer of a member to a look-up of a request id in its log. */
struct FindRequestReport
{
  MemberId mMember;
  /** Term of the member when it answered. */
  std::uint64_t mTerm = 0;
  /** Last entry in the member's log when it answered. */
  LogPosition mLastPosition;
  bool mFound = false;
  /** Position of the write; valid when the request was found. */
  LogPosition mPosition;
  /** Rows changed by the write; valid when the request was found. */
  std::uint64_t mAffected = 0;
};

/** Outcome of a write. */
struct RequestOutcome
{
  Execution mExecution = Execution::Unknown;
  /** Position of the write; set when the write ran. */
  LogPosition mPosition;
  /** Rows changed by the write; set when the write ran. */
  std::uint64_t mAffected = 0;
};

/**
 * Decides the outcome of a write from the look-ups of its request id by the members.
 *
 * Reports count only together with reports of the same term T, and only by members whose
 * last log entry is of term T. If a majority of the members reports like this, the first
 * entry of T survives every failover, and so does the log before it. Two outcomes can
 * then be proved:
 * - Ran: a majority found the id. The write is an entry of T or precedes the entries of
 * T.
 * - Not run: a majority did not find the id, no counted report found it, and T is higher
 *   than every term in which the write may have been sent. A member runs a request only
 *   as the primary of the term that the request names. A write that is still under way
 *   can thus only be appended to the log of an older primary, and the next fence drops
 *   it, because it sorts before the surviving entry of T. If the majority had no entry of
 *   T, the older log could still be the longest in the next fence.
 *
 * In all other cases the outcome is unknown.
 *
 * @param aHighestSentTerm highest term in which the write may have been sent or may still
 * be sent; nothing when this term is unknown, so that "not run" cannot be proved
 * @param aMemberCount number of members of the group
 * @param aReports answers of the members in any order; a member may answer repeatedly
 */
RequestOutcome DecideOutcome(std::optional<std::uint64_t> aHighestSentTerm,
                             std::size_t aMemberCount,
                             std::span<const FindRequestReport> aReports);

} // namespace papayaspindle
