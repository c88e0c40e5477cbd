#include "core/stablehash.h"
#include "decision/routing/homeranking.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <set>

using namespace papayaspindle;

namespace {

GroupSettings
Group(const std::string& aName, std::uint32_t aLimit, std::vector<std::string> aZones)
{
  GroupSettings group{ GroupId(aName), {}, 2, aLimit, {}, 1 };
  for (const auto& zone : aZones) {
    group.mMembers.push_back(
      { MemberId(aName + "-" + zone), "127.0.0.1:1", AvailabilityZone(zone), false });
  }
  return group;
}

std::vector<InstanceInfo>
Live(std::size_t aCount, const std::vector<std::string>& aZones)
{
  std::vector<InstanceInfo> live;
  for (std::size_t i = 0; i < aCount; ++i) {
    live.push_back({ InstanceId(fmt::format("entry-{}", i)),
                     AvailabilityZone(aZones[i % aZones.size()]) });
  }
  return live;
}

} // namespace

// Guards against versions or platforms that hash differently and so rank homes
// differently.
TEST_CASE("the stable hash returns fixed values")
{
  CHECK(StableHash({}) == 0xf52a15e9a9b5e89bULL);
  CHECK(StableHash({ "pond-1", "entry-0" }) == 0xba2a9ae4015e6a20ULL);
  CHECK(StableHash({ "pond-1", "entry-0" }) != StableHash({ "pond-1e", "ntry-0" }));
}

// Guards against too few or too many homes, and against zones without a home.
TEST_CASE("the number of homes follows the connection limit and homes cover the zones")
{
  const struct
  {
    const char* mName;
    std::uint32_t mLimit;
    std::vector<std::string> mMemberZones;
    std::size_t mLive;
    std::vector<std::string> mLiveZones;
    std::size_t mHomes;
    std::size_t mZones;
  } rows[] = {
    { "pond-core", 16, { "a", "b", "c" }, 6, { "a", "b", "c" }, 4, 3 },
    { "crier-db", 35, { "a", "b", "c" }, 7, { "a", "b", "c" }, 7, 3 },
    { "fourth zone without members",
      35,
      { "a", "b", "c" },
      8,
      { "a", "b", "c", "d" },
      6,
      3 },
    { "low limit", 4, { "a", "b", "c" }, 6, { "a", "b", "c" }, 2, 2 },
    { "one live instance", 16, { "a", "b", "c" }, 1, { "a" }, 1, 1 },
    { "no live instance", 16, { "a" }, 0, { "a" }, 0, 0 },
    { "instances in other zones only", 16, { "x", "y" }, 6, { "a", "b", "c" }, 4, 3 },
    { "no members", 16, {}, 6, { "a", "b", "c" }, 4, 3 },
  };
  for (const auto& row : rows) {
    INFO(row.mName);
    const auto live = Live(row.mLive, row.mLiveZones);
    const auto homes = HomeRanking().Rank(Group("g", row.mLimit, row.mMemberZones), live);
    std::set<AvailabilityZone> zones;
    for (const auto& info : live) {
      if (std::find(homes.begin(), homes.end(), info.mInstance) != homes.end()) {
        zones.insert(info.mAvailabilityZone);
      }
    }
    CHECK(homes.size() == row.mHomes);
    CHECK(zones.size() == row.mZones);
  }
}

// Guards against homes in a zone whose only member is leaving, and on leaving or dead
// instances.
TEST_CASE("no homes are in zones of leaving members or on leaving instances")
{
  auto group = Group("g", 64, { "a", "b" });
  group.mMembers[1].mLeaving = true;
  auto live = Live(6, { "a", "b" });
  live[0].mLiveness = Liveness::Leaving;
  live[2].mLiveness = Liveness::Dead;
  live[4].mLiveness = Liveness::Suspect;
  CHECK(HomeRanking().Rank(group, live) == std::vector{ InstanceId("entry-4") });
}

// Guards against the move of all homes, with their connections, when one instance leaves.
TEST_CASE("a removed instance moves only its own homes")
{
  const auto live = Live(9, { "a", "b", "c" });
  auto fewer = live;
  fewer.erase(fewer.begin() + 3);
  const HomeRanking ranking;
  for (int i = 0; i < 200; ++i) {
    const auto group = Group(fmt::format("group-{}", i), 16, { "a", "b", "c" });
    const auto before = ranking.Rank(group, live);
    const auto after = ranking.Rank(group, fewer);
    std::size_t kept = 0;
    for (const auto& home : before) {
      kept += std::count(after.begin(), after.end(), home);
    }
    const bool held = std::count(before.begin(), before.end(), live[3].mInstance) > 0;
    // To keep the zone covered, its next candidate may displace the lowest-ranked home of
    // another zone.
    CHECK(kept >= before.size() - (held ? 2 : 0));
  }
}

// Guards against an uneven distribution of homes.
TEST_CASE("homes are distributed in proportion to the weights")
{
  const auto live = Live(4, { "a" });
  const HomeRanking ranking([](const InstanceInfo& aInfo) {
    return aInfo.mInstance == InstanceId("entry-0") ? 2.0 : 1.0;
  });
  std::map<InstanceId, int> firsts;
  for (int i = 0; i < 5'000; ++i) {
    const auto group = Group(fmt::format("group-{}", i), 8, { "a" });
    ++firsts[ranking.Rank(group, live).front()];
  }
  CHECK(firsts[InstanceId("entry-0")] > 1'800);
  CHECK(firsts[InstanceId("entry-0")] < 2'200);
  CHECK(firsts[InstanceId("entry-1")] > 850);
}
