#include "placementbench/placement.h"

#include "decision/routing/homeranking.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace papayaspindle {

namespace {

// Capacity of an instance for best fit, as a multiple of the mean load.
constexpr double kCapacityFactor = 1.25;

Placement
PlaceByRendezvous(const PlacementWorld& aWorld, const std::vector<bool>& aAlive)
{
  std::vector<InstanceInfo> live;
  std::map<InstanceId, std::uint32_t> indices;
  for (std::uint32_t i = 0; i < aWorld.mInstances.size(); ++i) {
    if (aAlive[i]) {
      live.push_back(aWorld.mInstances[i]);
      indices[aWorld.mInstances[i].mInstance] = i;
    }
  }
  const HomeRanking ranking;
  Placement placement;
  for (const GroupSettings& group : aWorld.mGroups) {
    std::vector<std::uint32_t>& homes = placement.emplace_back();
    for (const InstanceId& home : ranking.Rank(group, live)) {
      homes.push_back(indices[home]);
    }
    std::sort(homes.begin(), homes.end());
  }
  return placement;
}

/** Loads of the instances while groups are placed by load. */
class LoadedInstances
{
public:
  LoadedInstances(const std::vector<bool>& aAlive, double aCapacity)
    : mAlive(aAlive)
    , mLoads(aAlive.size(), 0.0)
    , mCapacity(aCapacity)
  {
  }

  /** @return the instance for one home; aTaken holds the group's other homes */
  [[nodiscard]] std::uint32_t Choose(PlacementMethod aMethod,
                                     double aShare,
                                     std::span<const std::uint32_t> aTaken) const
  {
    std::uint32_t least = 0;
    std::uint32_t fullest = 0;
    double leastLoad = -1;
    double fullestLoad = -1;
    for (std::uint32_t i = 0; i < mLoads.size(); ++i) {
      if (!mAlive[i] || std::find(aTaken.begin(), aTaken.end(), i) != aTaken.end()) {
        continue;
      }
      if (leastLoad < 0 || mLoads[i] < leastLoad) {
        least = i;
        leastLoad = mLoads[i];
      }
      if (mLoads[i] + aShare <= mCapacity && mLoads[i] > fullestLoad) {
        fullest = i;
        fullestLoad = mLoads[i];
      }
    }
    return aMethod == PlacementMethod::BestFit && fullestLoad >= 0 ? fullest : least;
  }

  void Add(std::uint32_t aInstance, double aShare) { mLoads[aInstance] += aShare; }

private:
  const std::vector<bool>& mAlive;
  std::vector<double> mLoads;
  double mCapacity;
};

Placement
PlaceByLoad(PlacementMethod aMethod,
            const PlacementWorld& aWorld,
            std::span<const double> aLoads,
            const std::vector<bool>& aAlive)
{
  std::vector<std::uint32_t> order(aLoads.size());
  std::iota(order.begin(), order.end(), 0U);
  std::stable_sort(
    order.begin(), order.end(), [&](std::uint32_t aLeft, std::uint32_t aRight) {
      return aLoads[aLeft] > aLoads[aRight];
    });
  const double total = std::accumulate(aLoads.begin(), aLoads.end(), 0.0);
  const auto live = std::count(aAlive.begin(), aAlive.end(), true);
  LoadedInstances instances(aAlive, kCapacityFactor * total / static_cast<double>(live));
  Placement placement(aLoads.size());
  for (const std::uint32_t group : order) {
    const std::size_t count = HomeRanking::TargetHomeCount(aWorld.mGroups[group]);
    const double share = aLoads[group] / static_cast<double>(count);
    std::vector<std::uint32_t>& homes = placement[group];
    while (homes.size() < count) {
      const std::uint32_t home = instances.Choose(aMethod, share, homes);
      instances.Add(home, share);
      homes.push_back(home);
    }
    std::sort(homes.begin(), homes.end());
  }
  return placement;
}

} // namespace

std::string_view
NameOf(PlacementMethod aMethod)
{
  switch (aMethod) {
    case PlacementMethod::Rendezvous:
      return "rendezvous";
    case PlacementMethod::Greedy:
      return "greedy";
    case PlacementMethod::BestFit:
      return "best_fit";
  }
  return "";
}

Placement
PlaceGroups(PlacementMethod aMethod,
            const PlacementWorld& aWorld,
            std::span<const double> aLoads,
            const std::vector<bool>& aAlive)
{
  return aMethod == PlacementMethod::Rendezvous
           ? PlaceByRendezvous(aWorld, aAlive)
           : PlaceByLoad(aMethod, aWorld, aLoads, aAlive);
}

} // namespace papayaspindle
