#include "failover/failoversimulation.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr Duration kMaxWriteGap = 7s;

template<typename Action>
bool
IsAction(const KeeperAction& aAction)
{
  return std::holds_alternative<Action>(aAction);
}

/** Injects the fault once, before home 0 carries out its first action of this type. */
template<typename Action>
void
WhenHomeZeroSends(FailoverSimulation& aSimulation,
                  const std::function<void(FailoverSimulation&)>& aFault)
{
  aSimulation.mBeforeAction =
    [&aSimulation, aFault, done = false](int aHome, const KeeperAction& aAction) mutable {
      if (aHome == 0 && !done && IsAction<Action>(aAction)) {
        done = true;
        aFault(aSimulation);
      }
    };
}

/** @return time from the fault until a write sent after it is acknowledged and the term
 * has reached aLeastTerm; 2 * kMaxWriteGap if that does not happen */
Duration
WriteGapAfter(FailoverSimulation& aSimulation, TimePoint aFault, std::uint64_t aLeastTerm)
{
  while (aSimulation.mNow < aFault + 2 * kMaxWriteGap) {
    aSimulation.RunFor(10ms);
    const bool served = aSimulation.mLastAcknowledgedSentAt > aFault &&
                        aSimulation.HighestTerm() >= aLeastTerm;
    if (served) {
      return aSimulation.mNow - aFault;
    }
  }
  return 2 * kMaxWriteGap;
}

struct FaultCase
{
  const char* mName;
  std::function<void(FailoverSimulation&)> mFault;
  std::uint64_t mLeastTerm = 2;
  /** Ends the fault after the write gap was measured. */
  std::function<void(FailoverSimulation&)> mRepair;
  int mMembers = 3;
};

using Simulation = FailoverSimulation;

std::vector<FaultCase>
FaultCases()
{
  const auto killPrimary = [](Simulation& aSimulation) { aSimulation.Kill(0); };
  const auto pausePrimary = [](Simulation& aSimulation) {
    aSimulation.SetPaused(0, true);
  };
  const auto killKeeperBefore = [=]<typename Action>(Action) {
    return [=](Simulation& aSimulation) {
      killPrimary(aSimulation);
      WhenHomeZeroSends<Action>(
        aSimulation, [](Simulation& aCurrent) { aCurrent.Kill(aCurrent.HomeNode(0)); });
    };
  };
  return {
    { "primary killed", killPrimary },
    { "primary paused, later resumed",
      pausePrimary,
      2,
      [](Simulation& aSimulation) { aSimulation.SetPaused(0, false); } },
    { "primary cut off alone",
      [](Simulation& aSimulation) { aSimulation.Isolate(0, true); },
      2,
      [](Simulation& aSimulation) { aSimulation.Isolate(0, false); } },
    { "primary cut off with its zone",
      [](Simulation& aSimulation) {
        aSimulation.Isolate(0, true, { aSimulation.HomeNode(0) });
        aSimulation.Isolate(aSimulation.HomeNode(0), true, { 0 });
      },
      2,
      [](Simulation& aSimulation) {
        aSimulation.Isolate(0, false);
        aSimulation.Isolate(aSimulation.HomeNode(0), false);
      } },
    { "table service down",
      [=](Simulation& aSimulation) {
        aSimulation.mStore.mDown = true;
        killPrimary(aSimulation);
      },
      2,
      [](Simulation& aSimulation) { aSimulation.mStore.mDown = false; } },
    { "table service slow",
      [=](Simulation& aSimulation) {
        aSimulation.mStore.mDelayMs = 6000;
        killPrimary(aSimulation);
      } },
    { "answer of the table service lost",
      [=](Simulation& aSimulation) {
        aSimulation.mStore.mAnswersToLose = 1;
        killPrimary(aSimulation);
      } },
    { "keeper paused between fence and promotion",
      [=](Simulation& aSimulation) {
        killPrimary(aSimulation);
        WhenHomeZeroSends<SendPromote>(aSimulation, [](Simulation& aCurrent) {
          aCurrent.SetPaused(aCurrent.HomeNode(0), true);
        });
      },
      3,
      [](Simulation& aSimulation) {
        aSimulation.SetPaused(aSimulation.HomeNode(0), false);
      } },
    { "second failover during the first",
      [=](Simulation& aSimulation) {
        pausePrimary(aSimulation);
        WhenHomeZeroSends<SendPromote>(aSimulation,
                                       [](Simulation& aCurrent) { aCurrent.Kill(1); });
      },
      3,
      [](Simulation& aSimulation) { aSimulation.SetPaused(0, false); },
      5 },
    { "keeper killed before it requests confirmation",
      killKeeperBefore(RequestConfirmation{}) },
    { "keeper killed before the fence", killKeeperBefore(SendRaiseTerm{}) },
    { "keeper killed before the promotion", killKeeperBefore(SendPromote{}) },
    { "keeper killed before it sends Follow", killKeeperBefore(SendFollow{}) },
    { "keeper killed before the announcement", killKeeperBefore(AnnounceView{}) },
    { "keeper killed before the record is read", killKeeperBefore(ReadRecord{}) },
    { "keeper killed before the record is written", killKeeperBefore(WriteRecord{}) },
  };
}

} // namespace

