#pragma once

#include "exploration/faultplan.h"
#include "exploration/returnplan.h"

#include <cstdint>
#include <cstdlib>
#include <optional>

namespace papayaspindle::exploration {

inline std::uint64_t
NumberFromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

/** Runs the phases of a sequence until a check fails.
 *
 * @param aReturns returns of the store during the faults; nothing for none */
inline void
RunSequence(Exploration& aExploration, std::optional<ReturnPlan> aReturns = std::nullopt)
{
  constexpr Duration kStart = 3s;
  constexpr Duration kFaults = 10s;
  // Longest time from the end of all faults until each group serves writes through each
  // instance: a claim that waits for kFollowerProofLimit (8 s), the takeover of an
  // abandoned claim (2.5 s), the promotion, and the list of instances (9.6 s) that runs
  // beside them.
  constexpr Duration kRecovery = 16s;
  // After a return, the instances claim and grant leases once they have had 3 s to write
  // the leadership rows again; the store is away for up to 1.5 s before.
  constexpr Duration kReturnRecovery = 4500ms;
  // Members notice lost connections after 3 s, and idle ones are closed after some tenths
  // of a second.
  constexpr Duration kRest = 6s;

  aExploration.Run(kStart);
  FaultPlan faults(aExploration);
  faults.StartRandomFaults();
  if (aReturns) {
    aReturns->Schedule(kFaults);
  }
  const TimePoint end = aExploration.mContext.mClock.Now() + kFaults;
  while (aExploration.mContext.mClock.Now() < end && !aExploration.HasViolation()) {
    faults.InjectOne();
    aExploration.Run(aExploration.mContext.mRandom.Between(50ms, 900ms));
  }
  faults.EndAll();
  if (aReturns) {
    aReturns->End();
  }
  aExploration.mClients.mMayIdle = false;
  aExploration.Run(aReturns ? kRecovery + kReturnRecovery : kRecovery);
  if (!aExploration.HasViolation()) {
    aExploration.CheckService();
  }
  aExploration.mHasClients = false;
  aExploration.mClients.CloseAll();
  aExploration.Run(kRest);
  if (!aExploration.HasViolation()) {
    aExploration.CheckIdle();
  }
}

} // namespace papayaspindle::exploration
