#pragma once

#include "core/groupsettings.h"
#include "core/instanceinfo.h"

#include <cstdint>
#include <random>
#include <vector>

namespace papayaspindle {

/** Size of one region for the comparison of placements. */
struct PlacementSize
{
  std::uint32_t mZones = 3;
  std::uint32_t mInstances = 1420;
  std::uint32_t mGroups = 3000;
};

/** One region: instances, groups and the load of each group. */
struct PlacementWorld
{
  std::vector<InstanceInfo> mInstances;
  std::vector<GroupSettings> mGroups;
  /** Statements a second of each group, in the order of mGroups. */
  std::vector<double> mLoads;
};

/**
 * Makes a region whose groups have 16 or 35 connections and log-normal loads: few groups
 * carry most of the statements.
 *
 * @param aRandom seeded source; the same seed gives the same region
 */
PlacementWorld MakePlacementWorld(const PlacementSize& aSize, std::mt19937_64& aRandom);

/** @return the loads, each multiplied by a factor uniform in 1 - aSpread to 1 + aSpread
 */
std::vector<double> JitterLoads(const std::vector<double>& aLoads,
                                double aSpread,
                                std::mt19937_64& aRandom);

} // namespace papayaspindle
