#pragma once

#include <cstdint>
#include <vector>

namespace papayaspindle {

/**
 * Divides a capacity fairly: nobody gets more than it demands, and nobody gets less than
 * another while it demands more.
 *
 * @param aDemands demands in a stable order; a remainder goes to the first ones
 * @param aCapacity what there is to divide
 * @return one share for each demand; their sum is at most aCapacity
 */
std::vector<std::uint32_t> FairShares(const std::vector<std::uint32_t>& aDemands,
                                      std::uint32_t aCapacity);

} // namespace papayaspindle
