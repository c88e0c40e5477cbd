// Tests of the list of instances while the store returns to an older state: the list of
// each instance stays the same, and all rows are written again within seconds.

#include "instancefixture.h"

#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <utility>
#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

/** Instances that share a table, with their present lists. */
class Deployment
{
public:
  explicit Deployment(std::size_t aInstances)
  {
    mTable.mIncarnation = 3;
    mTable.mStoreTimeMs = 1'000'000;
    for (const RegisteredInstance& instance : MakeInstances(aInstances)) {
      Start(instance);
      RunFor(50ms);
    }
    RunFor(10s);
  }

  void Start(const RegisteredInstance& aInstance)
  {
    Member& member = mMembers[aInstance.mInstance];
    member.mSizes.clear();
    member.mRegistry = std::make_unique<InstanceRegistry>(
      aInstance,
      mTable.Store(),
      [this] { return mNow; },
      [&member](std::span<const RegisteredInstance> aList) {
        member.mList.assign(aList.begin(), aList.end());
        member.mSizes.insert(aList.size());
      });
  }

  void Kill(const std::string& aName) { mMembers.erase(aName); }

  void RunFor(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += 50ms) {
      mTable.mStoreTimeMs += 50;
      for (auto& [name, member] : mMembers) {
        if (member.mRegistry->NextTimer() <= mNow) {
          member.mRegistry->OnTimer(mNow);
        }
      }
    }
  }

  /** Lets the store be away for a second and return to the given state; the instances
   * learn of it by the answers to other calls. */
  void Return(const std::map<std::string, StoredRow>& aRows)
  {
    mTable.mIsUnavailable = true;
    RunFor(1s);
    mTable.mIsUnavailable = false;
    mTable.Return(aRows);
    mTable.mWrites.clear();
    for (auto& [name, member] : mMembers) {
      member.mSizes = { member.mList.size() };
      member.mRegistry->OnIncarnation(mTable.mIncarnation, mNow);
    }
  }

  struct Member
  {
    std::unique_ptr<InstanceRegistry> mRegistry;
    std::vector<RegisteredInstance> mList;
    /** Sizes of the lists since the store's return. */
    std::set<std::size_t> mSizes;
  };

  TimePoint mNow{ 1h };
  FakeTable mTable;
  std::map<std::string, Member> mMembers;
};

std::string
Row(const std::string& aState, const std::string& aWritten)
{
  return "zone-1 10.0.0.9:7441 1 " + aState + " " + aWritten;
}

/** A registry and the row of another instance that the test writes. */
struct OtherRow
{
  OtherRow()
    : mRegistry(
        MakeInstances(1)[0],
        mTable.Store(),
        [this] { return mNow; },
        [this](std::span<const RegisteredInstance> aList) {
          mList.assign(aList.begin(), aList.end());
        })
  {
    mTable.mIncarnation = 3;
    mTable.mStoreTimeMs = 100'000;
  }

  void Write(const std::string& aValue)
  {
    mTable.mRows["other"] = {
      std::string(kInstanceTable), "other", aValue, ++mTable.mRevision
    };
  }

  void Read()
  {
    mNow += 3s;
    mTable.mStoreTimeMs += 3'000;
    mRegistry.OnTimer(mNow);
  }

  [[nodiscard]] bool IsListed() const { return mList.size() == 2; }

  FakeTable mTable;
  TimePoint mNow{ 1h };
  std::vector<RegisteredInstance> mList;
  InstanceRegistry mRegistry;
};

} // namespace

// Guards against instances that never write their rows again, because the store has given
// out lower revisions: each then was the only limiter of all customers.
TEST_CASE("a return of the store changes no list of instances")
{
  const auto instances = GENERATE(2U, 6U, 12U);
  const auto lost = GENERATE(1s, 5s, 30s);
  const auto returns = GENERATE(1, 2);
  CAPTURE(instances, lost.count(), returns);
  Deployment deployment(instances);
  deployment.RunFor(10s);
  const auto copy = deployment.mTable.mRows;
  deployment.RunFor(lost);
  for (int count = 0; count < returns; count++) {
    deployment.Return(copy);
    deployment.RunFor(1s);
    // All rows are written again within a second, and once each.
    REQUIRE(deployment.mTable.mWrites.size() == instances);
    for (const auto& [name, writes] : deployment.mTable.mWrites) {
      REQUIRE(writes <= 2);
    }
  }
  deployment.RunFor(60s);
  for (const auto& [name, member] : deployment.mMembers) {
    INFO(name);
    REQUIRE(member.mSizes == std::set<std::size_t>{ instances });
  }
}

// Guards against a list that collapses because the rows' lifetimes have ended while the
// store was away.
TEST_CASE("instances that were listed before a long absence of the store stay listed")
{
  Deployment deployment(6);
  const auto copy = deployment.mTable.mRows;
  deployment.mTable.mIsUnavailable = true;
  deployment.RunFor(15s);
  deployment.Return(copy);
  deployment.RunFor(30s);
  for (const auto& [name, member] : deployment.mMembers) {
    REQUIRE(member.mSizes == std::set<std::size_t>{ 6 });
  }
}

