#pragma once

#include "core/ids.h"
#include "daemon/connections/groupshare.h"
#include "decision/allowance/authorityholder.h"

#include <map>
#include <mutex>
#include <string>
#include <utility>

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

  const InstanceId mSelf;
  std::mutex mMutex;
  AuthorityHolder mAuthority;
  std::map<GroupId, GroupShare> mShares;
};

} // namespace papayaspindle
