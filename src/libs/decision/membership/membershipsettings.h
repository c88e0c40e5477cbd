#pragma once

#include <chrono>
#include <cstddef>

namespace papayaspindle {

/** Intervals and limits of the membership protocol. */
struct MembershipSettings
{
  std::chrono::milliseconds mProbeInterval{ 1000 };
  /** Time limit of a direct probe. A 500 ms pause of the target exceeds it, but the
   * target then answers during the indirect probes or the suspicion. */
  std::chrono::milliseconds mProbeTimeout{ 400 };
  /** Time limit of an indirect probe, including the helper's probe of the target. */
  std::chrono::milliseconds mIndirectTimeout{ 900 };
  /** Time from failed probes until an unresponsive instance is declared dead. */
  std::chrono::milliseconds mSuspicionTimeout{ 2000 };
  /** Time after which this instance probes an instance that a peer reported as suspect,
   * unless a refutation or a report of its death has arrived. */
  std::chrono::milliseconds mVerifyDelay{ 3000 };
  /** Time for which an unlisted dead instance stays in the table. Longer than any update
   * is in propagation, so that no old update makes the instance live again. */
  std::chrono::milliseconds mDeadRetention{ std::chrono::minutes(5) };
  std::chrono::milliseconds mAntiEntropyInterval{ 10000 };
  /** Interval between probes of dead instances of the own zone. */
  std::chrono::milliseconds mRejoinInterval{ 5000 };
  /** Time after the start in which an instance sends no probes to other zones if it has
   * peers in its own. Until it has learned about these peers, it would consider itself a
   * delegate and connect to every other zone. */
  std::chrono::milliseconds mJoinPeriod{ 5000 };
  /** A longer gap between two ticks counts as a pause of this process. */
  std::chrono::milliseconds mMaxTickGap{ 1000 };
  std::size_t mIndirectProbes = 3;
  /** Maximum number of updates in a probe or reply, without anti-entropy entries; about
   * 1 KB. */
  std::size_t mMaxPiggybackedUpdates = 12;
  /** Maximum number of table entries in an anti-entropy reply; about 140 KB. */
  std::size_t mMaxTableEntries = 2000;
  /** Maximum number of sends of an urgent update to an unresponsive instance. */
  int mMaxUrgentSends = 3;
};

} // namespace papayaspindle
