// Tests of promotions under a store that returns to an older state and gives out its
// revisions again: which tokens, rows and reports of the time before still count.

#include "proxy/leadership/promotiontimes.h"
#include "storesimulation.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

const std::string kLeadershipKey = LeadershipKey("group");

/** @return newest token of the stored leadership row */
std::uint64_t
StoredToken(const StoreSimulation& aSimulation)
{
  const auto found = aSimulation.mRows.find(kLeadershipKey);
  const auto row = found == aSimulation.mRows.end()
                     ? std::nullopt
                     : DecodeLeadership(found->second.mValue);
  return row ? row->mToken : 0;
}

} // namespace

// Guards against a second holder that promotes with a token of a row that the store has
// lost (review case 13).
TEST_CASE("claims after a return take tokens above all of the earlier incarnation")
{
  StoreSimulation simulation(4);
  simulation.mIncarnation = 3;
  simulation.Run(10s);
  const StoreSimulation::StoreCopy copy = simulation.CopyAt(simulation.mNow);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(4s);
  REQUIRE(simulation.mAcceptedCalls.size() == 1);
  const PromotionCall first = simulation.mAcceptedCalls.back().mCall;
  REQUIRE(first.mToken > FirstTokenBound(3));
  simulation.mInstances[first.mHolder].mIsFrozen = true;
  simulation.ReturnTo(copy);
  simulation.Run(3s);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(8s);
  REQUIRE(simulation.mIsPrimaryAlive);
  REQUIRE(simulation.mViolations.empty());
  REQUIRE(simulation.mAcceptedCalls.back().mCall.mToken > FirstTokenBound(4));
}

TEST_CASE("tokens of a store without incarnations start at one")
{
  StoreSimulation simulation(4);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(4s);
  REQUIRE(simulation.mAcceptedCalls.size() == 1);
  REQUIRE(simulation.mAcceptedCalls.back().mCall.mToken < 20);
}

TEST_CASE("tokens of each incarnation are above those of earlier ones and can be decoded")
{
  REQUIRE(FirstTokenBound(0) == 0);
  std::uint64_t previous = 0;
  for (const std::uint64_t incarnation : { 1ULL, 2ULL, 1000ULL, 1ULL << 20U }) {
    INFO(incarnation);
    REQUIRE(FirstTokenBound(incarnation) >= previous + (1ULL << 32U));
    previous = FirstTokenBound(incarnation);
  }
  for (const std::uint64_t incarnation : { 7ULL, 1ULL << 30U, ~0ULL }) {
    INFO(incarnation);
    const LeadershipRow row{ FirstTokenBound(incarnation) + 1000000, "holder" };
    REQUIRE(DecodeLeadership(Encode(row)));
  }
}

// Guards against a home that promotes with tokens that the store gives out again.
TEST_CASE("reserved tokens of an earlier incarnation are never used")
{
  StoreSimulation simulation(4);
  simulation.mIncarnation = 3;
  const StoreSimulation::StoreCopy copy = simulation.CopyAt(simulation.mNow);
  simulation.Run(12s);
  REQUIRE(StoredToken(simulation) > 0);
  simulation.ReturnTo(copy);
  simulation.SetStoreAvailable(false);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(6s);
  REQUIRE(simulation.mAcceptedCalls.empty());
}

