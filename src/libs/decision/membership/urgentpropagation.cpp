#include "decision/membership/urgentspread.h"

namespace papayaspindle {

void
UrgentSpread::Add(const InstanceId& aReceiver,
                  const InstanceInfo& aUpdate,
                  TimePoint aNow)
{
  const auto [found, added] = mWaiting.try_emplace(aReceiver);
  Waiting& waiting = found->second;
  if (added) {
    waiting.mNext = aNow;
  }
  waiting.mUpdates[aUpdate.mInstance] = aUpdate;
  waiting.mGrown = true;
}

std::vector<UrgentSend>
UrgentSpread::Due(TimePoint aNow)
{
  std::vector<UrgentSend> due;
  std::erase_if(mWaiting, [&](const auto& aPair) {
    return aNow >= aPair.second.mNext && aPair.second.mSends >= mSettings.mUrgentTries;
  });
  for (auto& [receiver, waiting] : mWaiting) {
    if (aNow < waiting.mNext) {
      continue;
    }
    UrgentSend& send = due.emplace_back();
    send.mReceiver = receiver;
    for (const auto& [id, update] : waiting.mUpdates) {
      send.mUpdates.push_back(update);
    }
    ++waiting.mSends;
    waiting.mGrown = false;
    waiting.mNext = aNow + mSettings.mProbeTimeout;
  }
  return due;
}

void
UrgentSpread::NoteAnswered(const InstanceId& aReceiver)
{
  const auto waiting = mWaiting.find(aReceiver);
  if (waiting == mWaiting.end()) {
    return;
  }
  if (!waiting->second.mGrown) {
    mWaiting.erase(waiting);
    return;
  }
  waiting->second.mSends = 0;
}

} // namespace papayaspindle
