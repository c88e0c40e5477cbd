#pragma once

#include "core/groupview.h"
#include "core/timetypes.h"
#include "decision/failover/failoveraction.h"
#include "decision/failover/failoversetup.h"
#include "decision/failover/memberstatus.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace papayaspindle {

/** Start a failover for a reason other than a suspicion. */
struct StartFailover
{
  FailoverReason mReason = FailoverReason::Leaderless;
  /** Highest term that a member reports. */
  std::uint64_t mTerm = 0;
};

using ReconcileAction = std::variant<AnnounceView, RecordView, SendFollow, StartFailover>;
using ReconcileActions = std::vector<ReconcileAction>;

/** Time limits of the reconciler. */
struct ReconcileSettings
{
  /** Age up to which a status counts; above the 1 s poll interval of an idle group. */
  std::chrono::milliseconds mMaxStatusAge{ 1500 };
  /** Time that a failover elsewhere has to promote a primary in its new term. */
  std::chrono::milliseconds mLeaderlessTimeout{ 1000 };
  /** Minimum time between two attempts to replace a leaving primary. */
  std::chrono::milliseconds mReplaceInterval{ 5000 };
  /** Minimum time between two Follow requests to a member. */
  std::chrono::milliseconds mFollowInterval{ 250 };
  /** Additional delay for each rank, so that a lower-ranked home acts only if the homes
   * before it did not. */
  std::chrono::milliseconds mDelayPerRank{ 500 };
};

/** State of the group at a tick of the reconciler. */
struct ReconcileInput
{
  std::vector<FailoverMember> mMembers;
  GroupView mView;
  /** This instance's rank among the group's homes. */
  int mRank = 0;
};

/**
 * Makes the members and this instance's view agree while no failover is running.
 *
 * - A member that is in an older term or does not follow the view's primary is sent a
 *   Follow request.
 * - If a majority of members answers and the highest term among them has a primary, that
 *   term and primary become the view. Any higher term would have needed the grant of one
 *   of the answering members.
 * - If the highest term has no primary, a failover did not finish, and a new one starts.
 * - A leaving primary is replaced if the members that follow it and are not leaving are a
 *   majority.
 * - If all members report term 0, the group is new, and a failover promotes its first
 *   primary.
 */
class GroupReconciler
{
public:
  explicit GroupReconciler(const ReconcileSettings& aSettings);

  void OnStatus(const MemberStatus& aStatus);
  /** Must be called regularly while this instance runs no failover of the group. */
  ReconcileActions OnTick(const ReconcileInput& aInput, TimePoint aNow);

private:
  using FreshStatuses = std::vector<const MemberStatus*>;

  [[nodiscard]] FreshStatuses CollectFreshStatuses(const ReconcileInput& aInput,
                                                   TimePoint aNow) const;
  /**
   * @param aSince when the condition was first seen; set to aNow when it is empty
   * @return whether the condition has held for aWait
   */
  bool IsDue(std::optional<TimePoint>& aSince, Duration aWait, TimePoint aNow) const;
  void CheckPrimary(const ReconcileInput& aInput,
                    const FreshStatuses& aFresh,
                    TimePoint aNow,
                    ReconcileActions& aActions);
  void CheckLeavingPrimary(const ReconcileInput& aInput,
                           const FreshStatuses& aFresh,
                           TimePoint aNow,
                           ReconcileActions& aActions);
  void CheckFollower(const ReconcileInput& aInput,
                     const MemberStatus& aStatus,
                     TimePoint aNow,
                     ReconcileActions& aActions);

  struct FollowState
  {
    std::optional<TimePoint> mNeededSince;
    std::optional<TimePoint> mLastSentAt;
  };

  ReconcileSettings mSettings;
  std::map<MemberId, MemberStatus> mStatuses;
  std::map<MemberId, FollowState> mFollowStates;
  std::optional<TimePoint> mPrimaryMissingSince;
  std::optional<TimePoint> mLeavingSince;
  std::optional<TimePoint> mLastReplacementAt;
};

} // namespace papayaspindle
