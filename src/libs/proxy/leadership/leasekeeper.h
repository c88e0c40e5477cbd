#pragma once

#include "core/timetypes.h"
#include "proxy/leadership/leaderleases.h"
#include "proxy/leadership/primaryhealth.h"
#include "proxy/membercommand.h"
#include "proxy/memberentry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** What the keeper asks of its surroundings. */
struct LeaseKeeperHooks
{
  /** Groups whose leaders this instance uses. */
  std::function<std::vector<std::string>()> mGroups;
  /** Listed members of a group that don't lead. */
  std::function<std::vector<MemberEntry>(std::string_view aGroup)> mFollowers;
  std::function<
    void(std::string_view aMember, const MemberCommand&, Duration, TimePoint, StatusHook)>
    mQueryStatus;
  /** Reads the coordination rows; ends in LeaderLeases::OnRows and OnStoreRead. */
  std::function<void(TimePoint)> mReadStore;
  std::function<TimePoint()> mNow;
};

/** Renews this instance's permissions for the leaders of its groups: by a follower, as a
 * rule one of the own zone, and by the store where no follower answers. */
class LeaseKeeper
{
public:
  LeaseKeeper(std::string aZone, LeaderLeases& aLeases, LeaseKeeperHooks aHooks);

  void OnTimer(TimePoint aNow);
  /** @return when OnTimer is due */
  [[nodiscard]] TimePoint NextTimer() const { return mNextCheck; }

private:
  struct Renewal
  {
    bool mIsAsking = false;
    TimePoint mAskedAt;
    /** Followers in a row that gave no proof. */
    std::size_t mFailures = 0;
  };

  void AskFollower(const std::string& aGroup, Renewal& aRenewal, TimePoint aNow);

  std::string mZone;
  LeaderLeases& mLeases;
  LeaseKeeperHooks mHooks;
  std::map<std::string, Renewal> mRenewals;
  TimePoint mReadAt;
  TimePoint mNextCheck;
};

} // namespace papayaspindle::proxy
