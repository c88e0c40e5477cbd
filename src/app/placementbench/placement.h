#pragma once

#include "placementbench/placementworld.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace papayaspindle {

/** Ways to place groups on homes. */
enum class PlacementMethod : std::uint8_t
{
  /** HomeRanking: hashes only. */
  Rendezvous,
  /** Largest group first, each home on the instance with the least load (Tsai and Lei
   * 2006, algorithm 2). */
  Greedy,
  /** Largest group first, each home on the fullest instance that it still fits (Tsai and
   * Lei 2006, algorithm 3). */
  BestFit,
};

/** @return name for reports */
std::string_view NameOf(PlacementMethod aMethod);

/** Homes of each group, as sorted indices of instances, in the order of the groups. */
using Placement = std::vector<std::vector<std::uint32_t>>;

/**
 * @param aWorld instances and groups
 * @param aLoads load of each group; used by Greedy and BestFit only
 * @param aAlive whether the instance of each index takes part
 */
Placement PlaceGroups(PlacementMethod aMethod,
                      const PlacementWorld& aWorld,
                      std::span<const double> aLoads,
                      const std::vector<bool>& aAlive);

} // namespace papayaspindle
