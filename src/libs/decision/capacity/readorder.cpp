#include "decision/capacity/readorder.h"

#include <algorithm>
#include <numeric>

namespace papayaspindle {

namespace {

// Estimates of even members differ by less, also while they queue statements.
constexpr double kUnevenRatio = 1.5;
// A slower member gets a second statement of this home only for a read that has waited
// this multiple of what the member loses.
constexpr int kFullUseFactor = 2;
// The home that sends the reads to a member may have too few of its own to use it. With
// this bound, reads of the other homes were not late when even members were taken for
// uneven ones.
constexpr Duration kMaxWaitForOthers = std::chrono::milliseconds(60);

/** @return indices of the options that this home may use */
std::vector<std::size_t>
OwnOptions(std::span<const ReadOption> aOptions, Duration aWaited)
{
  std::vector<std::size_t> all(aOptions.size());
  std::iota(all.begin(), all.end(), 0);
  const auto isLeft = [&](std::size_t aIndex) {
    return aOptions[aIndex].mIsLeftToOthers;
  };
  // Several uneven members indicate that the group is overloaded.
  if (aOptions.size() > 1 && aWaited < kMaxWaitForOthers &&
      std::count_if(all.begin(), all.end(), isLeft) == 1) {
    std::erase_if(all, isLeft);
  }
  return all;
}

} // namespace

std::vector<std::size_t>
OrderReadOptions(std::span<const ReadOption> aOptions,
                 Duration aWaited,
                 const std::function<std::size_t()>& aAhead)
{
  std::vector<std::size_t> order = OwnOptions(aOptions, aWaited);
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aFirst, std::size_t aSecond) {
      return aOptions[aFirst].mCost < aOptions[aSecond].mCost;
    });
  if (order.size() < 2) {
    return order;
  }
  // Fixed costs count for the best member only, so that they make no member uneven.
  Duration best = Duration::max();
  for (const std::size_t index : order) {
    const ReadOption& option = aOptions[index];
    best = std::min(best, option.mExpectedTime + option.mFixedCost);
  }
  const auto isEven = [&](std::size_t aIndex) {
    return aOptions[aIndex].mExpectedTime < best * kUnevenRatio;
  };
  const auto uneven = std::stable_partition(order.begin(), order.end(), isEven);
  if (uneven == order.end()) {
    return order;
  }
  // Number of statements per unit of time that the faster members complete.
  double rate = 0;
  for (auto at = order.begin(); at != uneven; ++at) {
    rate +=
      aOptions[*at].mLimit /
      static_cast<double>(std::max(aOptions[*at].mExpectedTime, Duration(1)).count());
  }
  const double ahead = static_cast<double>(aAhead()) + 1;
  const auto isHeldBack = [&](std::size_t aIndex) {
    const ReadOption& option = aOptions[aIndex];
    if (option.mNeedsProbe || rate <= 0) {
      return false;
    }
    const Duration loss = option.mExpectedTime + option.mFixedCost - best;
    if (aWaited < loss && ahead / rate < static_cast<double>(loss.count())) {
      return true;
    }
    // All homes turn to the slower member at the same time.
    return option.mInFlight > 0 && aWaited < loss * kFullUseFactor;
  };
  order.erase(std::remove_if(uneven, order.end(), isHeldBack), order.end());
  return order;
}

} // namespace papayaspindle
