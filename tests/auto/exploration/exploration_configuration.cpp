#include "exploration/exploration.h"

#include <algorithm>

namespace papayaspindle::exploration {

namespace {

// Time within which a configuration in the store must be in force.
constexpr Duration kConfigurationBound = 3s;

} // namespace

void
Exploration::CheckConfigurations()
{
  if (mStore.Incarnation() == 0) {
    return;
  }
  for (const auto& [name, instance] : mInstances) {
    CheckConfiguration(*instance);
  }
}

void
Exploration::CheckConfiguration(const SimulatedInstance& aInstance)
{
  const std::string& name = aInstance.Name();
  const TimePoint now = mContext.mClock.Now();
  ReceivedConfiguration& received = mReceivedConfigurations[name];
  const std::uint64_t applied = aInstance.Core().Configuration().mVersion;
  if (received.mProcess != aInstance.Process()) {
    received = { aInstance.Process(), 0, 0, now };
  }
  if (applied < received.mApplied) {
    mContext.mJournal.Report(
      "CONFIG",
      { name },
      fmt::format(
        "{} goes back from configuration {} to {}", name, received.mApplied, applied));
  }
  received.mApplied = applied;
  const bool isReached = aInstance.IsRunning() && !aInstance.IsSuspended() &&
                         mContext.mNetwork.CanReach(name, kStoreName) && !mStore.IsAway();
  const std::uint64_t stored = mStore.Configuration()->mVersion;
  if (!isReached || received.mStored != stored) {
    received.mStored = stored;
    received.mSince = now;
    return;
  }
  if (now - received.mSince > kConfigurationBound && applied < stored) {
    mContext.mJournal.Report(
      "CONFIG",
      { name },
      fmt::format("{} has configuration {}, the store has {}", name, applied, stored));
  }
}

void
Exploration::CheckCopies()
{
  for (const auto& [name, instance] : mInstances) {
    if (instance->Core().Configuration().mVersion != mConfiguration.mVersion) {
      mContext.mJournal.Report(
        "CONFIG", { name }, name + " has not applied the newest configuration");
    }
    for (const auto& [other, otherInstance] : mInstances) {
      if (!instance->Homes().ZoneOf(other)) {
        mContext.mJournal.Report("LIST", { name }, name + " doesn't list " + other);
      }
    }
  }
}

} // namespace papayaspindle::exploration
