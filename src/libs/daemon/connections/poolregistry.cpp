#include "daemon/connections/poolregistry.h"

namespace papayaspindle {

void
PoolSlot::Deliver(const PoolWork& aWork)
{
  for (const PoolDelivery& delivery : aWork.mDeliveries) {
    const auto found = mWaiters.find(delivery.mTicket);
    if (found != mWaiters.end()) {
      found->second.mOutcome = delivery.mOutcome;
      found->second.mWake.notify_one();
    }
  }
}

PoolSlot&
PoolRegistry::SlotOf(const GroupId& aGroup)
{
  {
    const std::shared_lock lock(mMutex);
    const auto found = mSlots.find(aGroup);
    if (found != mSlots.end()) {
      return found->second;
    }
  }
  const std::unique_lock lock(mMutex);
  return mSlots[aGroup];
}

std::vector<GroupId>
PoolRegistry::Names() const
{
  const std::shared_lock lock(mMutex);
  std::vector<GroupId> names;
  names.reserve(mSlots.size());
  for (const auto& [name, slot] : mSlots) {
    names.push_back(name);
  }
  return names;
}

} // namespace papayaspindle
