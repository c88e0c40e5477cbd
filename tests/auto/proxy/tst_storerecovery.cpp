// Tests of promotions under a store that returns to an older state and gives out its
// revisions again: which tokens, rows and reports of the time before still count.

#include "proxy/leadership/promotiontimes.h"
#include "proxy/leadership/storerecovery.h"
#include "storesimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

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

/** Instances with a recovery each, over a store whose rows arrive after some time. */
class RecoverySimulation
{
public:
  /** @param aGroups groups; each has four instances as homes */
  RecoverySimulation(std::size_t aInstances, std::size_t aGroups)
  {
    mGroups.resize(aInstances);
    for (std::size_t group = 0; group < aGroups; group++) {
      for (std::size_t home = 0; home < std::min<std::size_t>(4, aInstances); home++) {
        mGroups[(group * 7 + home) % aInstances].push_back("g" + std::to_string(group));
      }
    }
    for (std::size_t index = 0; index < aInstances; index++) {
      Start(index);
    }
  }

  void Start(std::size_t aIndex)
  {
    StoreRecoveryHooks hooks;
    hooks.mGroups = [this, aIndex] { return mGroups[aIndex]; };
    hooks.mWrite = [this](const ConditionalWrite& aWrite,
                          std::function<void(const WriteResult&)> aHook) {
      mWrites++;
      mTasks.emplace(mNow + 6ms, [this, aWrite, aHook] {
        aHook(mRefusesWrites ? WriteResult(StoreFailure::Refused) : Apply(aWrite));
      });
    };
    hooks.mNow = [this] { return mNow; };
    hooks.mLog =
      [this](LogLevel, std::string_view aEvent, std::initializer_list<LogField>) {
        mEvents[std::string(aEvent)]++;
      };
    mRecoveries.resize(std::max(mRecoveries.size(), aIndex + 1));
    mRecoveries[aIndex] =
      std::make_unique<StoreRecovery>("instance-" + std::to_string(aIndex), hooks);
    mRecoveries[aIndex]->OnIncarnation(mIncarnation);
    Deliver(*mRecoveries[aIndex]);
  }

  void Put(const std::string& aGroup, const LeadershipRow& aRow)
  {
    StoredRow row;
    row.mKey = LeadershipKey(aGroup);
    row.mValue = Encode(aRow);
    row.mRevision = ++mRevision;
    mRows[row.mKey] = row;
  }

  void ReturnTo(const std::map<std::string, StoredRow>& aRows, std::uint64_t aRevision)
  {
    mRows = aRows;
    mRevision = aRevision;
    mIncarnation++;
    for (const auto& recovery : mRecoveries) {
      recovery->OnIncarnation(mIncarnation);
    }
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += 10ms;
      while (!mTasks.empty() && mTasks.begin()->first <= mNow) {
        const auto task = std::move(mTasks.begin()->second);
        mTasks.erase(mTasks.begin());
        task();
      }
      for (const auto& recovery : mRecoveries) {
        Deliver(*recovery);
        recovery->OnTimer(mNow);
      }
    }
  }

  /** @return token of a group's leadership row that an instance uses; 0 for none */
  std::uint64_t UsedTokenOf(std::size_t aIndex, const std::string& aGroup) const
  {
    for (const StoredRow& row : mRecoveries[aIndex]->NewestRows(Rows())) {
      if (row.mKey == LeadershipKey(aGroup)) {
        return DecodeLeadership(row.mValue)->mToken;
      }
    }
    return 0;
  }

  std::uint64_t TokenOf(const std::string& aGroup) const
  {
    const auto found = mRows.find(LeadershipKey(aGroup));
    return found == mRows.end() ? 0 : DecodeLeadership(found->second.mValue)->mToken;
  }

  TimePoint mNow{ std::chrono::hours(1) };
  std::vector<std::vector<std::string>> mGroups;
  std::vector<std::unique_ptr<StoreRecovery>> mRecoveries;
  std::map<std::string, StoredRow> mRows;
  std::uint64_t mRevision = 0;
  std::uint64_t mIncarnation = 0;
  std::size_t mWrites = 0;
  bool mRefusesWrites = false;
  /** Number of log lines of each event. */
  std::map<std::string, std::size_t> mEvents;

