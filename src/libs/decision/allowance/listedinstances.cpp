#include "decision/allowance/listedinstances.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

ListedInstances::ListedInstances(InstanceId aSelf)
  : mSelf(std::move(aSelf))
{
}

void
ListedInstances::OnReading(const std::set<InstanceId>& aInstances, TimePoint aNow)
{
  if (!aInstances.contains(mSelf)) {
    return;
  }
  const bool isSeparate =
    !mLastSeparateReadingAt || aNow - *mLastSeparateReadingAt >= kReadingInterval;
  if (!isSeparate) {
    // Readings within one interval are merged: an instance in any of them is present.
    mReadings.back().insert(aInstances.begin(), aInstances.end());
    return;
  }
  mLastSeparateReadingAt = aNow;
  mReadings.push_back(aInstances);
  if (mReadings.size() > kReadingsUntilEnded) {
    mReadings.pop_front();
  }
}

bool
ListedInstances::IsListed(const InstanceId& aInstance) const
{
  return !mReadings.empty() && mReadings.back().contains(aInstance);
}

bool
ListedInstances::HasEnded(const InstanceId& aInstance) const
{
  return mReadings.size() == kReadingsUntilEnded &&
         std::none_of(mReadings.begin(), mReadings.end(), [&](const auto& aReading) {
           return aReading.contains(aInstance);
         });
}

} // namespace papayaspindle
