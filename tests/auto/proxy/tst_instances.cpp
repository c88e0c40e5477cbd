// Tests of the instance registry, the homes of groups, the listing of members around
// store outages, and position samples.

#include "instancefixture.h"
#include "proxy/memberlisting.h"
#include "proxy/positionsamples.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

// Guards against the pattern after a loss of all instances: members still count the lost
// connections for seconds, and instances that each want some of the rest are refused
// while slots are idle. Few holders have to leave room for as many connections again.
TEST_CASE("a group has four homes, at least one in each zone, at any number of instances")
{
  for (const std::size_t count : { 6, 9, 12, 60 }) {
    INFO(count << " instances");
    const auto instances = MakeInstances(count);
    std::size_t homes = 0;
    std::set<std::string> zones;
    for (const RegisteredInstance& instance : instances) {
      HomeTable table(instance.mInstance, instance.mZone);
      table.SetInstances(instances);
      REQUIRE(table.HomeCount("group") == 4);
      if (table.IsHome("group")) {
        homes++;
        zones.insert(instance.mZone);
      }
    }
    REQUIRE(homes == 4);
    REQUIRE(zones.size() == 3);
  }
}

TEST_CASE("every instance is a home if there are no more than homes of a group")
{
  HomeTable table("i0", "zone-0");
  table.SetInstances(MakeInstances(3));
  REQUIRE(table.IsHome("group"));
  REQUIRE(table.HomeCount("group") == 3);
}

TEST_CASE("an instance prefers the home in its zone and avoids a lost home for a while")
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

// Guards against losing a statement to a failed home every second for as long as the home
// is listed.
TEST_CASE("the avoidance of a lost home doubles up to 8 s until the home answers")
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

// Guards against a statement that waits for one unreachable home after the other, each
// for the time limit of opening a connection.
TEST_CASE("an unresponsive home is chosen for a first attempt only")
{
  HomeTable homes("i0", "z0");
  homes.SetInstances(MakeInstances(8));
  const TimePoint now{ std::chrono::hours(1) };
  std::set<std::string> all;
  for (const std::string& home : homes.HomesByPreference("group", now)) {
    all.insert(home);
    homes.SetResponsive(home, false);
  }
  REQUIRE(all.size() == 4);
  const auto first = homes.PickHome("group", {}, now);
  REQUIRE(first);
  REQUIRE_FALSE(homes.PickHome("group", { *first }, now));
  REQUIRE_FALSE(homes.PickCustomerHome("group", "acme", 1, { *first }, now));
  all.erase(*first);
  homes.SetResponsive(*all.begin(), true);
  REQUIRE(homes.PickHome("group", { *first }, now) == *all.begin());
}

TEST_CASE("a leaving instance is no home of any group")
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

TEST_CASE("no home is known before the list of instances is set")
{
  const HomeTable table("i1", "zone-1");
  REQUIRE_FALSE(table.IsKnown());
  REQUIRE_FALSE(table.IsHome("group"));
  REQUIRE_FALSE(table.PickHome("group", {}, TimePoint(1h)));
}

TEST_CASE(
  "an instance is live while its row changes, and the list survives a store outage")
{
  FakeTable table;
  TimePoint now{ 1h };
  std::size_t count = 0;
  InstanceRegistry registry(
    MakeInstances(1)[0],
    table.Store(),
    [&] { return now; },
    [&](std::span<const RegisteredInstance> aInstances) { count = aInstances.size(); });
  const auto heartbeat = [&](bool aIsOtherLive) {
    if (aIsOtherLive) {
      table.mRows["other"] = { std::string(kInstanceTable),
                               "other",
                               "zone-1 10.0.0.9:7441 1 serving 1",
                               ++table.mRevision };
    }
    now += 3s;
    registry.OnTimer(now);
  };
  for (int round = 0; round < 5; round++) {
    heartbeat(true);
  }
  REQUIRE(count == 2);
  table.mIsUnavailable = true;
  for (int round = 0; round < 10; round++) {
    heartbeat(false);
  }
  REQUIRE(count == 2);
  table.mIsUnavailable = false;
  for (int round = 0; round < 5; round++) {
    heartbeat(false);
  }
  REQUIRE(count == 1);
}

