#pragma once

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/logposition.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace papayaspindle {

/** A member's answer to the look-up of a request id in its log. */
struct FindRequestReport
{
  MemberId mMember;
  /** The member's own term when it answered. */
  std::uint64_t mTerm = 0;
  /** Last entry in its log when it answered. */
  LogPosition mLast;
  bool mFound = false;
  /** Position of the write; meaningful when it was found. */
  LogPosition mPosition;
  std::uint64_t mAffected = 0;
};

/** What became of a write. */
struct RequestOutcome
{
  Execution mExecution = Execution::Unknown;
  /** Position of the write; set when it ran. */
  LogPosition mPosition;
  /** Rows that it changed; set when it ran. */
  std::uint64_t mAffected = 0;
};

/**
 * Combines the look-ups of one request id.
 *
 * Only reports of one term T count, by members whose last entry is of term T. When a
 * majority reports so, the first entry of T that they share survives every failover, and
 * so does the log before it. From this follow both proofs:
 * - Ran: each of them found the id. The write comes before or is an entry of T.
 * - Not run: none of them found the id, and T is above every term in which the write may
 *   have been sent. A member runs a request only as primary of the term that the request
 *   names, so a late send can only reach a log that an older primary still extends. Such
 *   an entry sorts before the surviving entry of T and is dropped. Without an entry of T
 *   on the majority, the older log could still be the longest in the next fence.
 *
 * Everything else is unknown.
 *
 * @param aHighestSentTerm highest term in which the write may have been sent or may yet
 * be sent; nothing when that is not known, and then no absence proves "not run"
 * @param aMemberCount members of the group
 * @param aReports answers of members, in any order, several of one member allowed
 */
RequestOutcome DecideOutcome(std::optional<std::uint64_t> aHighestSentTerm,
                             std::size_t aMemberCount,
                             std::span<const FindRequestReport> aReports);

} // namespace papayaspindle