private:
  std::vector<StoredRow> Rows() const
  {
    std::vector<StoredRow> rows;
    for (const auto& [key, row] : mRows) {
      rows.push_back(row);
      rows.back().mIncarnation = mIncarnation;
    }
    return rows;
  }

  void Deliver(StoreRecovery& aRecovery) const { aRecovery.OnRows(Rows(), mNow); }

  WriteResult Apply(const ConditionalWrite& aWrite)
  {
    const auto found = mRows.find(aWrite.mRow.mKey);
    const std::uint64_t revision = found == mRows.end() ? 0 : found->second.mRevision;
    if (revision != aWrite.mRow.mRevision) {
      return RowConflict{};
    }
    StoredRow row = aWrite.mRow;
    row.mRevision = ++mRevision;
    mRows[row.mKey] = row;
    return Written{ row.mRevision, 0, mIncarnation };
  }

  std::multimap<TimePoint, std::function<void()>> mTasks;
};

const LeadershipRow kSettledRow{ 10, "holder", "p", LeadershipState::Settled, "r1" };

} // namespace

TEST_CASE("a store without incarnations needs no recovery")
{
  RecoverySimulation simulation(3, 2);
  simulation.Put("g0", kSettledRow);
  simulation.Run(10s);
  REQUIRE(simulation.mRecoveries[0]->AreRowsUsable());
  REQUIRE(simulation.mWrites == 0);
  REQUIRE(simulation.mRecoveries[0]->NextTimer() == TimePoint::max());
}

// Guards against claims and leases that are based on rows which the store has lost.
TEST_CASE("the rows of a new incarnation are used once the recovery has taken its time")
{
  RecoverySimulation simulation(3, 2);
  simulation.Run(1s);
  const TimePoint returned = simulation.mNow;
  simulation.ReturnTo({}, 0);
  while (!simulation.mRecoveries[0]->AreRowsUsable()) {
    REQUIRE(simulation.mNow - returned < kRecoveryTime + 1s);
    simulation.Run(10ms);
  }
  REQUIRE(simulation.mNow - returned >= kRecoveryTime);
  SECTION("a process that starts after the recovery doesn't wait")
  {
    simulation.Start(1);
    REQUIRE(simulation.mRecoveries[1]->AreRowsUsable());
  }
  SECTION("each return needs another recovery")
  {
    simulation.ReturnTo(simulation.mRows, simulation.mRevision);
    REQUIRE_FALSE(simulation.mRecoveries[0]->AreRowsUsable());
    simulation.Run(1s);
    REQUIRE_FALSE(simulation.mRecoveries[0]->AreRowsUsable());
    simulation.Start(1);
    REQUIRE_FALSE(simulation.mRecoveries[1]->AreRowsUsable());
    simulation.Run(kRecoveryTime);
    REQUIRE(simulation.mRecoveries[0]->AreRowsUsable());
  }
}

TEST_CASE("the newest remembered leadership row is written again")
{
  struct Case
  {
    const char* mName;
    std::optional<LeadershipRow> mStored;
    bool mIsRestored;
  };
  const Case cases[] = {
    { "the row is lost", std::nullopt, true },
    { "an older claim",
      LeadershipRow{ 5, "a", "-", LeadershipState::Settled, "p" },
      true },
    { "an earlier state", LeadershipRow{ 10, "a", "p", LeadershipState::Claimed }, true },
    { "a newer claim",
      LeadershipRow{ 15, "a", "r1", LeadershipState::Calling, "r2" },
      false },
  };
  for (const Case& row : cases) {
    INFO(row.mName);
    RecoverySimulation simulation(3, 1);
    simulation.Put("g0", kSettledRow);
    simulation.Run(1s);
    simulation.ReturnTo({}, 0);
    if (row.mStored) {
      simulation.Put("g0", *row.mStored);
    }
    simulation.Run(1s);
    REQUIRE(simulation.TokenOf("g0") == (row.mIsRestored ? 10 : 15));
    REQUIRE_FALSE(simulation.mRecoveries[0]->AreRowsUsable());
    simulation.Run(3s);
    REQUIRE(simulation.mRecoveries[0]->AreRowsUsable());
  }
}

