#include "failover/failoverworld.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTarget = 7s;

template<typename Action>
bool
Is(const KeeperAction& aAction)
{
  return std::holds_alternative<Action>(aAction);
}

/** Makes a fault happen when home 0 is about to carry out an action of one kind. */
template<typename Action>
void
WhenHomeZeroSends(FailoverWorld& aWorld,
                  const std::function<void(FailoverWorld&)>& aFault)
{
  aWorld.mOnAction =
    [&aWorld, aFault, done = false](int aHome, const KeeperAction& aAction) mutable {
      if (aHome == 0 && !done && Is<Action>(aAction)) {
        done = true;
        aFault(aWorld);
      }
    };
}

/** @return time until a write that was sent after the fault is acknowledged */
Duration
GapAfter(FailoverWorld& aWorld, TimePoint aFault, std::uint64_t aLeastTerm)
{
  while (aWorld.mNow < aFault + 2 * kTarget) {
    aWorld.RunFor(10ms);
    const bool served =
      aWorld.mLastAcknowledgedSent > aFault && aWorld.HighestTerm() >= aLeastTerm;
    if (served) {
      return aWorld.mNow - aFault;
    }
  }
  return 2 * kTarget;
}

struct FaultCase
{
  const char* mName;
  std::function<void(FailoverWorld&)> mFault;
  std::uint64_t mLeastTerm = 2;
  /** Ends the fault after the gap was measured. */
  std::function<void(FailoverWorld&)> mHeal;
  int mMembers = 3;
};

using World = FailoverWorld;

std::vector<FaultCase>
FaultCases()
{
  const auto killPrimary = [](World& aWorld) { aWorld.Kill(0); };
  const auto freezePrimary = [](World& aWorld) { aWorld.SetPaused(0, true); };
  const auto killKeeperAt = [=]<typename Action>(Action) {
    return [=](World& aWorld) {
      killPrimary(aWorld);
      WhenHomeZeroSends<Action>(aWorld, [](World& aNow) { aNow.Kill(aNow.HomeNode(0)); });
    };
  };
  return {
    { "primary killed", killPrimary },
    { "primary frozen, later thawed",
      freezePrimary,
      2,
      [](World& aWorld) { aWorld.SetPaused(0, false); } },
    { "primary cut off alone",
      [](World& aWorld) { aWorld.Isolate(0, true); },
      2,
      [](World& aWorld) { aWorld.Isolate(0, false); } },
    { "primary cut off with its zone",
      [](World& aWorld) {
        aWorld.Isolate(0, true, { aWorld.HomeNode(0) });
        aWorld.Isolate(aWorld.HomeNode(0), true, { 0 });
      },
      2,
      [](World& aWorld) {
        aWorld.Isolate(0, false);
        aWorld.Isolate(aWorld.HomeNode(0), false);
      } },
    { "table service down",
      [=](World& aWorld) {
        aWorld.mStore.mDown = true;
        killPrimary(aWorld);
      },
      2,
      [](World& aWorld) { aWorld.mStore.mDown = false; } },
    { "table service slow",
      [=](World& aWorld) {
        aWorld.mStore.mDelayMs = 6000;
        killPrimary(aWorld);
      } },
    { "answer of the table service lost",
      [=](World& aWorld) {
        aWorld.mStore.mLoseAnswers = 1;
        killPrimary(aWorld);
      } },
    { "keeper paused between fence and promotion",
      [=](World& aWorld) {
        killPrimary(aWorld);
        WhenHomeZeroSends<SendPromote>(
          aWorld, [](World& aNow) { aNow.SetPaused(aNow.HomeNode(0), true); });
      },
      3,
      [](World& aWorld) { aWorld.SetPaused(aWorld.HomeNode(0), false); } },
    { "second failover during the first",
      [=](World& aWorld) {
        freezePrimary(aWorld);
        WhenHomeZeroSends<SendPromote>(aWorld, [](World& aNow) { aNow.Kill(1); });
      },
      3,
      [](World& aWorld) { aWorld.SetPaused(0, false); },
      5 },
    { "keeper killed before asking", killKeeperAt(AskConfirmation{}) },
    { "keeper killed before the fence", killKeeperAt(SendRaiseTerm{}) },
    { "keeper killed before the promotion", killKeeperAt(SendPromote{}) },
    { "keeper killed before followers are told", killKeeperAt(SendFollow{}) },
    { "keeper killed before the announcement", killKeeperAt(AnnounceView{}) },
    { "keeper killed before the record is read", killKeeperAt(ReadRecord{}) },
    { "keeper killed before the record is written", killKeeperAt(WriteRecord{}) },
  };
}

} // namespace

