#pragma once

#include <chrono>
#include <cstddef>

namespace papayaspindle {

/** Intervals and bounds of membership. */
struct MembershipSettings
{
  std::chrono::milliseconds mProbeInterval{ 1000 };
  /** A 500 ms pause of the target delays the answer past this and is then caught by the
   * indirect probes and the suspicion. */
  std::chrono::milliseconds mProbeTimeout{ 400 };
  /** Covers the helper's own probe of the target. */
  std::chrono::milliseconds mIndirectTimeout{ 900 };
  std::chrono::milliseconds mSuspicion{ 2000 };
  /** A suspicion that a peer reported is checked by an own probe after this time, when
   * neither a refutation nor a death has arrived. */
  std::chrono::milliseconds mVerifyAfter{ 3000 };
  /** Longer than any update stays under way, so that no old update revives an instance.
   */
  std::chrono::milliseconds mDeadRetention{ std::chrono::minutes(5) };
  std::chrono::milliseconds mAntiEntropyInterval{ 10000 };
  /** Between probes of dead but listed instances of the own zone. */
  std::chrono::milliseconds mRejoinInterval{ 5000 };
  /** A starting instance first gets to know its own zone; until then it would count
   * itself a delegate and connect to every other zone. */
  std::chrono::milliseconds mJoinTime{ 5000 };
  /** A longer gap between two ticks counts as a pause. */
  std::chrono::milliseconds mPauseGap{ 1000 };
  std::size_t mIndirectProbes = 3;
  /** Updates in one probe or reply, anti-entropy aside; about 1 KB. */
  std::size_t mMaxPiggyback = 12;
  /** Table entries in one anti-entropy reply; about 140 KB. */
  std::size_t mMaxTableEntries = 2000;
  /** Sends of an urgent update to one instance that does not answer. */
  int mUrgentTries = 3;
};

} // namespace papayaspindle
