#include "proxy/connections/connectionplan.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace papayaspindle::proxy {

namespace {

// Part of the instance's share that one customer may hold by displacing others.
constexpr std::uint32_t kMaxCustomerDivisor = 2;
// Part of the share that one customer doesn't use even if no other needs it now, because
// its transactions could hold it for seconds.
constexpr std::uint32_t kReservedDivisor = 4;
// Statements that a connection can run in turn in about the time that opening a further
// one occupies a slot.
constexpr std::uint32_t kStatementsPerOpening = 3;
// Time over which the use of a member by a customer is smoothed.
constexpr double kUseSmoothingSeconds = 5;

} // namespace

double
UseRate::At(TimePoint aNow) const
{
  const double seconds =
    std::max(std::chrono::duration<double>(aNow - mUpdatedAt).count(), 0.0);
  return mPerSecond * std::exp(-seconds / kUseSmoothingSeconds);
}

void
UseRate::Add(TimePoint aNow)
{
  mPerSecond = At(aNow) + 1 / kUseSmoothingSeconds;
  mUpdatedAt = std::max(mUpdatedAt, aNow);
}

ConnectionStep
NextConnectionStep(const ConnectionDemand& aDemand)
{
  const std::uint32_t worthOpening =
    (aDemand.mWaiting + kStatementsPerOpening - 1) / kStatementsPerOpening;
  if (aDemand.mOwn.mOpening >= worthOpening) {
    return ConnectionStep::Wait;
  }
  const std::uint32_t mostOfOne = std::max(aDemand.mShare / kMaxCustomerDivisor, 1U);
  const bool mayDisplace = aDemand.mHasReplaceable && aDemand.mOwn.mOpen < mostOfOne;
  if (aDemand.mOpen >= aDemand.mCalmShare && mayDisplace) {
    return ConnectionStep::Replace;
  }
  const std::uint32_t reserved = std::max(aDemand.mShare / kReservedDivisor, 1U);
  const bool isReserved =
    aDemand.mShare > reserved && aDemand.mOwn.mOpen >= aDemand.mShare - reserved;
  return aDemand.mOpen < aDemand.mShare && !isReserved ? ConnectionStep::Open
                                                       : ConnectionStep::Wait;
}

std::size_t
ChooseReplaced(std::span<const IdleConnection> aIdle)
{
  std::size_t chosen = aIdle.size();
  double lowest = 0;
  for (std::size_t index = 0; index < aIdle.size(); index++) {
    const IdleConnection& idle = aIdle[index];
    const double uses = idle.mUsesPerSecond / idle.mIdleOfCustomer;
    if (idle.mIsReplaceable && (chosen == aIdle.size() || uses < lowest)) {
      chosen = index;
      lowest = uses;
    }
  }
  return chosen;
}

std::uint32_t
HomeSpread(double aRateShare, std::uint32_t aMaxConnections, std::uint32_t aHomes)
{
  const double homes = std::max(aHomes, 1U);
  const double connections = std::ceil(aRateShare * aMaxConnections * homes);
  return static_cast<std::uint32_t>(std::clamp(connections, 1.0, homes));
}

} // namespace papayaspindle::proxy
