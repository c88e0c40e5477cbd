#pragma once

#include "core/ids.h"
#include "daemon/connections/groupshare.h"
#include "decision/allowance/authorityholder.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle {

/** The shares of all groups and this process's authority, under one lock. */
struct ShareState
{
  ShareState(InstanceId aSelf, std::string aProcess)
    : mSelf(std::move(aSelf))
    , mAuthority(std::move(aProcess))
  {
  }

  /** Requires mMutex. */
  GroupShare& ShareOf(const GroupId& aGroup)
  {
    return mShares.try_emplace(aGroup, mSelf).first->second;
  }

  /** @return aGroups and the groups that have a share, each once */
  std::set<GroupId> Known(const std::vector<GroupId>& aGroups)
  {
    std::set<GroupId> known(aGroups.begin(), aGroups.end());
    const std::lock_guard lock(mMutex);
    for (const auto& [group, share] : mShares) {
      known.insert(group);
    }
    return known;
  }

  const InstanceId mSelf;
  std::mutex mMutex;
  AuthorityHolder mAuthority;
  std::map<GroupId, GroupShare> mShares;
};

} // namespace papayaspindle
