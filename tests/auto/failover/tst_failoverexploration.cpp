#include "failover/failoverworld.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

/** Injects random faults into a group, and ends them again. */
class Explorer
{
public:
  Explorer(int aMembers, std::uint64_t aSeed)
    : mWorld(aMembers, aSeed, kNetwork)
    , mRandom(aSeed)
  {
    // A random moment rarely falls between a promotion and its proof.
    mWorld.mAfterAction = [this](int aHome, const KeeperAction& aAction) {
      if (std::holds_alternative<SendPromote>(aAction) && Pick(4) == 0) {
        mWorld.SetPaused(mWorld.HomeNode(aHome), true);
      }
    };
  }

  FailoverWorld& World() { return mWorld; }

  void InjectFaults(Duration aTime)
  {
    const TimePoint end = mWorld.mNow + aTime;
    while (mWorld.mNow < end && mWorld.mViolation.empty()) {
      if (Pick(3) == 0) {
        EndFaults();
        mWorld.mNetwork = kNetwork;
      }
      InjectFault();
      mWorld.RunFor(std::chrono::milliseconds(20 + Pick(1500)));
    }
  }

  void EndFaults()
  {
    mWorld.mNetwork = {};
    mWorld.mStore.mDown = false;
    for (int node = 0; node < NodeCount(); ++node) {
      EndFault(node);
      mWorld.Isolate(node, false);
    }
    for (FailoverWorld::Member& member : mWorld.mMembers) {
      member.mLagging = false;
    }
  }

private:
  /** Slow enough that requests of different homes overtake each other. */
  static constexpr NetworkSettings kNetwork{ 120, 4, 4 };

  /** @return the member that leads in the highest term, or any member */
  int Primary()
  {
    for (int i = 0; i < mWorld.MemberCount(); ++i) {
      const FailoverWorld::Member& member = mWorld.mMembers[i];
      if (member.mRole == MemberRole::Primary && member.mTerm == mWorld.HighestTerm()) {
        return i;
      }
    }
    return Pick(mWorld.MemberCount());
  }

  [[nodiscard]] int NodeCount() const { return 2 * mWorld.MemberCount(); }
  int Pick(int aCount) { return static_cast<int>(mRandom() % aCount); }

  void EndFault(int aNode)
  {
    if (mWorld.mNodes[aNode].mDead) {
      mWorld.Restart(aNode);
    }
    mWorld.SetPaused(aNode, false);
  }

  void InjectFault()
  {
    const int node = Pick(2) == 0 ? Primary() : Pick(NodeCount());
    const int other = Pick(NodeCount());
    switch (Pick(10)) {
      case 0:
      case 1:
        mWorld.SetPaused(node, true);
        break;
      case 2:
        mWorld.Kill(node);
        break;
      case 3:
        mWorld.Isolate(node, true);
        break;
      case 4:
        mWorld.SetCut(node, other, node != other);
        break;
      case 5:
        mWorld.mStore.mDown = !mWorld.mStore.mDown;
        mWorld.mStore.mLoseAnswers = Pick(3);
        break;
      case 6:
        mWorld.mMembers[Pick(mWorld.MemberCount())].mLagging = Pick(2) == 0;
        break;
      case 7:
        mWorld.Isolate(node, false);
        break;
      default:
        EndFault(node);
        EndFault(other);
        break;
    }
  }

  FailoverWorld mWorld;
  std::mt19937_64 mRandom;
};

/** @return whether a write that was sent after the faults was acknowledged in time */
bool
Recovers(FailoverWorld& aWorld)
{
  const TimePoint healed = aWorld.mNow;
  while (aWorld.mNow < healed + 7s && aWorld.mLastAcknowledgedSent <= healed) {
    aWorld.RunFor(50ms);
  }
  return aWorld.mLastAcknowledgedSent > healed;
}

void
Explore(int aMembers, std::uint64_t aFirstSeed, std::uint64_t aSeeds)
{
  std::size_t acknowledged = 0;
  std::uint64_t terms = 0;
  for (std::uint64_t seed = aFirstSeed; seed < aFirstSeed + aSeeds; ++seed) {
    CAPTURE(aMembers, seed);
    Explorer explorer(aMembers, seed);
    FailoverWorld& world = explorer.World();
    explorer.InjectFaults(20s);
    world.mAfterAction = nullptr;
    explorer.EndFaults();
    CHECK(Recovers(world));
    world.RunFor(2s);
    CHECK(world.mViolation == "");
    acknowledged += world.mAcknowledged.size();
    terms += world.HighestTerm();
  }
  // An exploration without failovers and acknowledged writes would check nothing.
  CHECK(acknowledged > 50 * aSeeds);
  CHECK(terms > 3 * aSeeds);
}

} // namespace

// Guards against a lost acknowledged write, two primaries in a term, an old primary that
// acknowledges, and a superseded view, in orders of events that no table names.
TEST_CASE("random faults break no promise", "[failover]")
{
  // Among these seeds are ones that fail without the same-term condition, the majority of
  // grants, the choice of the most advanced log, or the proof after the promotion.
  Explore(3, 5020, 18);
  Explore(5, 1001, 2);
}

// Hidden: a longer search, run by hand with a number of seeds in the environment.
TEST_CASE("many random faults break no promise", "[.][long]")
{
  const char* seeds = std::getenv("EXPLORATION_SEEDS");
  Explore(3, 5000, seeds == nullptr ? 1000 : std::strtoull(seeds, nullptr, 10));
}