// Guards against a gap over the target, a lost write, and members that stay apart.
TEST_CASE("a new primary takes writes within the target", "[failover]")
{
  for (const FaultCase& row : FaultCases()) {
    CAPTURE(row.mName);
    FailoverWorld world(row.mMembers, 11);
    world.RunFor(3s);
    REQUIRE_FALSE(world.mAcknowledged.empty());
    const TimePoint fault = world.mNow;
    row.mFault(world);
    const Duration gap = GapAfter(world, fault, row.mLeastTerm);
    CHECK(gap <= kTarget);
    world.mOnAction = nullptr;
    if (row.mHeal) {
      row.mHeal(world);
    }
    world.RunFor(8s);
    world.mWriting = false;
    world.RunFor(1s);
    CHECK(world.mViolation.empty());
    CHECK(world.mStore.mRow.mView.mTerm == world.HighestTerm());
    for (int i = 0; i < world.MemberCount(); ++i) {
      if (!world.mNodes[i].mDead) {
        CHECK(world.mMembers[i].mTerm == world.HighestTerm());
        CHECK(world.mMembers[i].mLog.size() >= world.mAcknowledged.size());
      }
      if (!world.mNodes[world.HomeNode(i)].mDead) {
        CHECK(world.mHomes[i].mView.mTerm == world.HighestTerm());
      }
    }
  }
}

// Guards against failovers that nothing but a short pause or a cut-off observer caused.
TEST_CASE("a healthy primary is not replaced", "[failover]")
{
  const std::vector<std::pair<const char*, std::function<void(World&)>>> cases{
    { "500 ms pause of the primary",
      [](World& aWorld) {
        aWorld.SetPaused(0, true);
        aWorld.RunFor(500ms);
        aWorld.SetPaused(0, false);
      } },
    { "pause of the keeper",
      [](World& aWorld) {
        aWorld.SetPaused(aWorld.HomeNode(0), true);
        aWorld.RunFor(5s);
        aWorld.SetPaused(aWorld.HomeNode(0), false);
      } },
    { "keeper cut off from the primary only",
      [](World& aWorld) { aWorld.SetCut(0, aWorld.HomeNode(0), true); } },
    { "another zone cut off",
      [](World& aWorld) {
        aWorld.Isolate(1, true, { aWorld.HomeNode(1) });
        aWorld.Isolate(aWorld.HomeNode(1), true, { 1 });
        aWorld.RunFor(6s);
        aWorld.Isolate(1, false);
        aWorld.Isolate(aWorld.HomeNode(1), false);
      } },
    { "replica killed", [](World& aWorld) { aWorld.Kill(2); } },
  };
  for (const auto& [name, fault] : cases) {
    CAPTURE(name);
    FailoverWorld world(3, 11);
    world.RunFor(3s);
    fault(world);
    const TimePoint after = world.mNow;
    world.RunFor(5s);
    CHECK(world.HighestTerm() == 1);
    CHECK(world.mLastAcknowledgedSent > after);
    CHECK(world.mViolation.empty());
  }
}

// Guards against new work for a primary that leaves; the target for that is 3 s.
TEST_CASE("a leaving primary is replaced once", "[failover]")
{
  FailoverWorld world(3, 11);
  world.RunFor(3s);
  world.mMembers[0].mLeaving = true;
  const TimePoint marked = world.mNow;
  CHECK(GapAfter(world, marked, 2) <= 3s);
  CHECK(world.mHomes[0].mView.mPrimary != MemberName(0));
  // The only member that stays is no majority, so nothing better can be chosen.
  world.mMembers[1].mLeaving = true;
  world.RunFor(10s);
  CHECK(world.HighestTerm() == 2);
  CHECK(world.mViolation.empty());
}

// Guards against losing acknowledged writes that only the more advanced replica holds.
TEST_CASE("a replica far behind is not chosen", "[failover]")
{
  for (const int behind : { 1, 2 }) {
    FailoverWorld world(3, 11);
    world.RunFor(1s);
    world.mMembers[behind].mLagging = true;
    world.RunFor(3s);
    world.mMembers[behind].mLagging = false;
    world.Kill(0);
    const TimePoint fault = world.mNow;
    // Replication ended with the primary, so the replica is still behind at the fence.
    CHECK(GapAfter(world, fault, 2) <= kTarget);
    CHECK(world.mViolation.empty());
    CHECK(world.mHomes[1].mView.mPrimary == MemberName(behind == 1 ? 2 : 1));
  }
}

// Guards against two primaries when two homes act on the same suspicion.
TEST_CASE("two keepers at once make one primary", "[failover]")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    FailoverWorld world(3, seed);
    world.RunFor(3s);
    world.Kill(0);
    const TimePoint fault = world.mNow;
    // Home 0 raises the term while home 1 starts, then both go on.
    WhenHomeZeroSends<SendRaiseTerm>(
      world, [](World& aNow) { aNow.SetPaused(aNow.HomeNode(0), true); });
    world.RunFor(800ms + 20ms * seed);
    world.SetPaused(world.HomeNode(0), false);
    CHECK(GapAfter(world, fault, 2) <= kTarget);
    world.RunFor(3s);
    CHECK(world.mViolation.empty());
    CHECK(world.mHomes[0].mView == world.mHomes[1].mView);
  }
}