// Guards against a write gap of more than 7 s after a fault, lost writes, and members or
// homes that do not reach the new term.
TEST_CASE("a new primary acknowledges writes within 7 s of a fault", "[failover]")
{
  for (const FaultCase& row : FaultCases()) {
    CAPTURE(row.mName);
    FailoverSimulation simulation(row.mMembers, 11);
    simulation.RunFor(3s);
    REQUIRE_FALSE(simulation.mAcknowledged.empty());
    const TimePoint fault = simulation.mNow;
    row.mFault(simulation);
    const Duration gap = WriteGapAfter(simulation, fault, row.mLeastTerm);
    CHECK(gap <= kMaxWriteGap);
    simulation.mBeforeAction = nullptr;
    if (row.mRepair) {
      row.mRepair(simulation);
    }
    simulation.RunFor(8s);
    simulation.mWritesEnabled = false;
    simulation.RunFor(1s);
    CHECK(simulation.mViolation.empty());
    CHECK(simulation.mStore.mRow.mView.mTerm == simulation.HighestTerm());
    for (int i = 0; i < simulation.MemberCount(); ++i) {
      if (!simulation.mNodes[i].mDead) {
        CHECK(simulation.mMembers[i].mTerm == simulation.HighestTerm());
        CHECK(simulation.mMembers[i].mLog.size() >= simulation.mAcknowledged.size());
      }
      if (!simulation.mNodes[simulation.HomeNode(i)].mDead) {
        CHECK(simulation.mHomes[i].mView.mTerm == simulation.HighestTerm());
      }
    }
  }
}

// Guards against failovers that are caused only by a short pause, by a home that lost its
// connection to the primary, or by the loss of another member.
TEST_CASE("a healthy primary is not replaced", "[failover]")
{
  const std::vector<std::pair<const char*, std::function<void(Simulation&)>>> cases{
    { "500 ms pause of the primary",
      [](Simulation& aSimulation) {
        aSimulation.SetPaused(0, true);
        aSimulation.RunFor(500ms);
        aSimulation.SetPaused(0, false);
      } },
    { "pause of the keeper",
      [](Simulation& aSimulation) {
        aSimulation.SetPaused(aSimulation.HomeNode(0), true);
        aSimulation.RunFor(5s);
        aSimulation.SetPaused(aSimulation.HomeNode(0), false);
      } },
    { "keeper cut off from the primary only",
      [](Simulation& aSimulation) {
        aSimulation.SetLinkCut(0, aSimulation.HomeNode(0), true);
      } },
    { "another zone cut off",
      [](Simulation& aSimulation) {
        aSimulation.Isolate(1, true, { aSimulation.HomeNode(1) });
        aSimulation.Isolate(aSimulation.HomeNode(1), true, { 1 });
        aSimulation.RunFor(6s);
        aSimulation.Isolate(1, false);
        aSimulation.Isolate(aSimulation.HomeNode(1), false);
      } },
    { "replica killed", [](Simulation& aSimulation) { aSimulation.Kill(2); } },
  };
  for (const auto& [name, fault] : cases) {
    CAPTURE(name);
    FailoverSimulation simulation(3, 11);
    simulation.RunFor(3s);
    fault(simulation);
    const TimePoint after = simulation.mNow;
    simulation.RunFor(5s);
    CHECK(simulation.HighestTerm() == 1);
    CHECK(simulation.mLastAcknowledgedSentAt > after);
    CHECK(simulation.mViolation.empty());
  }
}

// Guards against new work for a leaving primary later than 3 s after it is marked.
TEST_CASE("a leaving primary is replaced once", "[failover]")
{
  FailoverSimulation simulation(3, 11);
  simulation.RunFor(3s);
  simulation.mMembers[0].mLeaving = true;
  const TimePoint marked = simulation.mNow;
  CHECK(WriteGapAfter(simulation, marked, 2) <= 3s);
  CHECK(simulation.mHomes[0].mView.mPrimary != MemberIdOf(0));
  // The only member that is not leaving is no majority, so the primary is not replaced.
  simulation.mMembers[1].mLeaving = true;
  simulation.RunFor(10s);
  CHECK(simulation.HighestTerm() == 2);
  CHECK(simulation.mViolation.empty());
}

// Guards against the loss of acknowledged writes that only the more advanced replica has.
TEST_CASE("a lagging replica is not promoted", "[failover]")
{
  for (const int behind : { 1, 2 }) {
    FailoverSimulation simulation(3, 11);
    simulation.RunFor(1s);
    simulation.mMembers[behind].mLagging = true;
    simulation.RunFor(3s);
    simulation.mMembers[behind].mLagging = false;
    simulation.Kill(0);
    const TimePoint fault = simulation.mNow;
    // Replication stopped with the primary, so the replica is still behind at the fence.
    CHECK(WriteGapAfter(simulation, fault, 2) <= kMaxWriteGap);
    CHECK(simulation.mViolation.empty());
    CHECK(simulation.mHomes[1].mView.mPrimary == MemberIdOf(behind == 1 ? 2 : 1));
  }
}

// Guards against two primaries when two homes act on the same suspicion.
TEST_CASE("two concurrent failovers end with one primary", "[failover]")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    FailoverSimulation simulation(3, seed);
    simulation.RunFor(3s);
    simulation.Kill(0);
    const TimePoint fault = simulation.mNow;
    // Home 0 is paused when it raises the term, home 1 starts a failover meanwhile, and
    // then both go on.
    WhenHomeZeroSends<SendRaiseTerm>(simulation, [](Simulation& aCurrent) {
      aCurrent.SetPaused(aCurrent.HomeNode(0), true);
    });
    simulation.RunFor(800ms + 20ms * seed);
    simulation.SetPaused(simulation.HomeNode(0), false);
    CHECK(WriteGapAfter(simulation, fault, 2) <= kMaxWriteGap);
    simulation.RunFor(3s);
    CHECK(simulation.mViolation.empty());
    CHECK(simulation.mHomes[0].mView == simulation.mHomes[1].mView);
  }
}
