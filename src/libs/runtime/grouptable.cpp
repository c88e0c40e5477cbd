#include "runtime/grouptable.h"

#include <mutex>

namespace papayaspindle {

std::vector<GroupId>
GroupTable::Names() const
{
  const std::shared_lock lock(mMutex);
  std::vector<GroupId> names;
  names.reserve(mSettings.size());
  for (const auto& [name, settings] : mSettings) {
    names.push_back(name);
  }
  return names;
}

std::optional<GroupSettings>
GroupTable::Settings(const GroupId& aGroup) const
{
  const std::shared_lock lock(mMutex);
  const auto found = mSettings.find(aGroup);
  if (found == mSettings.end()) {
    return std::nullopt;
  }
  return found->second;
}

GroupView
GroupTable::View(const GroupId& aGroup) const
{
  const std::shared_lock lock(mMutex);
  const auto found = mViews.find(aGroup);
  if (found == mViews.end()) {
    return { aGroup, 0, MemberId() };
  }
  return found->second;
}

bool
GroupTable::OfferView(const GroupView& aView)
{
  const std::unique_lock lock(mMutex);
  GroupView& known =
    mViews.try_emplace(aView.mGroup, GroupView{ aView.mGroup, 0, MemberId() })
      .first->second;
  const bool higher = aView.mTerm > known.mTerm;
  const bool completes =
    aView.mTerm == known.mTerm && known.mPrimary.IsEmpty() && !aView.mPrimary.IsEmpty();
  if (!higher && !completes) {
    return false;
  }
  known = aView;
  return true;
}

bool
GroupTable::OfferSettings(const GroupSettings& aSettings)
{
  const std::unique_lock lock(mMutex);
  GroupSettings& known = mSettings[aSettings.mGroup];
  if (aSettings.mRevision <= known.mRevision) {
    return false;
  }
  known = aSettings;
  return true;
}

} // namespace papayaspindle