// Guards against a limiter that restarts after its successor has taken over, and grants
// its part at once because its old row is still in the store.
TEST_CASE("a restart counts as one only while the other instances list the row")
{
  struct Case
  {
    std::string mRow;
    std::uint64_t mStoreTimeMs;
    bool mIsListed;
  };
  const std::string row = "zone-0 10.0.0.0:7441 1 serving 1";
  const auto example = GENERATE_REF(Case{ row + " 100000", 109'000, true },
                                    Case{ row + " 100000", 110'000, false },
                                    Case{ row + " 100000", 99'000, false },
                                    Case{ row + " 100000", 0, true },
                                    Case{ row + " 0", 110'000, true },
                                    Case{ row, 110'000, true });
  INFO(example.mRow << " at " << example.mStoreTimeMs);
  FakeTable table;
  table.mStoreTimeMs = example.mStoreTimeMs;
  table.mRows["i0"] = { std::string(kInstanceTable), "i0", example.mRow, 1 };
  table.mRevision = 1;
  TimePoint now{ 1h };
  InstanceRegistry registry(
    MakeInstances(1)[0],
    table.Store(),
    [&] { return now; },
    [](std::span<const RegisteredInstance>) {});
  for (int round = 0; round < 3; round++) {
    now += 3s;
    registry.OnTimer(now);
    REQUIRE(registry.WasListedBefore() == example.mIsListed);
  }
  // The next process finds the time at which this one has written its row.
  const std::string time = std::to_string(example.mStoreTimeMs);
  REQUIRE(table.mRows["i0"].mValue.ends_with(" " + time));
}

TEST_CASE("unreadable rows are ignored")
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

TEST_CASE("entries that disappear around a store outage are retained for a limited time")
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

  SECTION("without an outage, a missing entry is removed")
  {
    listing.OnEntries({}, now);
    REQUIRE(listing.Listed(now).empty());
  }
  SECTION("after an outage")
  {
    listing.SetStoreReachable(false, now);
    now += 5s;
    listing.SetStoreReachable(true, now);
    listing.OnEntries({}, now);
    // The entry of a draining member is not retained.
    REQUIRE(listing.Listed(now).size() == 1);
    SECTION("the member reappears")
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

TEST_CASE("a position sample proves freshness as of the time of its request")
{
  PositionSamples samples(10s);
  const TimePoint start{ 1h };
  REQUIRE_FALSE(samples.ProofOfFreshness(start));
  samples.Add({ 1, 10 }, start);
  samples.Add({ 1, 20 }, start + 1s);
  REQUIRE(samples.ProofOfFreshness(start - 1s) == LogPosition{ 1, 10 });
  REQUIRE(samples.ProofOfFreshness(start + 1ms) == LogPosition{ 1, 20 });
  REQUIRE_FALSE(samples.ProofOfFreshness(start + 2s));
  // A sample that arrives out of order is dropped.
  samples.Add({ 1, 15 }, start + 500ms);
  REQUIRE(samples.ProofOfFreshness(start + 200ms) == LogPosition{ 1, 20 });
  samples.Add({ 2, 18 }, start + 3s);
  REQUIRE(samples.FirstAfterTerm(1) == LogPosition{ 2, 18 });
  REQUIRE_FALSE(samples.FirstAfterTerm(2));
}

// Guards against a row of another writer that makes every instance connect to an invalid
// address, or ranks one instance as the home of every group.
TEST_CASE("an instance row that can't be used costs no other")
{
  FakeTable table;
  TimePoint now{ 1h };
  std::vector<RegisteredInstance> instances;
  InstanceRegistry registry(
    MakeInstances(1)[0],
    table.Store(),
    [&] { return now; },
    [&](std::span<const RegisteredInstance> aInstances) {
      instances.assign(aInstances.begin(), aInstances.end());
    });
  const std::string tableName(kInstanceTable);
  std::size_t count = 0;
  for (const char* value : { "zone-1 10.0.0.9:70000 1 serving 1",
                             "zone-1 10.0.0.9 1 serving 1",
                             "zone-1 somewhere:80 1 serving 1",
                             "zone-1 10.0.0.9:7441 1e999 serving 1",
                             "zone-1 10.0.0.9:7441 -1 serving 1",
                             "zone-1 10.0.0.9:7441 1e300 serving 1",
                             "\xff\xfe",
                             "" }) {
    const std::string key = "odd-" + std::to_string(count++);
    table.mRows[key] = { tableName, key, value, ++table.mRevision };
  }
  table.mRows["other"] = {
    tableName, "other", "zone-1 10.0.0.9:7441 0.0625 serving 1", ++table.mRevision
  };
  registry.OnTimer(now);
  REQUIRE(instances.size() == 2);
  REQUIRE(instances[1].mInstance == "other");
}
