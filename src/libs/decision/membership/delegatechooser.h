#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace papayaspindle {

/** Number of delegates of each zone. The loss of one must not cut the zone off. */
constexpr std::size_t kDelegatesPerZone = 2;

/** Live instances of one zone in rank order. The first kDelegatesPerZone are the zone's
 * delegates: they exchange membership probes and updates with other zones. */
using RankedZone = std::vector<const InstanceInfo*>;

/**
 * Ranks the instances of each zone by a stable hash of their names, so that all instances
 * agree on the delegates.
 *
 * @param aLive live instances of all zones
 * @return for each zone, its live instances in rank order
 */
std::map<AvailabilityZone, RankedZone> RankByZone(
  std::span<const InstanceInfo* const> aLive);

/** @return whether the instance is a delegate among the live instances of its zone */
bool IsDelegate(const InstanceInfo& aInstance,
                std::span<const InstanceInfo* const> aLive);

} // namespace papayaspindle
