#include "decision/membership/urgentpropagation.h"

namespace papayaspindle {

void
UrgentPropagation::Add(const InstanceId& aReceiver,
                       const InstanceInfo& aUpdate,
                       TimePoint aNow)
{
  const auto [found, added] = mPendingReceivers.try_emplace(aReceiver);
  PendingReceiver& waiting = found->second;
  if (added) {
    waiting.mNextSendAt = aNow;
  }
  waiting.mUpdates[aUpdate.mInstance] = aUpdate;
  waiting.mHasNewUpdates = true;
}

std::vector<UrgentSend>
UrgentPropagation::DueSends(TimePoint aNow)
{
  std::vector<UrgentSend> due;
  std::erase_if(mPendingReceivers, [&](const auto& aPair) {
    return aNow >= aPair.second.mNextSendAt &&
           aPair.second.mSendCount >= mSettings.mMaxUrgentSends;
  });
  for (auto& [receiver, waiting] : mPendingReceivers) {
    if (aNow < waiting.mNextSendAt) {
      continue;
    }
    UrgentSend& send = due.emplace_back();
    send.mReceiver = receiver;
    for (const auto& [id, update] : waiting.mUpdates) {
      send.mUpdates.push_back(update);
    }
    ++waiting.mSendCount;
    waiting.mHasNewUpdates = false;
    waiting.mNextSendAt = aNow + mSettings.mProbeTimeout;
  }
  return due;
}

void
UrgentPropagation::MarkDelivered(const InstanceId& aReceiver)
{
  const auto waiting = mPendingReceivers.find(aReceiver);
  if (waiting == mPendingReceivers.end()) {
    return;
  }
  if (!waiting->second.mHasNewUpdates) {
    mPendingReceivers.erase(waiting);
    return;
  }
  waiting->second.mSendCount = 0;
}

} // namespace papayaspindle