// Guards against a claim that the store executes after its return: other rows may have
// been written with the same token.
TEST_CASE("a claim that was answered in another incarnation gives no token")
{
  std::vector<ConditionalWrite> writes;
  std::function<void(const WriteResult&)> answer;
  std::size_t calls = 0;
  std::size_t commands = 0;
  TimePoint now{ std::chrono::hours(1) };
  SharedStore store;
  store.mWrite = [&](const ConditionalWrite& aWrite,
                     std::function<void(const WriteResult&)> aHook) {
    writes.push_back(aWrite);
    answer = std::move(aHook);
  };
  store.mPromote = [&](const PromotionCall&,
                       const std::function<void(PromotionAnswer)>&) { calls++; };
  PromotionHooks hooks;
  hooks.mGroups = [] { return std::vector<std::string>{ "group" }; };
  hooks.mPrimaryHealth = [](std::string_view, TimePoint) {
    PrimaryHealth health;
    health.mMember = "p";
    health.mIsListed = true;
    health.mIsDraining = true;
    return health;
  };
  hooks.mReplicas = [](std::string_view) {
    return std::vector<MemberEntry>{ { .mId = "r1" } };
  };
  hooks.mMembers = hooks.mReplicas;
  hooks.mNewestTerm = [](std::string_view) { return 1; };
  hooks.mIsCutOff = [] { return false; };
  hooks.mIsStandby = [](std::string_view, const std::string&) { return false; };
  hooks.mSynchronousReplicas = [](std::string_view) { return 0U; };
  hooks.mSendCommand =
    [&](std::string_view, const MemberCommand&, Duration, TimePoint, const StatusHook&) {
      commands++;
    };
  hooks.mNow = [&] { return now; };
  hooks.mLog = [](LogLevel, std::string_view, std::initializer_list<LogField>) {};
  const auto enforcer =
    GENERATE(LeadershipEnforcer::Platform, LeadershipEnforcer::Instances);
  PromotionCoordinator coordinator("instance", enforcer, store, hooks);
  coordinator.OnIncarnation(3, now);
  coordinator.OnRows({}, now);
  for (int step = 0; step < 100 && writes.empty(); step++) {
    now += 10ms;
    coordinator.OnTimer(now);
  }
  REQUIRE(writes.size() == 1);
  REQUIRE(writes.front().mRow.mIncarnation == 3);
  answer(Written{ 9, 0, 4 });
  for (int step = 0; step < 500; step++) {
    now += 10ms;
    coordinator.OnTimer(now);
  }
  REQUIRE(commands == 0);
  REQUIRE(calls == 0);
}

// Guards against a report of another instance that counts a second time because the store
// has brought it back.
TEST_CASE("suspicion reports that the store brings back don't confirm a suspicion")
{
  StoreSimulation simulation(2);
  simulation.mIncarnation = 3;
  simulation.Run(10s);
  simulation.mInstances["instance-1"].mReachesPrimary = false;
  simulation.Run(60ms);
  const StoreSimulation::StoreCopy copy = simulation.CopyAt(simulation.mNow);
  REQUIRE(copy.mRows.contains(SuspicionReportKey("group", "instance-1")));
  simulation.mInstances["instance-1"].mReachesPrimary = true;
  simulation.Run(10s);
  REQUIRE(simulation.mAcceptedCalls.empty());
  simulation.ReturnTo(copy);
  simulation.Run(5s);
  simulation.ReturnTo(copy);
  simulation.mInstances["instance-1"].mIsFrozen = true;
  simulation.mInstances["instance-0"].mReachesPrimary = false;
  simulation.Run(800ms);
  REQUIRE(simulation.mAcceptedCalls.empty());
  simulation.Run(8s);
  REQUIRE(simulation.mAcceptedCalls.size() == 1);
}

// Guards against a promotion that loses the commits of a replica which isn't listed and
// whose row the store has lost.
TEST_CASE("the members in the roster before a return are written again")
{
  StoreSimulation simulation(3);
  simulation.mIncarnation = 3;
  simulation.mSynchronousReplicaCount = 1;
  const StoreSimulation::StoreCopy copy = simulation.CopyAt(simulation.mNow);
  simulation.Run(8s);
  const std::string key = ReplicaRosterKey("group");
  REQUIRE(simulation.mRows[key].mValue == "p r1 r2");
  simulation.mUnlistedReplicas = { "r1" };
  simulation.Run(100ms);
  simulation.ReturnTo(copy);
  REQUIRE_FALSE(simulation.mRows.contains(key));
  simulation.Run(8s);
  REQUIRE(simulation.mRows[key].mValue == "p r1 r2");
}

// Guards against attempts that go on with what the store has lost, and against groups
// whose rows are never written again because of the expected revisions.
TEST_CASE("a return at any moment of a promotion leaves the group with a primary")
{
  const std::uint32_t synchronous = GENERATE(0U, 1U);
  for (int moment = 0; moment < 2500; moment += 50) {
    INFO(moment << " ms after the crash, " << synchronous << " synchronous replicas");
    StoreSimulation simulation(3);
    simulation.mIncarnation = 3;
    simulation.mSynchronousReplicaCount = synchronous;
    simulation.Run(10s);
    simulation.mIsPrimaryAlive = false;
    simulation.Run(std::chrono::milliseconds(moment));
    simulation.ReturnTo(simulation.CopyAt(simulation.mNow - 1s));
    simulation.Run(16s);
    REQUIRE(simulation.mIsPrimaryAlive);
    REQUIRE(simulation.mViolations.empty());
    if (synchronous > 0) {
      REQUIRE(simulation.mPausedReplicas.empty());
    }
  }
}
