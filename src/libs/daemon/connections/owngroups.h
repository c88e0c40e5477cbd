#pragma once

#include "core/ids.h"

#include <cstddef>
#include <mutex>
#include <set>
#include <vector>

namespace papayaspindle {

class Groups;
class Homes;

/**
 * The groups whose home this instance is. Thread-safe.
 *
 * Lock order: its lock is a leaf; groups and homes are asked without it.
 */
class OwnGroups
{
public:
  OwnGroups(const Groups& aGroups, const Homes& aHomes);

  /** Looks at a part of all groups; called once a second. A full pass takes five calls
   * when there are many groups, because ranking thousands each second would take more of
   * the processor than all control work may. */
  void Scan();
  /** @return the groups, as of the last pass */
  [[nodiscard]] std::vector<GroupId> List() const;

private:
  const Groups& mGroups;
  const Homes& mHomes;
  std::size_t mCursor = 0;
  mutable std::mutex mMutex;
  std::set<GroupId> mOwn;
};

} // namespace papayaspindle
