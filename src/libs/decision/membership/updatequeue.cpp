#include "decision/membership/updatequeue.h"

#include <algorithm>
#include <bit>

namespace papayaspindle {

namespace {

constexpr std::size_t kSendsPerDoubling = 3;

} // namespace

void
UpdateQueue::Add(const InstanceInfo& aUpdate)
{
  mUpdates[aUpdate.mInstance] = { aUpdate, 0 };
}

std::vector<InstanceInfo>
UpdateQueue::Take(std::size_t aMax, std::size_t aInstances)
{
  const std::size_t maxSends = kSendsPerDoubling * std::bit_width(aInstances + 1);
  std::vector<Pending*> order;
  for (auto& [id, pending] : mUpdates) {
    order.push_back(&pending);
  }
  std::stable_sort(
    order.begin(), order.end(), [](const Pending* aLeft, const Pending* aRight) {
      return aLeft->mSends < aRight->mSends;
    });
  if (order.size() > aMax) {
    order.resize(aMax);
  }
  std::vector<InstanceInfo> taken;
  for (Pending* pending : order) {
    taken.push_back(pending->mUpdate);
    ++pending->mSends;
  }
  std::erase_if(mUpdates,
                [&](const auto& aPair) { return aPair.second.mSends >= maxSends; });
  return taken;
}

} // namespace papayaspindle
