#include "decision/allowance/allowanceledger.h"

#include "decision/allowance/allowancetimes.h"
#include "decision/allowance/fairshare.h"
#include "decision/allowance/floorplan.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace papayaspindle {

AllowanceLedger::AllowanceLedger(InstanceId aSelf)
  : mSelf(std::move(aSelf))
{
}

void
AllowanceLedger::SetLimit(std::uint32_t aLimit, std::uint64_t aRevision)
{
  if (aRevision <= mLimitRevision) {
    return;
  }
  mLimit = aLimit;
  mLimitRevision = aRevision;
}

void
AllowanceLedger::SetRecord(const AllocationRecord& aRecord, TimePoint aNow)
{
  if (aRecord.mVersion <= mRecord.mVersion) {
    return;
  }
  SetLimit(aRecord.mLimit, aRecord.mLimitRevision);
  const bool newClaim = aRecord.mClaim != mRecord.mClaim;
  mRecord = aRecord;
  mPlannedFloors = 0;
  if (mRecord.mKeeper != mSelf) {
    mGrantsFrom.reset();
  } else if (newClaim) {
    mGrantsFrom = aNow + kLeaseQuarantine;
  }
}

bool
AllowanceLedger::PrepareFloors(const AllocationRecord& aNext, TimePoint aNow)
{
  if (aNext.mVersion != mRecord.mVersion) {
    return false;
  }
  const std::uint32_t next = SumOfFloors(aNext);
  mPlannedFloors = std::max(mPlannedFloors, next);
  if (next <= SumOfFloors(mRecord)) {
    return true;
  }
  const bool ownLeasesOnly = mGrantsFrom && aNow >= *mGrantsFrom;
  return ownLeasesOnly && Outstanding(aNow) + next <= mLimit;
}

LeaseGrant
AllowanceLedger::Grant(const LeaseRequest& aRequest,
                       std::optional<std::uint64_t> aValidEpoch,
                       TimePoint aNow)
{
  mAsked[aRequest.mHolder] = aNow;
  LeaseGrant grant;
  grant.mClaim = mRecord.mClaim;
  grant.mRefusal = Check(aRequest, aValidEpoch, aNow);
  if (grant.mRefusal != LeaseRefusal::None) {
    return grant;
  }
  DropExpired(aNow);
  Holder& holder = mHolders[aRequest.mHolder];
  holder.mDemand = aRequest.mDemand;
  holder.mInUse = aRequest.mInUse;
  holder.mAskedAt = aNow;
  const std::uint32_t others = Outstanding(aNow) - OutstandingOf(holder, aNow);
  const std::uint32_t pool = Pool();
  const std::uint32_t left = pool > others ? pool - others : 0;
  grant.mGranted = std::min(FairShareOf(aRequest.mHolder), left);
  grant.mDuration = kLeaseDuration;
  if (grant.mGranted > 0) {
    holder.mLeases.push_back({ grant.mGranted, aNow + kLeaseDuration });
  }
  return grant;
}

bool
AllowanceLedger::HasAsked(const InstanceId& aHolder, TimePoint aNow) const
{
  const auto found = mAsked.find(aHolder);
  return found != mAsked.end() && aNow - found->second < kLeaseDuration;
}

void
AllowanceLedger::StopGranting()
{
  mGrantsFrom.reset();
}

std::uint32_t
AllowanceLedger::Outstanding(TimePoint aNow) const
{
  std::uint32_t sum = 0;
  for (const auto& [name, holder] : mHolders) {
    sum += OutstandingOf(holder, aNow);
  }
  return sum;
}

bool
AllowanceLedger::HasClaim() const
{
  return mGrantsFrom.has_value();
}

std::uint32_t
AllowanceLedger::Limit() const
{
  return mLimit;
}

LeaseRefusal
AllowanceLedger::Check(const LeaseRequest& aRequest,
                       std::optional<std::uint64_t> aValidEpoch,
                       TimePoint aNow) const
{
  if (!mGrantsFrom || aRequest.mClaim > mRecord.mClaim) {
    return LeaseRefusal::NotKeeper;
  }
  if (!aValidEpoch || *aValidEpoch != mRecord.mKeeperEpoch) {
    return LeaseRefusal::NoAuthority;
  }
  return aNow < *mGrantsFrom ? LeaseRefusal::Quarantine : LeaseRefusal::None;
}

std::uint32_t
AllowanceLedger::Pool() const
{
  const std::uint32_t floors = std::max(SumOfFloors(mRecord), mPlannedFloors);
  return mLimit > floors ? mLimit - floors : 0;
}

std::uint32_t
AllowanceLedger::FairShareOf(const InstanceId& aHolder) const
{
  std::vector<std::uint32_t> demands;
  std::size_t own = 0;
  for (const auto& [name, holder] : mHolders) {
    if (name == aHolder) {
      own = demands.size();
    }
    demands.push_back(holder.mDemand);
  }
  return FairShares(demands, Pool())[own];
}

void
AllowanceLedger::DropExpired(TimePoint aNow)
{
  for (auto& [name, holder] : mHolders) {
    std::erase_if(holder.mLeases,
                  [aNow](const Lease& aLease) { return aLease.mUntil <= aNow; });
  }
  std::erase_if(mAsked, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kLeaseDuration;
  });
  // A home that has not asked for the length of a lease wants nothing any more.
  std::erase_if(mHolders, [aNow](const auto& aEntry) {
    return aEntry.second.mLeases.empty() &&
           aNow - aEntry.second.mAskedAt >= kLeaseDuration;
  });
}

std::uint32_t
AllowanceLedger::OutstandingOf(const Holder& aHolder, TimePoint aNow)
{
  const bool fresh = aNow - aHolder.mAskedAt < kLeaseDuration;
  std::uint32_t most = fresh ? aHolder.mInUse : 0;
  for (const Lease& lease : aHolder.mLeases) {
    if (aNow < lease.mUntil) {
      most = std::max(most, lease.mCount);
    }
  }
  return most;
}

} // namespace papayaspindle
