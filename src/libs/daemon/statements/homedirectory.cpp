#include "daemon/statements/homedirectory.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

namespace {

// Copying the live instances for each statement would cost more than the statement when
// there are thousands. A change of membership takes seconds to be noticed anyway.
constexpr Duration kLiveRefresh = std::chrono::milliseconds(50);

/** @return whether both rank the same; incarnations and suspicions don't count */
bool
AreSameInstances(const std::vector<InstanceInfo>& aLeft,
                 const std::vector<InstanceInfo>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const InstanceInfo& aOne, const InstanceInfo& aOther) {
                      return aOne.mInstance == aOther.mInstance &&
                             aOne.mAvailabilityZone == aOther.mAvailabilityZone;
                    });
}

} // namespace

HomeDirectory::HomeDirectory(const Groups& aGroups,
                             const Instances& aInstances,
                             NowHook aNow)
  : mGroups(aGroups)
  , mInstances(aInstances)
  , mNow(std::move(aNow))
{
}

std::vector<InstanceId>
HomeDirectory::HomesOf(const GroupId& aGroup) const
{
  const auto settings = mGroups.Settings(aGroup);
  const std::lock_guard lock(mMutex);
  if (!settings) {
    mEntries.erase(aGroup);
    return {};
  }
  RefreshLive();
  auto& entry = mEntries[aGroup];
  const bool isCurrent = entry.mSettingsRevision == settings->mRevision &&
                         entry.mLiveRevision == mLiveRevision;
  if (!isCurrent || entry.mHomes.empty()) {
    entry = { settings->mRevision, mLiveRevision, mRanking.Rank(*settings, mLive) };
  }
  return entry.mHomes;
}

void
HomeDirectory::RefreshLive() const
{
  const auto now = mNow();
  if (mLiveReadAt && now - *mLiveReadAt < kLiveRefresh) {
    return;
  }
  mLiveReadAt = now;
  auto live = mInstances.Live();
  if (!AreSameInstances(mLive, live)) {
    mLive = std::move(live);
    ++mLiveRevision;
  }
}

int
HomeDirectory::OwnRank(const GroupId& aGroup) const
{
  const auto homes = HomesOf(aGroup);
  const auto own = std::find(homes.begin(), homes.end(), mInstances.Self().mInstance);
  return own == homes.end() ? -1 : static_cast<int>(own - homes.begin());
}

} // namespace papayaspindle
