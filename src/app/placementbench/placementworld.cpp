#include "placementbench/placementworld.h"

#include <fmt/format.h>

namespace papayaspindle {

namespace {

constexpr std::uint32_t kSmallLimit = 16;
constexpr std::uint32_t kLargeLimit = 35;
// With sigma 1.5 the busiest 1% of the groups carry about a fifth of the load.
constexpr double kLoadSigma = 1.5;

AvailabilityZone
ZoneName(std::uint32_t aIndex)
{
  return AvailabilityZone(fmt::format("zone-{}", aIndex));
}

GroupSettings
MakeGroup(std::uint32_t aIndex, std::uint32_t aZones)
{
  GroupSettings group;
  group.mGroup = GroupId(fmt::format("group-{}", aIndex));
  group.mConnectionLimit = aIndex % 2 == 0 ? kSmallLimit : kLargeLimit;
  for (std::uint32_t zone = 0; zone < aZones; ++zone) {
    group.mMembers.push_back(
      { MemberId(fmt::format("member-{}-{}", aIndex, zone)), "", ZoneName(zone) });
  }
  return group;
}

} // namespace

PlacementWorld
MakePlacementWorld(const PlacementSize& aSize, std::mt19937_64& aRandom)
{
  PlacementWorld world;
  for (std::uint32_t i = 0; i < aSize.mInstances; ++i) {
    world.mInstances.push_back(
      { InstanceId(fmt::format("instance-{}", i)), ZoneName(i % aSize.mZones), "", "" });
  }
  std::lognormal_distribution<double> load(0.0, kLoadSigma);
  for (std::uint32_t i = 0; i < aSize.mGroups; ++i) {
    world.mGroups.push_back(MakeGroup(i, aSize.mZones));
    world.mLoads.push_back(load(aRandom));
  }
  return world;
}

std::vector<double>
JitterLoads(const std::vector<double>& aLoads, double aSpread, std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> factor(1.0 - aSpread, 1.0 + aSpread);
  std::vector<double> jittered;
  jittered.reserve(aLoads.size());
  for (const double load : aLoads) {
    jittered.push_back(load * factor(aRandom));
  }
  return jittered;
}

} // namespace papayaspindle
