#include "decision/membership/delegatechooser.h"

#include "core/stablehash.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace papayaspindle {

namespace {

constexpr std::uint64_t kRankSeed = 3;

std::uint64_t
RankOf(const InstanceInfo& aInstance)
{
  return StableHash({ aInstance.mInstance.Text() }, kRankSeed);
}

} // namespace

std::map<AvailabilityZone, RankedZone>
RankByZone(std::span<const InstanceInfo* const> aLive)
{
  std::vector<std::pair<std::uint64_t, const InstanceInfo*>> order;
  for (const InstanceInfo* instance : aLive) {
    order.emplace_back(RankOf(*instance), instance);
  }
  std::sort(order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
    return std::tie(aLeft.first, aLeft.second->mInstance) <
           std::tie(aRight.first, aRight.second->mInstance);
  });
  std::map<AvailabilityZone, RankedZone> zones;
  for (const auto& [rank, instance] : order) {
    zones[instance->mAvailabilityZone].push_back(instance);
  }
  return zones;
}

bool
IsDelegate(const InstanceInfo& aInstance, std::span<const InstanceInfo* const> aLive)
{
  const std::uint64_t own = RankOf(aInstance);
  const auto before =
    std::count_if(aLive.begin(), aLive.end(), [&](const InstanceInfo* aOther) {
      if (aOther->mAvailabilityZone != aInstance.mAvailabilityZone) {
        return false;
      }
      const std::uint64_t other = RankOf(*aOther);
      return std::tie(other, aOther->mInstance) < std::tie(own, aInstance.mInstance);
    });
  return static_cast<std::size_t>(before) < kDelegatesPerZone;
}

} // namespace papayaspindle
