#include "decision/membership/delegatechooser.h"

#include "decision/membership/stablehash.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace papayaspindle {

namespace {

constexpr std::uint64_t kRankSeed = 3;

bool
RanksBefore(const InstanceInfo& aLeft, const InstanceInfo& aRight)
{
  const std::uint64_t left = StableHash(aLeft.mInstance.Text(), kRankSeed);
  const std::uint64_t right = StableHash(aRight.mInstance.Text(), kRankSeed);
  return std::tie(left, aLeft.mInstance) < std::tie(right, aRight.mInstance);
}

} // namespace

std::map<AvailabilityZone, std::vector<InstanceInfo>>
RankByZone(std::span<const InstanceInfo> aLive)
{
  std::map<AvailabilityZone, std::vector<InstanceInfo>> zones;
  for (const InstanceInfo& instance : aLive) {
    zones[instance.mAvailabilityZone].push_back(instance);
  }
  for (auto& [zone, instances] : zones) {
    std::sort(instances.begin(), instances.end(), RanksBefore);
  }
  return zones;
}

bool
IsDelegate(const InstanceInfo& aInstance, std::span<const InstanceInfo> aLive)
{
  const auto before =
    std::count_if(aLive.begin(), aLive.end(), [&](const InstanceInfo& aOther) {
      return aOther.mAvailabilityZone == aInstance.mAvailabilityZone &&
             RanksBefore(aOther, aInstance);
    });
  return static_cast<std::size_t>(before) < kDelegatesPerZone;
}

} // namespace papayaspindle
