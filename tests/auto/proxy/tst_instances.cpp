// Registry of instances, homes of groups, and the listing of members around outages.

#include "proxy/hometable.h"
#include "proxy/instanceregistry.h"
#include "proxy/memberlisting.h"
#include "proxy/positionsamples.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

std::vector<RegisteredInstance>
MakeInstances(std::size_t aCount)
{
  std::vector<RegisteredInstance> instances;
  for (std::size_t index = 0; index < aCount; index++) {
    const std::string number = std::to_string(index);
    instances.push_back({ "i" + number,
                          "zone-" + std::to_string(index % 3),
                          "10.0.0." + number,
                          1,
                          false });
  }
  return instances;
}

/** A table in memory; the registry under test and a second writer share it. */
struct FakeTable
{
  std::map<std::string, StoredRow> mRows;
  std::uint64_t mRevision = 0;
  bool mIsAway = false;
  std::size_t mReads = 0;

  SharedStore Store()
  {
    SharedStore store;
    store.mRead = [this](std::string_view, std::function<void(const ReadResult&)> aHook) {
      mReads++;
      if (mIsAway) {
        aHook(StoreFailure::NoAnswer);
        return;
      }
      TableSnapshot snapshot;
      for (const auto& [key, row] : mRows) {
        snapshot.mRows.push_back(row);
      }
      aHook(snapshot);
    };
    store.mWrite = [this](const ConditionalWrite& aWrite,
                          std::function<void(const WriteResult&)> aHook) {
      StoredRow& row = mRows[aWrite.mRow.mKey];
      if (mIsAway || row.mRevision != aWrite.mRow.mRevision) {
        aHook(mIsAway ? WriteResult(StoreFailure::NoAnswer) : WriteResult(RowConflict{}));
        return;
      }
      row = aWrite.mRow;
      row.mRevision = ++mRevision;
      aHook(Written{ row.mRevision, 0 });
    };
    return store;
  }
};

} // namespace

TEST_CASE("few instances are all homes, many have four homes a group")
{
  HomeTable few("i0", "zone-0");
  few.SetInstances(MakeInstances(9));
  REQUIRE(few.IsHome("group"));
  REQUIRE(few.HomeCount("group") == 9);

  const auto instances = MakeInstances(60);
  std::size_t homes = 0;
  std::set<std::string> zones;
  for (const RegisteredInstance& instance : instances) {
    HomeTable table(instance.mInstance, instance.mZone);
    table.SetInstances(instances);
    if (table.IsHome("group")) {
      homes++;
      zones.insert(instance.mZone);
    }
  }
  REQUIRE(homes == 4);
  REQUIRE(zones.size() == 3);
}

TEST_CASE("instances prefer the home of their zone, and leave a lost one for a while")
{
  const auto instances = MakeInstances(60);
  HomeTable table("i1", "zone-1");
  table.SetInstances(instances);
  const TimePoint now{ 1h };
  const auto home = table.PickHome("group", {}, now);
  REQUIRE(home);
  const auto found = std::find_if(
    instances.begin(), instances.end(), [&](const RegisteredInstance& aOther) {
      return aOther.mInstance == *home;
    });
  REQUIRE(found->mZone == "zone-1");
  REQUIRE(table.PickHome("group", { *home }, now) != home);
  table.Avoid(*home, now);
  REQUIRE(table.PickHome("group", {}, now) != home);
  REQUIRE(table.PickHome("group", {}, now + 2s) == home);
}

// Guards against a dead home that costs a statement each second for as long as its row
// counts.
TEST_CASE("a home that stays lost is avoided for longer each time, until it answers")
{
  HomeTable table("i1", "zone-1");
  table.SetInstances(MakeInstances(60));
  TimePoint now{ 1h };
  const std::string home = table.PickHome("group", {}, now).value();
  const auto avoidedFor = [&] {
    table.Avoid(home, now);
    table.Avoid(home, now);
    const TimePoint start = now;
    while (table.PickHome("group", {}, now) != home) {
      now += 100ms;
    }
    return now - start;
  };
  REQUIRE(avoidedFor() == 1s);
  REQUIRE(avoidedFor() == 2s);
  REQUIRE(avoidedFor() == 4s);
  REQUIRE(avoidedFor() == 8s);
  REQUIRE(avoidedFor() == 8s);
  table.OnAnswer(home);
  REQUIRE(avoidedFor() == 1s);
}

TEST_CASE("a leaving instance is home of nothing")
{
  auto instances = MakeInstances(60);
  HomeTable table("i1", "zone-1");
  table.SetInstances(instances);
  const std::string home = table.PickHome("group", {}, TimePoint(1h)).value();
  for (RegisteredInstance& instance : instances) {
    instance.mIsLeaving = instance.mInstance == home;
  }
  table.SetInstances(instances);
  REQUIRE(table.PickHome("group", {}, TimePoint(1h)) != home);
}

TEST_CASE("no home is known before the instances are")
{
  const HomeTable table("i1", "zone-1");
  REQUIRE_FALSE(table.IsKnown());
  REQUIRE_FALSE(table.IsHome("group"));
  REQUIRE_FALSE(table.PickHome("group", {}, TimePoint(1h)));
}

