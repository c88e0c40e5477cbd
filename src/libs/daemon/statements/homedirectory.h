#pragma once

#include "core/hooks.h"
#include "decision/routing/homeranking.h"
#include "interfaces/groups.h"
#include "interfaces/homes.h"
#include "interfaces/instances.h"

#include <map>
#include <mutex>
#include <optional>

namespace papayaspindle {

/**
 * The homes of all groups, cached until membership or the group's settings change.
 *
 * Thread-safe. Lock order: its lock is taken before those of the instances.
 */
class HomeDirectory : public Homes
{
public:
  HomeDirectory(const Groups& aGroups, const Instances& aInstances, NowHook aNow);

  [[nodiscard]] std::vector<InstanceId> HomesOf(const GroupId& aGroup) const override;
  [[nodiscard]] int OwnRank(const GroupId& aGroup) const override;

private:
  struct Entry
  {
    std::uint64_t mSettingsRevision = 0;
    std::uint64_t mLiveRevision = 0;
    std::vector<InstanceId> mHomes;
  };

  void RefreshLive() const;

  const Groups& mGroups;
  const Instances& mInstances;
  NowHook mNow;
  HomeRanking mRanking;
  mutable std::mutex mMutex;
  mutable std::vector<InstanceInfo> mLive;
  /** Counts the changes of mLive. */
  mutable std::uint64_t mLiveRevision = 0;
  mutable std::optional<TimePoint> mLiveReadAt;
  mutable std::map<GroupId, Entry> mEntries;
};

} // namespace papayaspindle
