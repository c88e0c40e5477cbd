// Seeded exploration: random losses, late effects, freezes, cuts and crashes. In every
// run no token has two holders, calls reach the platform in the order of their tokens or
// are refused, and a group with living replicas has a primary again once the faults end.

#include "storeworld.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

// A short run; PAPAYASPINDLE_EXPLORATION_RUNS asks for a longer one.
constexpr std::uint64_t kDefaultRuns = 150;
constexpr int kSteps = 12;

std::uint64_t
Runs()
{
  const char* runs = std::getenv("PAPAYASPINDLE_EXPLORATION_RUNS");
  return runs == nullptr ? kDefaultRuns : std::strtoull(runs, nullptr, 10);
}

void
Disturb(StoreWorld& aWorld)
{
  for (auto& [name, instance] : aWorld.mInstances) {
    instance.mIsFrozen = aWorld.Chance() < 0.15;
    instance.mHasStore = aWorld.Chance() > 0.2;
    instance.mReachesPrimary = aWorld.Chance() > 0.3;
  }
  if (aWorld.Chance() < 0.3) {
    aWorld.mPrimaryLives = false;
  }
  aWorld.mPrimaryDrains = aWorld.Chance() < 0.1;
}

void
Calm(StoreWorld& aWorld)
{
  aWorld.mLostShare = 0;
  aWorld.mPrimaryDrains = false;
  for (auto& [name, instance] : aWorld.mInstances) {
    instance.mIsFrozen = false;
    instance.mHasStore = true;
    instance.mReachesPrimary = true;
  }
}

} // namespace

TEST_CASE(
  "no order of faults gives a token two holders or leaves a group without a primary")
{
  for (std::uint64_t seed = 1; seed <= Runs(); seed++) {
    INFO("seed " << seed);
    StoreWorld world(4, seed);
    world.mLostShare = 0.3;
    world.mLateShare = 0.5;
    for (int step = 0; step < kSteps; step++) {
      Disturb(world);
      world.Run(std::chrono::milliseconds(100 + static_cast<int>(world.Chance() * 1500)));
    }
    Calm(world);
    world.Run(12s);
    REQUIRE(world.mViolations.empty());
    REQUIRE(world.mPrimaryLives);
    std::uint64_t newest = 0;
    for (const auto& accepted : world.mAccepted) {
      REQUIRE(accepted.mCall.mToken >= newest);
      newest = accepted.mCall.mToken;
    }
  }
}

// The invariant is seen to fail when the conditional write is taken away.
TEST_CASE("tokens without a conditional write get two holders")
{
  StoreWorld world(4);
  world.mPrimaryLives = false;
  world.mHoldersOfToken[1] = { "somebody-else" };
  world.Run(4s);
  REQUIRE_FALSE(world.mViolations.empty());
}