TEST_CASE("an instance counts while its row changes, and the list outlives the store")
{
  FakeTable table;
  TimePoint now{ 1h };
  std::size_t count = 0;
  InstanceRegistry registry(
    MakeInstances(1)[0],
    table.Store(),
    [&] { return now; },
    [&](std::span<const RegisteredInstance> aInstances) { count = aInstances.size(); });
  const auto beat = [&](bool aOtherLives) {
    if (aOtherLives) {
      table.mRows["other"] = { std::string(kInstanceTable),
                               "other",
                               "zone-1 10.0.0.9:7441 1 serving 1",
                               ++table.mRevision };
    }
    now += 3s;
    registry.OnTimer(now);
  };
  for (int round = 0; round < 5; round++) {
    beat(true);
  }
  REQUIRE(count == 2);
  table.mIsAway = true;
  for (int round = 0; round < 10; round++) {
    beat(false);
  }
  REQUIRE(count == 2);
  table.mIsAway = false;
  for (int round = 0; round < 5; round++) {
    beat(false);
  }
  REQUIRE(count == 1);
}

// Pattern: hundreds of instances read the rows of all others. At 300 with a fixed beat
// the reads were most of what the store sent.
TEST_CASE("the rows that an instance reads in a second don't grow with their number")
{
  const auto instances = GENERATE(30U, 100U, 300U, 3000U);
  CAPTURE(instances);
  FakeTable table;
  TimePoint now{ 1h };
  InstanceRegistry registry(
    MakeInstances(1)[0],
    table.Store(),
    [&] { return now; },
    [](std::span<const RegisteredInstance>) {});
  std::size_t rowsRead = 0;
  const TimePoint start = now;
  for (std::size_t index = 1; index < instances; index++) {
    const std::string name = "other-" + std::to_string(index);
    table.mRows[name] = { std::string(kInstanceTable),
                          name,
                          "zone-1 10.0.0.9:7441 1 serving 1",
                          ++table.mRevision };
  }
  while (now - start < 600s) {
    now = std::max(now + 50ms, registry.NextTimer());
    const std::size_t before = table.mReads;
    registry.OnTimer(now);
    rowsRead += (table.mReads - before) * table.mRows.size();
  }
  // 10 rows a second, and three reads after the start.
  REQUIRE(rowsRead <= 600 * 10 + 3 * instances + instances);
}

TEST_CASE("unreadable rows name no instance")
{
  FakeTable table;
  table.mRows["bad"] = { std::string(kInstanceTable), "bad", "zone only", 1 };
  table.mRevision = 1;
  TimePoint now{ 1h };
  std::size_t count = 0;
  InstanceRegistry registry(
    MakeInstances(1)[0],
    table.Store(),
    [&] { return now; },
    [&](std::span<const RegisteredInstance> aInstances) { count = aInstances.size(); });
  for (int round = 0; round < 3; round++) {
    now += 3s;
    registry.OnTimer(now);
  }
  REQUIRE(count == 1);
}

TEST_CASE("entries that lapse around an outage are kept for the return time")
{
  MemberEntry living;
  living.mId = "a";
  MemberEntry leaving;
  leaving.mId = "b";
  leaving.mDraining = true;
  const std::vector<MemberEntry> both{ living, leaving };
  TimePoint now{ 1h };
  MemberListing listing;
  listing.OnEntries(both, now);

  SECTION("without an outage a missing entry is gone")
  {
    listing.OnEntries({}, now);
    REQUIRE(listing.Listed(now).empty());
  }
  SECTION("after an outage")
  {
    listing.OnContact(false, now);
    now += 5s;
    listing.OnContact(true, now);
    listing.OnEntries({}, now);
    // A member that had said that it leaves is not kept.
    REQUIRE(listing.Listed(now).size() == 1);
    SECTION("the member is back")
    {
      listing.OnEntries(std::vector{ living }, now + 1s);
      REQUIRE(listing.Listed(now + 10s).size() == 1);
      REQUIRE(listing.NextChange() == TimePoint::max());
    }
    SECTION("the member is still missing")
    {
      REQUIRE(listing.Listed(now + 3s).empty());
      REQUIRE(listing.Expire(now + 3s));
    }
  }
}

TEST_CASE("a sample proves the age of what was acknowledged before it was asked for")
{
  PositionSamples samples(10s);
  const TimePoint start{ 1h };
  REQUIRE_FALSE(samples.ProofOf(start));
  samples.Add({ 1, 10 }, start);
  samples.Add({ 1, 20 }, start + 1s);
  REQUIRE(samples.ProofOf(start - 1s) == LogPosition{ 1, 10 });
  REQUIRE(samples.ProofOf(start + 1ms) == LogPosition{ 1, 20 });
  REQUIRE_FALSE(samples.ProofOf(start + 2s));
  // An answer that arrives out of order proves nothing new.
  samples.Add({ 1, 15 }, start + 500ms);
  REQUIRE(samples.ProofOf(start + 200ms) == LogPosition{ 1, 20 });
  samples.Add({ 2, 18 }, start + 3s);
  REQUIRE(samples.FirstAfterTerm(1) == LogPosition{ 2, 18 });
  REQUIRE_FALSE(samples.FirstAfterTerm(2));
}
