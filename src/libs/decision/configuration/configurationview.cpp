#include "decision/configuration/configurationview.h"

#include <algorithm>

namespace papayaspindle {

ConfigurationView::ConfigurationView(std::size_t aMaxLog)
  : mMaxLog(aMaxLog)
{
}

ApplyResult
ConfigurationView::Apply(const ConfigurationChange& aChange)
{
  if (aChange.mRevision <= mRevision) {
    return ApplyResult::NotNewer;
  }
  if (aChange.mRevision != mRevision + 1) {
    return ApplyResult::Gap;
  }
  mRevision = aChange.mRevision;
  mGroups[aChange.mSettings.mGroup] = aChange.mSettings;
  mLog.push_back(aChange);
  if (mLog.size() > mMaxLog) {
    mLog.pop_front();
  }
  return ApplyResult::Applied;
}

bool
ConfigurationView::Load(const ConfigurationSnapshot& aSnapshot)
{
  if (aSnapshot.mRevision <= mRevision) {
    return false;
  }
  mRevision = aSnapshot.mRevision;
  mLog.clear();
  mGroups.clear();
  for (const GroupSettings& group : aSnapshot.mGroups) {
    mGroups[group.mGroup] = group;
  }
  return true;
}

const GroupSettings*
ConfigurationView::Find(const GroupId& aGroup) const
{
  const auto group = mGroups.find(aGroup);
  return group == mGroups.end() ? nullptr : &group->second;
}

ConfigurationSnapshot
ConfigurationView::Snapshot() const
{
  ConfigurationSnapshot snapshot;
  snapshot.mRevision = mRevision;
  for (const auto& [id, settings] : mGroups) {
    snapshot.mGroups.push_back(settings);
  }
  return snapshot;
}

std::optional<std::vector<ConfigurationChange>>
ConfigurationView::ChangesAfter(std::uint64_t aRevision) const
{
  if (aRevision >= mRevision) {
    return std::vector<ConfigurationChange>();
  }
  if (mLog.empty() || mLog.front().mRevision > aRevision + 1) {
    return std::nullopt;
  }
  const auto first =
    std::find_if(mLog.begin(), mLog.end(), [&](const ConfigurationChange& aChange) {
      return aChange.mRevision > aRevision;
    });
  return std::vector<ConfigurationChange>(first, mLog.end());
}

} // namespace papayaspindle