// Guards against a list with an instance that is gone, which would be the home of groups
// and the limiter of customers.
TEST_CASE("instances that have left or expired are not listed again after a return")
{
  Deployment deployment(6);
  const auto copy = deployment.mTable.mRows;
  SECTION("left")
  {
    deployment.mMembers.at("i2").mRegistry->Leave();
    deployment.RunFor(6s);
    deployment.Kill("i2");
  }
  SECTION("expired")
  {
    deployment.Kill("i2");
    deployment.RunFor(20s);
  }
  deployment.Return(copy);
  const auto isServing = [&](const Deployment::Member& aMember) {
    return std::any_of(
      aMember.mList.begin(), aMember.mList.end(), [](const RegisteredInstance& aOther) {
        return aOther.mInstance == "i2" && !aOther.mIsLeaving;
      });
  };
  for (int step = 0; step < 300; step++) {
    deployment.RunFor(100ms);
    for (const auto& [name, member] : deployment.mMembers) {
      REQUIRE_FALSE(isServing(member));
    }
  }
  for (const auto& [name, member] : deployment.mMembers) {
    REQUIRE(member.mList.size() == 5);
  }
}

// Guards against an announcement of the end of an instance that is lost for good.
TEST_CASE("an instance that leaves around a return is known to leave")
{
  Deployment deployment(3);
  const auto copy = deployment.mTable.mRows;
  const auto leave = [&] { deployment.mMembers.at("i2").mRegistry->Leave(); };
  SECTION("just before")
  {
    leave();
    deployment.Return(copy);
  }
  SECTION("just after")
  {
    deployment.Return(copy);
    leave();
  }
  deployment.RunFor(5s);
  REQUIRE(deployment.mTable.mRows.at("i2").mValue.find(" leaving ") != std::string::npos);
  for (const std::string name : { "i0", "i1" }) {
    const auto& list = deployment.mMembers.at(name).mList;
    REQUIRE(std::any_of(list.begin(), list.end(), [](const RegisteredInstance& aOther) {
      return aOther.mInstance == "i2" && aOther.mIsLeaving;
    }));
  }
}

// Guards against rows whose order can't be told by their revisions after a return. The
// last three words are the heartbeat, the store's time and the incarnation.
TEST_CASE("the first row after a return counts if it was written after the known one")
{
  struct Case
  {
    const char* mKnown;
    const char* mRead;
    bool mIsNewer;
  };
  const auto example = GENERATE(
    // The same process.
    Case{ "9 90000 3", "8 87000 3", false },
    Case{ "9 90000 3", "9 90000 3", false },
    Case{ "9 90000 3", "10 93000 3", true },
    // An earlier and a later process.
    Case{ "2 90000 3", "50 80000 3", false },
    Case{ "50 80000 3", "2 90000 3", true },
    // Written since the return, by a clock that was set back.
    Case{ "9 90000 3", "10 50000 4", true },
    Case{ "9 90000 3", "1 50000 4", true },
    // Carried out late.
    Case{ "9 90000 4", "8 95000 3", false },
    // Without a time of the store, and from an instance that notes no incarnation.
    Case{ "9 0 3", "8 0 3", false },
    Case{ "9 0 3", "10 0 3", true },
    Case{ "9 90000", "8 87000", false },
    Case{ "9", "8", false });
  CAPTURE(example.mKnown, example.mRead);
  OtherRow other;
  other.Write(Row("leaving", example.mKnown));
  other.Read();
  other.Read();
  REQUIRE(other.IsListed());
  other.mTable.Return({});
  other.Write(Row("serving", example.mRead));
  other.Read();
  REQUIRE(other.IsListed());
  REQUIRE(other.mList[1].mIsLeaving == !example.mIsNewer);
}

// Guards against an instance that is dropped for good because its clock was set back.
TEST_CASE("a row that changes again in the new incarnation counts, whatever its time")
{
  OtherRow other;
  other.Write(Row("serving", "9 90000"));
  other.Read();
  other.mTable.Return({});
  for (int heartbeat = 1; heartbeat < 12; heartbeat++) {
    other.Write(Row("serving", std::to_string(heartbeat) + " 1000"));
    other.Read();
    REQUIRE(other.IsListed());
  }
}

// Guards against a limiter that grants its part at once after its start, although the row
// that it has found is older than the one by which the others have judged it.
TEST_CASE("a row of an earlier incarnation doesn't show that a process was listed")
{
  const auto [value, isListed] =
    GENERATE(std::pair<const char*, bool>{ "9 99000 3", true },
             std::pair<const char*, bool>{ "9 99000 2", false },
             std::pair<const char*, bool>{ "9 0 3", false },
             std::pair<const char*, bool>{ "9 99000", true });
  CAPTURE(value);
  OtherRow other;
  other.mTable.mRows["i0"] = { std::string(kInstanceTable),
                               "i0",
                               "zone-0 10.0.0.0:7441 1 serving " + std::string(value),
                               1 };
  other.mTable.mRevision = 1;
  other.Read();
  REQUIRE(other.mRegistry.WasListedBefore() == isListed);
}

// Guards against rows that instances of the release before can't read, and against any
// change where the store announces no incarnation.
TEST_CASE("without an incarnation, a row has no word for one")
{
  OtherRow other;
  other.mTable.mIncarnation = GENERATE(0U, 3U);
  other.Read();
  const std::string value = other.mTable.mRows.at("i0").mValue;
  const std::string expected = "zone-0 10.0.0.0:7441 1 serving 1 103000";
  REQUIRE(value == (other.mTable.mIncarnation == 0 ? expected : expected + " 3"));
}
