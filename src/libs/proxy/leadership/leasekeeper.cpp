#include "proxy/leadership/leasekeeper.h"

#include "proxy/leadership/leasetimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

} // namespace

LeaseKeeper::LeaseKeeper(std::string aZone,
                         LeaderLeases& aLeases,
                         LeaseKeeperHooks aHooks)
  : mZone(std::move(aZone))
  , mLeases(aLeases)
  , mHooks(std::move(aHooks))
{
}

void
LeaseKeeper::OnTimer(TimePoint aNow)
{
  if (!mLeases.AreNeeded()) {
    mNextCheck = TimePoint::max();
    return;
  }
  if (aNow < mNextCheck) {
    return;
  }
  mNextCheck = aNow + kCheckInterval;
  bool needsStore = false;
  bool isAnyClaimed = false;
  for (const std::string& group : mHooks.mGroups()) {
    Renewal& renewal = mRenewals[group];
    if (!renewal.mIsAsking && aNow - renewal.mAskedAt >= kLeaseRenewal) {
      AskFollower(group, renewal, aNow);
    }
    // A claim ends all permissions until its outcome is written, and the feed brings it.
    const bool isClaimed = mLeases.Leader(group) == std::string();
    isAnyClaimed = isAnyClaimed || isClaimed;
    needsStore = needsStore || (!isClaimed && mLeases.EndOf(group) - aNow < kLeaseMargin);
  }
  const Duration waited = aNow - mReadAt;
  if ((needsStore && waited >= kLeaseReadPause) ||
      (isAnyClaimed && waited >= kClaimReadPause)) {
    mReadAt = aNow;
    mHooks.mReadStore(aNow);
  }
}

void
LeaseKeeper::AskFollower(const std::string& aGroup, Renewal& aRenewal, TimePoint aNow)
{
  std::vector<MemberEntry> followers = mHooks.mFollowers(aGroup);
  if (followers.empty()) {
    return;
  }
  // Bytes between zones cost more, and a cut rarely lies within a zone.
  std::stable_sort(followers.begin(),
                   followers.end(),
                   [&](const MemberEntry& aLeft, const MemberEntry& aRight) {
                     return (aLeft.mZone == mZone) > (aRight.mZone == mZone);
                   });
  const MemberEntry& follower = followers[aRenewal.mFailures % followers.size()];
  aRenewal.mIsAsking = true;
  aRenewal.mAskedAt = aNow;
  const MemberCommand status{ .mKind = CommandKind::Status };
  mHooks.mQueryStatus(follower.mId,
                      status,
                      kFollowerTimeout,
                      aNow,
                      [this, aGroup, aNow](const std::optional<MemberReply>& aReply) {
                        Renewal& renewal = mRenewals[aGroup];
                        renewal.mIsAsking = false;
                        if (!aReply || !aReply->mStatus) {
                          renewal.mFailures++;
                          // Another follower is asked at once.
                          renewal.mAskedAt = {};
                          return;
                        }
                        mLeases.OnFollowerStatus(
                          aGroup, *aReply->mStatus, aNow, mHooks.mNow());
                      });
}

} // namespace papayaspindle::proxy
