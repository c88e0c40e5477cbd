// Seeded exploration of promotions under random lost answers, late effects, freezes,
// network cuts and crashes. In every run, no token has two holders, the platform accepts
// calls only in the order of their tokens, and the group has a primary again once the
// faults end.

#include "storesimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

// Number of seeds, unless PAPAYASPINDLE_EXPLORATION_RUNS sets another one.
constexpr std::uint64_t kDefaultRuns = 150;
constexpr int kSteps = 12;

std::uint64_t
Runs()
{
  const char* runs = std::getenv("PAPAYASPINDLE_EXPLORATION_RUNS");
  return runs == nullptr ? kDefaultRuns : std::strtoull(runs, nullptr, 10);
}

void
InjectFaults(StoreSimulation& aSimulation)
{
  for (auto& [name, instance] : aSimulation.mInstances) {
    instance.mIsFrozen = aSimulation.Chance() < 0.15;
    instance.mReachesStore = aSimulation.Chance() > 0.2;
    instance.mReachesPrimary = aSimulation.Chance() > 0.3;
  }
  if (aSimulation.Chance() < 0.3) {
    aSimulation.mIsPrimaryAlive = false;
  }
  aSimulation.mIsPrimaryDraining = aSimulation.Chance() < 0.1;
}

void
EndFaults(StoreSimulation& aSimulation)
{
  aSimulation.mLostAnswerShare = 0;
  aSimulation.mIsPrimaryDraining = false;
  for (auto& [name, instance] : aSimulation.mInstances) {
    instance.mIsFrozen = false;
    instance.mReachesStore = true;
    instance.mReachesPrimary = true;
  }
}

void
RequireTokensInOrder(const StoreSimulation& aSimulation)
{
  REQUIRE(aSimulation.mViolations.empty());
  REQUIRE(aSimulation.mIsPrimaryAlive);
  std::uint64_t newest = 0;
  for (const auto& accepted : aSimulation.mAcceptedCalls) {
    REQUIRE(accepted.mCall.mToken >= newest);
    newest = accepted.mCall.mToken;
  }
}

} // namespace

TEST_CASE(
  "no order of faults gives a token two holders or leaves a group without a primary")
{
  for (std::uint64_t seed = 1; seed <= Runs(); seed++) {
    INFO("seed " << seed);
    StoreSimulation simulation(4, seed);
    simulation.mLostAnswerShare = 0.3;
    simulation.mLateEffectShare = 0.5;
    for (int step = 0; step < kSteps; step++) {
      InjectFaults(simulation);
      simulation.Run(
        std::chrono::milliseconds(100 + static_cast<int>(simulation.Chance() * 1500)));
    }
    EndFaults(simulation);
    simulation.Run(12s);
    RequireTokensInOrder(simulation);
  }
}

// Guards against claims that take tokens which the store has lost.
TEST_CASE("returns of the store to an older state give no token two holders")
{
  for (std::uint64_t seed = 1; seed <= Runs(); seed++) {
    INFO("seed " << seed);
    StoreSimulation simulation(4, seed);
    simulation.mIncarnation = 1;
    simulation.mLostAnswerShare = 0.3;
    simulation.mLateEffectShare = 0.5;
    for (int step = 0; step < kSteps; step++) {
      InjectFaults(simulation);
      if (simulation.Chance() < 0.3) {
        const auto ageMs = static_cast<int>(simulation.Chance() * 10000);
        simulation.ReturnTo(
          simulation.CopyAt(simulation.mNow - std::chrono::milliseconds(ageMs)));
      }
      if (simulation.Chance() < 0.1) {
        simulation.Restart("instance-1");
      }
      simulation.Run(
        std::chrono::milliseconds(100 + static_cast<int>(simulation.Chance() * 1500)));
    }
    EndFaults(simulation);
    simulation.Run(12s);
    RequireTokensInOrder(simulation);
  }
}

// Shows that the simulation detects a token with two holders, as can occur without the
// conditional write.
TEST_CASE("a second holder of a token is detected")
{
  StoreSimulation simulation(4);
  simulation.mIsPrimaryAlive = false;
  simulation.mTokenHolders[1] = { "somebody-else" };
  simulation.Run(4s);
  REQUIRE_FALSE(simulation.mViolations.empty());
}
