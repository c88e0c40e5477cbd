#pragma once

#include "core/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace papayaspindle {

/** A member that can run a read. */
struct ReadOption
{
  /** Cost by which even members are ordered. */
  Duration mCost{};
  /** Cost that does not depend on how fast the member is, such as its distance. */
  Duration mFixedCost{};
  /** Expected time of the read at the member, without mFixedCost. */
  Duration mExpectedTime{};
  /** Number of statements at the member. */
  std::uint32_t mInFlight = 0;
  /** Maximum of mInFlight. */
  std::uint32_t mLimit = 1;
  /** Whether the estimate of the member needs another statement. */
  bool mNeedsProbe = false;
  /** Whether another home sends the group's reads to the member. */
  bool mIsLeftToOthers = false;
};

/**
 * Chooses the members to which a read may be sent now.
 *
 * Members that need less than 1.5 times the time and fixed cost of the best one are
 * ordered by cost. A slower member follows them, and only if waiting for a faster one is
 * expected to take longer than the slower one loses. A single member that is left to
 * another home is not chosen until the read has waited for 60 ms.
 *
 * @param aWaited how long the read has waited
 * @param aAhead returns the number of reads that run before it; called only if the
 * members are uneven
 * @return indices into aOptions, the preferred one first
 */
std::vector<std::size_t> OrderReadOptions(std::span<const ReadOption> aOptions,
                                          Duration aWaited,
                                          const std::function<std::size_t()>& aAhead);

} // namespace papayaspindle
