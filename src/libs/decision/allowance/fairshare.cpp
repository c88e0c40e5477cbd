#include "decision/allowance/fairshare.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace papayaspindle {

std::vector<std::uint32_t>
FairShares(const std::vector<std::uint32_t>& aDemands, std::uint32_t aCapacity)
{
  std::vector<std::size_t> order(aDemands.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  // Among equal demands, the last one gets its share first. The integer division then
  // leaves the remainder to the first ones.
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      if (aDemands[aLeft] != aDemands[aRight]) {
        return aDemands[aLeft] < aDemands[aRight];
      }
      return aLeft > aRight;
    });
  std::vector<std::uint32_t> shares(aDemands.size(), 0);
  std::uint32_t left = aCapacity;
  auto unserved = static_cast<std::uint32_t>(order.size());
  for (const std::size_t index : order) {
    shares[index] = std::min(aDemands[index], left / unserved);
    left -= shares[index];
    --unserved;
  }
  return shares;
}

} // namespace papayaspindle