// Guards against a write of the earlier incarnation that is executed late and replaces a
// row whose revision was given out again, and against other groups that wait until the
// row is written again.
TEST_CASE("an older row that is written after the recovery is replaced and not used")
{
  RecoverySimulation simulation(3, 2);
  simulation.Put("g0", kSettledRow);
  simulation.Run(1s);
  simulation.ReturnTo({}, 0);
  simulation.Run(5s);
  simulation.Put("g0", { 5, "a", "-", LeadershipState::Claimed });
  simulation.Put("g1", { 20, "a", "-", LeadershipState::Claimed });
  simulation.mRefusesWrites = true;
  simulation.Run(20ms);
  REQUIRE(simulation.UsedTokenOf(0, "g0") == 10);
  REQUIRE(simulation.UsedTokenOf(0, "g1") == 20);
  REQUIRE(simulation.mRecoveries[0]->AreRowsUsable());
  simulation.mRefusesWrites = false;
  simulation.Run(1500ms);
  REQUIRE(simulation.TokenOf("g0") == 10);
  REQUIRE(simulation.UsedTokenOf(0, "g0") == 10);
}

// Guards against a new home that takes a group for one without a leader, because the
// homes that could have written its row again were gone.
TEST_CASE("a remembered row that the store has lost is used until it is written again")
{
  RecoverySimulation simulation(3, 2);
  simulation.Put("g0", kSettledRow);
  simulation.Run(1s);
  for (std::vector<std::string>& groups : simulation.mGroups) {
    groups = { "g1" };
  }
  simulation.ReturnTo({}, 0);
  simulation.Run(5s);
  REQUIRE(simulation.TokenOf("g0") == 0);
  REQUIRE(simulation.mRecoveries[0]->AreRowsUsable());
  simulation.mGroups[0].push_back("g0");
  REQUIRE(simulation.UsedTokenOf(0, "g0") == 10);
  simulation.Run(1s);
  REQUIRE(simulation.TokenOf("g0") == 10);
}

// Guards against a reservation that replaces the row of its own end again and again.
TEST_CASE("a reservation that becomes settled is not written again")
{
  RecoverySimulation simulation(3, 1);
  simulation.Put("g0", { 10, "holder", "-", LeadershipState::Reserved, "p" });
  simulation.Run(1s);
  simulation.ReturnTo(simulation.mRows, simulation.mRevision);
  simulation.Run(5s);
  const std::size_t writes = simulation.mWrites;
  simulation.Put("g0", { 10, "holder", "-", LeadershipState::Settled, "p" });
  simulation.Run(2s);
  REQUIRE(simulation.mWrites == writes);
  REQUIRE(simulation.mRows.at(LeadershipKey("g0")).mValue.find("settled") !=
          std::string::npos);
}

// Guards against a recovery that nobody notices: no primary is replaced until it ends.
TEST_CASE("a recovery that isn't settled in time is reported once by each home")
{
  RecoverySimulation simulation(2, 1);
  simulation.Put("g0", kSettledRow);
  simulation.Run(1s);
  simulation.mRefusesWrites = true;
  simulation.ReturnTo({}, 0);
  simulation.Run(kRecoveryWarningTime - 1s);
  REQUIRE(simulation.mEvents["recovery_unsettled"] == 0);
  simulation.Run(10s);
  REQUIRE(simulation.mEvents["recovery_unsettled"] == 2);
  REQUIRE(simulation.mRecoveries[0]->UnsettledFor(simulation.mNow) >=
          kRecoveryWarningTime);
  simulation.mRefusesWrites = false;
  simulation.Run(5s);
  REQUIRE(simulation.mRecoveries[0]->UnsettledFor(simulation.mNow) == Duration());
  REQUIRE(simulation.mEvents["recovery_unsettled"] == 2);
  simulation.ReturnTo(simulation.mRows, simulation.mRevision);
  simulation.Run(kRecoveryTime + 1s);
  REQUIRE(simulation.mEvents["recovery_unsettled"] == 2);
}

