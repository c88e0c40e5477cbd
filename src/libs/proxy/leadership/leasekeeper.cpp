#include "proxy/leadership/leasekeeper.h"

#include "proxy/leadership/leaserenewal.h"
#include "proxy/leadership/leasetimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
/** Interval of the checks while no group needs leases. */
constexpr Duration kIdleInterval = std::chrono::seconds(1);

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
  if (aNow < mNextCheck) {
    return;
  }
  std::vector<std::string> groups = mHooks.mGroups();
  std::erase_if(groups,
                [this](const std::string& aGroup) { return !mLeases.AreNeeded(aGroup); });
  mNextCheck = aNow + (groups.empty() ? kIdleInterval : kCheckInterval);
  bool needsStore = false;
  bool isAnyClaimed = false;
  for (const std::string& group : groups) {
    Renewal& renewal = mRenewals[group];
    if (!renewal.mIsQueryPending && aNow - renewal.mQueriedAt >= kLeaseRenewalInterval) {
      QueryFollower(group, renewal, aNow);
    }
    // A claim ends all leases until its outcome is written, which the feed delivers.
    const bool isClaimed = mLeases.Leader(group) == std::string();
    isAnyClaimed = isAnyClaimed || isClaimed;
    needsStore =
      needsStore || (!isClaimed && mLeases.LeaseExpiry(group) - aNow < kStoreReadMargin);
  }
  const Duration sinceRead = aNow - mStoreReadAt;
  if ((needsStore && sinceRead >= kStoreReadInterval) ||
      (isAnyClaimed && sinceRead >= kClaimReadInterval)) {
    mStoreReadAt = aNow;
    mHooks.mReadStore(aNow);
  }
}

void
LeaseKeeper::QueryFollower(const std::string& aGroup, Renewal& aRenewal, TimePoint aNow)
{
  std::vector<MemberEntry> followers = mHooks.mFollowers(aGroup);
  const std::optional<std::string> leaderZone = mHooks.mLeaderZone(aGroup);
  std::erase_if(followers, [&](const MemberEntry& aFollower) {
    return !leaderZone || !RenewsLeases(aFollower.mZone, *leaderZone);
  });
  if (followers.empty()) {
    return;
  }
  // Traffic between zones costs more, and partitions within a zone are rare.
  std::stable_sort(followers.begin(),
                   followers.end(),
                   [&](const MemberEntry& aLeft, const MemberEntry& aRight) {
                     return (aLeft.mZone == mZone) > (aRight.mZone == mZone);
                   });
  const MemberEntry& follower = followers[aRenewal.mFailures % followers.size()];
  aRenewal.mIsQueryPending = true;
  aRenewal.mQueriedAt = aNow;
  const MemberCommand status{ .mKind = CommandKind::Status };
  mHooks.mQueryStatus(follower.mId,
                      status,
                      kFollowerReplyTimeout,
                      aNow,
                      [this, aGroup, aNow, leader = mLeases.Leader(aGroup)](
                        const std::optional<MemberReply>& aReply) {
                        Renewal& renewal = mRenewals[aGroup];
                        renewal.mIsQueryPending = false;
                        if (!aReply || !aReply->mStatus) {
                          renewal.mFailures++;
                          // The next follower is queried without delay.
                          renewal.mQueriedAt = {};
                          return;
                        }
                        // The follower may be in the zone of a leader that was chosen
                        // in the meantime.
                        if (mLeases.Leader(aGroup) == leader) {
                          mLeases.OnFollowerStatus(
                            aGroup, *aReply->mStatus, aNow, mHooks.mNow());
                        }
                      });
}

} // namespace papayaspindle::proxy
