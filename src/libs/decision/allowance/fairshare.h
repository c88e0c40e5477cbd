#pragma once

#include <cstdint>
#include <vector>

namespace papayaspindle {

/**
 * Divides a capacity by max-min fairness: no share exceeds its demand, and a share below
 * its demand is at most one smaller than any other share.
 *
 * @param aDemands demands in a stable order; the remainder goes to the first ones
 * @param aCapacity capacity to divide
 * @return one share for each demand; their sum is at most aCapacity
 */
std::vector<std::uint32_t> FairShares(const std::vector<std::uint32_t>& aDemands,
                                      std::uint32_t aCapacity);

} // namespace papayaspindle