// Guards against calls of all instances at once: the store's rates are shared.
TEST_CASE("usually one home of each group writes in a deployment of 300 instances")
{
  constexpr std::size_t kGroups = 200;
  RecoverySimulation simulation(300, kGroups);
  for (std::size_t group = 0; group < kGroups; group++) {
    simulation.Put("g" + std::to_string(group), kSettledRow);
  }
  simulation.Run(100ms);
  simulation.ReturnTo({}, 0);
  simulation.Run(5s);
  for (std::size_t group = 0; group < kGroups; group++) {
    REQUIRE(simulation.TokenOf("g" + std::to_string(group)) == 10);
  }
  REQUIRE(simulation.mRecoveries[0]->AreRowsUsable());
  INFO(simulation.mWrites << " writes");
  // Less than if two homes wrote each row, and two writes of each instance.
  REQUIRE(simulation.mWrites < 2 * kGroups);
}

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

// Guards against a token that is used twice because a write of an earlier incarnation was
// executed late and has replaced the row with the newest tokens.
TEST_CASE("claims take new tokens after a late write has replaced the row of the newest")
{
  StoreSimulation simulation(4);
  simulation.mIncarnation = 3;
  simulation.Run(10s);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(8s);
  REQUIRE(simulation.mAcceptedCalls.size() == 1);
  const PromotionCall first = simulation.mAcceptedCalls.back().mCall;
  simulation.mInstances[first.mHolder].mIsFrozen = true;
  simulation.Replace(kLeadershipKey,
                     Encode(LeadershipRow{ 5, "a", "-", LeadershipState::Reserved }));
  simulation.Run(3s);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(8s);
  REQUIRE(simulation.mAcceptedCalls.size() > 1);
  REQUIRE(simulation.mAcceptedCalls.back().mCall.mToken > first.mToken);
  REQUIRE(simulation.mViolations.empty());
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

// Guards against a promotion that loses the commits of a replica which isn't listed, if
// the store has lost the row with it and the former homes are gone.
TEST_CASE("an instance that becomes a home after a return knows the earlier roster")
{
  TimePoint now{ std::chrono::hours(1) };
  std::vector<std::string> groups;
  std::vector<std::string> written;
  SharedStore store;
  store.mWrite = [&](const ConditionalWrite& aWrite,
                     const std::function<void(const WriteResult&)>&) {
    written.push_back(aWrite.mRow.mValue);
  };
  PromotionHooks hooks;
  hooks.mGroups = [&] { return groups; };
  hooks.mPrimaryHealth = [&](std::string_view, TimePoint) {
    PrimaryHealth health;
    health.mMember = "p";
    health.mIsListed = true;
    health.mLastReply = now;
    return health;
  };
  hooks.mReplicas = [](std::string_view) {
    return std::vector<MemberEntry>{ { .mId = "r2" } };
  };
  hooks.mMembers = [](std::string_view) {
    return std::vector<MemberEntry>{ { .mId = "p" }, { .mId = "r2" } };
  };
  hooks.mNewestTerm = [](std::string_view) { return 1; };
  hooks.mIsCutOff = [] { return false; };
  hooks.mIsStandby = [](std::string_view, const std::string&) { return false; };
  hooks.mSynchronousReplicas = [](std::string_view) { return 1U; };
  hooks.mSendCommand =
    [](std::string_view, const MemberCommand&, Duration, TimePoint, const StatusHook&) {};
  hooks.mNow = [&] { return now; };
  hooks.mLog = [](LogLevel, std::string_view, std::initializer_list<LogField>) {};
  PromotionCoordinator coordinator(
    "instance", LeadershipEnforcer::Instances, store, hooks);
  StoredRow roster;
  roster.mKey = ReplicaRosterKey("group");
  roster.mValue = "p r1 r2";
  roster.mRevision = 7;
  roster.mIncarnation = 3;
  coordinator.OnRows(std::vector{ roster }, now);
  coordinator.OnTimer(now);
  coordinator.OnIncarnation(4, now);
  now += 5s;
  groups = { "group" };
  coordinator.OnRows({}, now);
  coordinator.OnTimer(now);
  REQUIRE(written == std::vector<std::string>{ "p r1 r2" });
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
