#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace papayaspindle {

/** Delegates of each zone; two, so that the loss of one does not cut the zone off. */
constexpr std::size_t kDelegatesPerZone = 2;

/** Instances of one zone in rank order; the first kDelegatesPerZone are its delegates. */
using RankedZone = std::vector<const InstanceInfo*>;

/**
 * Chooses the instances that speak for their zone.
 *
 * @param aLive live instances of all zones
 * @return for each zone its live instances in rank order of a stable hash
 */
std::map<AvailabilityZone, RankedZone> RankByZone(
  std::span<const InstanceInfo* const> aLive);

/** @return whether the instance is a delegate among the live instances of its zone */
bool IsDelegate(const InstanceInfo& aInstance,
                std::span<const InstanceInfo* const> aLive);

} // namespace papayaspindle
