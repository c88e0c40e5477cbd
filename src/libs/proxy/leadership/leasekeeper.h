#pragma once

#include "core/timetypes.h"
#include "proxy/leadership/leaderleases.h"
#include "proxy/leadership/primaryhealth.h"
#include "proxy/membercommand.h"
#include "proxy/memberentry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** Functions that the lease keeper depends on. */
struct LeaseKeeperHooks
{
  /** Groups whose leaders this instance uses. */
  std::function<std::vector<std::string>()> mGroups;
  /** Listed members of a group that don't lead. */
  std::function<std::vector<MemberEntry>(std::string_view aGroup)> mFollowers;
  /** Availability zone of a group's leader; nothing if it isn't known. */
  std::function<std::optional<std::string>(std::string_view aGroup)> mLeaderZone;
  /** Sends a command to a member; the duration is the timeout. */
  std::function<
    void(std::string_view aMember, const MemberCommand&, Duration, TimePoint, StatusHook)>
    mQueryStatus;
  /** Reads the coordination rows and passes them to LeaderLeases::OnRows, followed by
   * OnStoreRead. */
  std::function<void(TimePoint)> mReadStore;
  std::function<TimePoint()> mNow;
};

/** Renews this instance's leases on the leaders of its groups. Followers outside the
 * leader's zone renew them, preferably those of this instance's zone; if no follower
 * does, the store is read. */
class LeaseKeeper
{
public:
  LeaseKeeper(std::string aZone, LeaderLeases& aLeases, LeaseKeeperHooks aHooks);

  void OnTimer(TimePoint aNow);
  /** Makes the next OnTimer consider all groups. Called when the groups or their settings
   * may have changed. */
  void OnGroupsChanged() { mNextCheck = TimePoint(); }
  /** @return when OnTimer has to be called next */
  [[nodiscard]] TimePoint NextTimer() const { return mNextCheck; }

private:
  struct Renewal
  {
    bool mIsQueryPending = false;
    TimePoint mQueriedAt;
    /** Number of unanswered status requests; determines the follower to query next. */
    std::size_t mFailures = 0;
  };

  void QueryFollower(const std::string& aGroup, Renewal& aRenewal, TimePoint aNow);

  std::string mZone;
  LeaderLeases& mLeases;
  LeaseKeeperHooks mHooks;
  std::map<std::string, Renewal> mRenewals;
  TimePoint mStoreReadAt;
  TimePoint mNextCheck;
};

} // namespace papayaspindle::proxy
