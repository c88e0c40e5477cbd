#pragma once

#include "core/hooks.h"
#include "daemon/connections/allowancemanager.h"
#include "daemon/connections/allowancestore.h"
#include "daemon/connections/owngroups.h"
#include "daemon/connections/sharestate.h"
#include "decision/allowance/authoritywatcher.h"
#include "decision/allowance/floorplan.h"
#include "decision/allowance/listedinstances.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace papayaspindle {

/**
 * What the allowance manager does with the table service. One thread at a time.
 *
 * A round ends with the first call that fails, so that a table service that is down costs
 * one time limit for each round and not one for each group.
 */
class AllowanceSync
{
public:
  /** @param aChanged called without a lock after a group's record has changed here */
  AllowanceSync(const AllowanceServices& aServices,
                ShareState& aState,
                const OwnGroups& aOwnGroups,
                NowHook aNow,
                std::function<void(const GroupId&)> aChanged);

  /** Runs one round over the authority and all groups. */
  void Round();
  /** Gives up all claims and the authority. */
  void GiveUp();

private:
  void RenewAuthority();
  void ReadListing();
  void SyncGroup(const GroupId& aGroup);
  void Keep(const GroupId& aGroup, const AllocationRecord& aRecord, std::uint64_t aEpoch);
  void Plan(const GroupId& aGroup, const AllocationRecord& aRecord);
  void Release(const GroupId& aGroup);
  void GiveUpClaim(const AllocationRecord& aRecord);
  std::optional<AllocationRecord> RecordOf(const GroupId& aGroup);
  void ReadRecord(const GroupId& aGroup);
  void OnReadFailed(const GroupId& aGroup, const Error& aError);
  void Write(const GroupId& aGroup, const AllowanceWrite& aWrite);
  const AuthorityWatcher& WatchKeeper(const AllocationRecord& aRecord);
  [[nodiscard]] FloorPlanInput PlanInput(const GroupId& aGroup) const;
  std::optional<std::uint64_t> ValidEpoch();

  AllowanceServices mServices;
  ShareState& mState;
  const OwnGroups& mOwnGroups;
  NowHook mNow;
  std::function<void(const GroupId&)> mChanged;
  AllowanceStore mStore;
  ListedInstances mListed;
  std::optional<TimePoint> mListedAt;
  bool mNeedsListing = true;
  bool mStoreFailed = false;
  std::map<InstanceId, AuthorityWatcher> mWatchers;
  /** Authority rows that were read in this round. */
  std::set<InstanceId> mWatched;
};

} // namespace papayaspindle
