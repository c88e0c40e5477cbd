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
    mQuarantineEnd.reset();
  } else if (newClaim) {
    mQuarantineEnd = aNow + kLeaseQuarantine;
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
  const bool ownLeasesOnly = mQuarantineEnd && aNow >= *mQuarantineEnd;
  return ownLeasesOnly && Outstanding(aNow) + next <= mLimit;
}

LeaseGrant
AllowanceLedger::Grant(const LeaseRequest& aRequest,
                       std::optional<std::uint64_t> aValidEpoch,
                       TimePoint aNow)
{
  mLastRequestTimes[aRequest.mHolder] = aNow;
  LeaseGrant grant;
  grant.mClaim = mRecord.mClaim;
  grant.mRefusal = FindRefusal(aRequest, aValidEpoch, aNow);
  if (grant.mRefusal != LeaseRefusal::None) {
    return grant;
  }
  RemoveExpired(aNow);
  Holder& holder = mHolders[aRequest.mHolder];
  holder.mDemand = aRequest.mDemand;
  holder.mInUse = aRequest.mInUse;
  holder.mRequestedAt = aNow;
  const std::uint32_t others = Outstanding(aNow) - OutstandingOf(holder, aNow);
  const std::uint32_t pool = PoolSize();
  const std::uint32_t left = pool > others ? pool - others : 0;
  grant.mGranted = std::min(FairShareOf(aRequest.mHolder), left);
  grant.mDuration = kLeaseDuration;
  if (grant.mGranted > 0) {
    holder.mLeases.push_back({ grant.mGranted, aNow + kLeaseDuration });
  }
  return grant;
}

bool
AllowanceLedger::HasRecentRequest(const InstanceId& aHolder, TimePoint aNow) const
{
  const auto found = mLastRequestTimes.find(aHolder);
  return found != mLastRequestTimes.end() && aNow - found->second < kLeaseDuration;
}

void
AllowanceLedger::StopGranting()
{
  mQuarantineEnd.reset();
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
  return mQuarantineEnd.has_value();
}

std::uint32_t
AllowanceLedger::Limit() const
{
  return mLimit;
}

LeaseRefusal
AllowanceLedger::FindRefusal(const LeaseRequest& aRequest,
                             std::optional<std::uint64_t> aValidEpoch,
                             TimePoint aNow) const
{
  if (!mQuarantineEnd || aRequest.mClaim > mRecord.mClaim) {
    return LeaseRefusal::NotKeeper;
  }
  if (!aValidEpoch || *aValidEpoch != mRecord.mKeeperEpoch) {
    return LeaseRefusal::NoAuthority;
  }
  return aNow < *mQuarantineEnd ? LeaseRefusal::Quarantine : LeaseRefusal::None;
}

std::uint32_t
AllowanceLedger::PoolSize() const
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
  return FairShares(demands, PoolSize())[own];
}

void
AllowanceLedger::RemoveExpired(TimePoint aNow)
{
  for (auto& [name, holder] : mHolders) {
    std::erase_if(holder.mLeases,
                  [aNow](const Lease& aLease) { return aLease.mExpiresAt <= aNow; });
  }
  std::erase_if(mLastRequestTimes, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kLeaseDuration;
  });
  // A home that has sent no request for the duration of a lease has no demand any more.
  std::erase_if(mHolders, [aNow](const auto& aEntry) {
    return aEntry.second.mLeases.empty() &&
           aNow - aEntry.second.mRequestedAt >= kLeaseDuration;
  });
}

std::uint32_t
AllowanceLedger::OutstandingOf(const Holder& aHolder, TimePoint aNow)
{
  const bool fresh = aNow - aHolder.mRequestedAt < kLeaseDuration;
  std::uint32_t highest = fresh ? aHolder.mInUse : 0;
  for (const Lease& lease : aHolder.mLeases) {
    if (aNow < lease.mExpiresAt) {
      highest = std::max(highest, lease.mConnections);
    }
  }
  return highest;
}

} // namespace papayaspindle
