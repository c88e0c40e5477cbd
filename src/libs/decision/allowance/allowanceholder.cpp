#include "decision/allowance/allowanceholder.h"

#include "decision/allowance/allowancetimes.h"
#include "decision/allowance/floorplan.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayaspindle {

AllowanceHolder::AllowanceHolder(InstanceId aSelf)
  : mSelf(std::move(aSelf))
{
}

void
AllowanceHolder::OnRecord(const AllocationRecord& aRecord)
{
  if (aRecord.mVersion <= mRecord.mVersion) {
    return;
  }
  mRecord = aRecord;
  mClaim = std::max(mClaim, aRecord.mClaim);
}

std::uint64_t
AllowanceHolder::BeginRequest(TimePoint aNow)
{
  std::erase_if(mRequestTimes, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kLeaseDuration;
  });
  mRequestTimes[mNextRequest] = aNow;
  return mNextRequest++;
}

void
AllowanceHolder::OnGrant(std::uint64_t aRequest,
                         std::uint32_t aGranted,
                         Duration aDuration,
                         std::uint64_t aClaim)
{
  const auto sent = mRequestTimes.find(aRequest);
  if (sent == mRequestTimes.end() || aClaim < mClaim) {
    return;
  }
  mClaim = aClaim;
  mLease = aGranted;
  mLeaseEnd = sent->second + std::min<Duration>(aDuration, kLeaseDuration);
  mRequestTimes.erase(mRequestTimes.begin(), std::next(sent));
}

HomeFloor
AllowanceHolder::OwnFloor() const
{
  for (const HomeFloor& floor : mRecord.mFloors) {
    if (floor.mHome == mSelf) {
      return floor;
    }
  }
  return {};
}

std::uint32_t
AllowanceHolder::Floor() const
{
  // A release that was sent may still be committed later, as long as the record keeps
  // this version. The connections above the target are therefore not used.
  const HomeFloor own = OwnFloor();
  return std::min(own.mFloor, own.mTarget);
}

std::uint32_t
AllowanceHolder::ReservedFloor() const
{
  return OwnFloor().mFloor;
}

std::uint32_t
AllowanceHolder::Lease() const
{
  return mLease;
}

TimePoint
AllowanceHolder::LeaseEnd() const
{
  return mLeaseEnd;
}

std::uint32_t
AllowanceHolder::Allowance(TimePoint aNow) const
{
  return Floor() + (aNow < mLeaseEnd ? mLease : 0);
}

std::uint32_t
AllowanceHolder::ConnectionsToClose(std::uint32_t aOpen, TimePoint aNow) const
{
  const std::uint32_t allowance = Allowance(aNow);
  return aOpen > allowance ? aOpen - allowance : 0;
}

std::optional<AllocationRecord>
AllowanceHolder::Release(std::uint32_t aOpen, TimePoint aNow) const
{
  AllocationRecord next = ReleaseFloor(mRecord, mSelf);
  if (next == mRecord || ConnectionsToClose(aOpen, aNow) > 0) {
    return std::nullopt;
  }
  return next;
}

std::uint64_t
AllowanceHolder::Claim() const
{
  return mClaim;
}

std::uint64_t
AllowanceHolder::RecordVersion() const
{
  return mRecord.mVersion;
}

} // namespace papayaspindle
