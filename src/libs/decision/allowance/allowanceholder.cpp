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
  std::erase_if(mSentAt, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kLeaseDuration;
  });
  mSentAt[mNextRequest] = aNow;
  return mNextRequest++;
}

void
AllowanceHolder::OnGrant(std::uint64_t aRequest,
                         std::uint32_t aGranted,
                         Duration aDuration,
                         std::uint64_t aClaim)
{
  const auto sent = mSentAt.find(aRequest);
  if (sent == mSentAt.end() || aClaim < mClaim) {
    return;
  }
  mClaim = aClaim;
  mLease = aGranted;
  mLeaseEnd = sent->second + std::min<Duration>(aDuration, kLeaseDuration);
  mSentAt.erase(mSentAt.begin(), std::next(sent));
}

HomeFloor
AllowanceHolder::Own() const
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
  // A release that was sent may take effect late, but only while the record keeps its
  // version. What it would release is therefore unused at this version.
  const HomeFloor own = Own();
  return std::min(own.mFloor, own.mTarget);
}

std::uint32_t
AllowanceHolder::Reserved() const
{
  return Own().mFloor;
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
AllowanceHolder::MustClose(std::uint32_t aOpen, TimePoint aNow) const
{
  const std::uint32_t allowance = Allowance(aNow);
  return aOpen > allowance ? aOpen - allowance : 0;
}

std::optional<AllocationRecord>
AllowanceHolder::Release(std::uint32_t aOpen, TimePoint aNow) const
{
  AllocationRecord next = ReleaseFloor(mRecord, mSelf);
  if (next == mRecord || MustClose(aOpen, aNow) > 0) {
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
