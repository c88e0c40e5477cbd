#pragma once

#include "interfaces/groups.h"

#include <map>
#include <shared_mutex>

namespace papayaspindle {

/**
 * Table of database groups that is shared by all threads of the instance.
 *
 * Lock order: no other lock is acquired while the lock of this table is held.
 */
class GroupTable : public Groups
{
public:
  [[nodiscard]] std::vector<GroupId> Names() const override;
  [[nodiscard]] std::optional<GroupSettings> Settings(
    const GroupId& aGroup) const override;
  [[nodiscard]] GroupView View(const GroupId& aGroup) const override;
  bool OfferView(const GroupView& aView) override;
  bool OfferSettings(const GroupSettings& aSettings) override;

private:
  mutable std::shared_mutex mMutex;
  std::map<GroupId, GroupSettings> mSettings;
  std::map<GroupId, GroupView> mViews;
};

} // namespace papayaspindle
