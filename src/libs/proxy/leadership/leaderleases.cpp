#include "proxy/leadership/leaderleases.h"

#include "proxy/leadership/coordinationrows.h"
#include "proxy/leadership/leasetimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

/** @return the leader that a row names; an empty string for none, nothing if the leader
 * is unknown */
std::optional<std::string>
LeaderOfRow(const std::string& aText)
{
  const auto row = DecodeLeadership(aText);
  // A row that can't be decoded may be a claim.
  if (!row || row->mState == LeadershipState::Claimed) {
    return std::string();
  }
  return row->mLeader == "-" ? std::nullopt : std::optional(row->mLeader);
}

} // namespace

LeaderLeases::LeaderLeases(
  LeadershipEnforcer aEnforcer,
  std::function<std::uint32_t(std::string_view aGroup)> aSynchronousReplicas)
  : mEnforcer(aEnforcer)
  , mSynchronousReplicas(std::move(aSynchronousReplicas))
{
}

void
LeaderLeases::OnRows(std::span<const StoredRow> aRows)
{
  mHasRows = true;
  for (const StoredRow& row : aRows) {
    const auto group = GroupOfLeadership(row.mKey);
    if (!group) {
      continue;
    }
    Lease& lease = mLeases[std::string(*group)];
    // A feed and a read can deliver the same change in either order.
    if (row.Version() <= lease.mVersion) {
      continue;
    }
    lease.mVersion = row.Version();
    lease.mLeader = LeaderOfRow(row.mValue);
    lease.mFollowerLeaseExpiry = {};
  }
}

void
LeaderLeases::OnStoreRead(TimePoint aSentAt)
{
  mStoreReadAt = std::max(mStoreReadAt, aSentAt);
  OnStoreContact(aSentAt);
}

void
LeaderLeases::OnStoreContact(TimePoint aAt)
{
  mStoreContactAt = std::max(mStoreContactAt, aAt);
}

void
LeaderLeases::OnFollowerStatus(std::string_view aGroup,
                               const MemberStatus& aStatus,
                               TimePoint aAskedAt,
                               TimePoint aNow)
{
  const auto found = mLeases.find(aGroup);
  Lease& lease = found == mLeases.end() ? mLeases[std::string(aGroup)] : found->second;
  const bool isFollowing =
    aStatus.mRole == MemberRole::Replica && aStatus.mPausedTerm == 0;
  if (!isFollowing) {
    // Another instance has claimed the leadership of the group for some member.
    lease.mFollowerLeaseExpiry = {};
    return;
  }
  const bool isLeaseValid =
    aNow <= LeaseExpiry(aGroup) && aNow <= FollowerProofsExpiry(aGroup);
  if (isLeaseValid) {
    lease.mFollowerLeaseExpiry =
      std::min(std::max(lease.mFollowerLeaseExpiry, aAskedAt + kLeaderLease),
               FollowerProofsExpiry(aGroup));
  }
}

TimePoint
LeaderLeases::FollowerProofsExpiry(std::string_view aGroup) const
{
  return mStoreContactAt + FollowerProofLimit(mSynchronousReplicas(aGroup));
}

TimePoint
LeaderLeases::LeaseExpiry(std::string_view aGroup) const
{
  if (!mHasRows) {
    return {};
  }
  const TimePoint byStore = mStoreReadAt + kLeaderLease;
  const auto found = mLeases.find(aGroup);
  return found == mLeases.end() ? byStore
                                : std::max(byStore, found->second.mFollowerLeaseExpiry);
}

std::optional<std::string>
LeaderLeases::Leader(std::string_view aGroup) const
{
  const auto found = mLeases.find(aGroup);
  return found == mLeases.end() ? std::nullopt : found->second.mLeader;
}

bool
LeaderLeases::HoldsLease(std::string_view aGroup,
                         std::string_view aMember,
                         TimePoint aNow) const
{
  if (!AreNeeded(aGroup)) {
    return true;
  }
  if (aGroup.empty() || aMember.empty()) {
    return false;
  }
  const std::optional<std::string> leader = Leader(aGroup);
  return (!leader || *leader == aMember) && aNow <= LeaseExpiry(aGroup);
}

} // namespace papayaspindle::proxy
