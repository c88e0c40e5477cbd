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
UpdateQueue::TakeUpdates(std::size_t aMax, std::size_t aInstances)
{
  const std::size_t maxSends = kSendsPerDoubling * std::bit_width(aInstances + 1);
  std::vector<PendingUpdate*> order;
  for (auto& [id, pending] : mUpdates) {
    order.push_back(&pending);
  }
  std::stable_sort(order.begin(),
                   order.end(),
                   [](const PendingUpdate* aLeft, const PendingUpdate* aRight) {
                     return aLeft->mSendCount < aRight->mSendCount;
                   });
  if (order.size() > aMax) {
    order.resize(aMax);
  }
  std::vector<InstanceInfo> taken;
  for (PendingUpdate* pending : order) {
    taken.push_back(pending->mUpdate);
    ++pending->mSendCount;
  }
  std::erase_if(mUpdates,
                [&](const auto& aPair) { return aPair.second.mSendCount >= maxSends; });
  return taken;
}

} // namespace papayaspindle
