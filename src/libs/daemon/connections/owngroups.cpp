#include "daemon/connections/owngroups.h"

#include "interfaces/groups.h"
#include "interfaces/homes.h"

#include <algorithm>

namespace papayaspindle {

namespace {

constexpr std::size_t kScansForAll = 5;
/** Up to this number, every call looks at all groups. */
constexpr std::size_t kMinScanned = 200;

} // namespace

OwnGroups::OwnGroups(const Groups& aGroups, const Homes& aHomes)
  : mGroups(aGroups)
  , mHomes(aHomes)
{
}

void
OwnGroups::Scan()
{
  const std::vector<GroupId> names = mGroups.Names();
  const std::size_t part = std::max(kMinScanned, names.size() / kScansForAll + 1);
  const std::size_t count = std::min(part, names.size());
  for (std::size_t i = 0; i < count; ++i) {
    mCursor = (mCursor + 1) % names.size();
    const GroupId& group = names[mCursor];
    const bool own = mHomes.OwnRank(group) >= 0;
    const std::lock_guard lock(mMutex);
    if (own) {
      mOwn.insert(group);
    } else {
      mOwn.erase(group);
    }
  }
}

std::vector<GroupId>
OwnGroups::List() const
{
  const std::lock_guard lock(mMutex);
  return { mOwn.begin(), mOwn.end() };
}

} // namespace papayaspindle
