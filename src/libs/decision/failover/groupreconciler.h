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

/** Begin a failover that no suspicion asked for. */
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
  /** Oldest status that counts; above the 1 s between polls of an idle group. */
  std::chrono::milliseconds mFresh{ 1500 };
  /** Time for a running failover to promote in the term that it raised. */
  std::chrono::milliseconds mLeaderless{ 1000 };
  /** Pause between two attempts to replace a leaving primary. */
  std::chrono::milliseconds mReplaceAgain{ 5000 };
  /** Pause between two Follow requests to a member. */
  std::chrono::milliseconds mFollowAgain{ 250 };
  std::chrono::milliseconds mPerRank{ 500 };
};

/** What is known of the group when the reconciler looks at it. */
struct ReconcileInput
{
  std::vector<FailoverMember> mMembers;
  GroupView mView;
  /** This instance's rank among the group's homes. */
  int mRank = 0;
};

/**
 * Brings members and view together outside failovers.
 *
 * - A member of an older term, or one that follows nobody, is told to follow.
 * - A view is learned when a majority answers and the highest term among them has a
 *   primary: a higher term would have been granted by one of them.
 * - A highest term without a primary is left by a failover that did not finish; another
 *   one starts.
 * - A primary that is leaving is replaced while the others alone are a majority.
 * - The members of a new group, which all report term 0, get their first primary.
 */
class GroupReconciler
{
public:
  explicit GroupReconciler(const ReconcileSettings& aSettings);

  void OnStatus(const MemberStatus& aStatus);
  /** Called regularly while no failover of the group runs here. */
  ReconcileActions OnTick(const ReconcileInput& aInput, TimePoint aNow);

private:
  using Fresh = std::vector<const MemberStatus*>;

  [[nodiscard]] Fresh FreshOf(const ReconcileInput& aInput, TimePoint aNow) const;
  bool IsDue(std::optional<TimePoint>& aSince, Duration aWait, TimePoint aNow) const;
  void CheckPrimary(const ReconcileInput& aInput,
                    const Fresh& aFresh,
                    TimePoint aNow,
                    ReconcileActions& aActions);
  void CheckLeaving(const ReconcileInput& aInput,
                    const Fresh& aFresh,
                    TimePoint aNow,
                    ReconcileActions& aActions);
  void CheckFollower(const ReconcileInput& aInput,
                     const MemberStatus& aStatus,
                     TimePoint aNow,
                     ReconcileActions& aActions);

  struct FollowState
  {
    std::optional<TimePoint> mSince;
    std::optional<TimePoint> mSentAt;
  };

  ReconcileSettings mSettings;
  std::map<MemberId, MemberStatus> mStatuses;
  std::map<MemberId, FollowState> mFollows;
  std::optional<TimePoint> mNoPrimarySince;
  std::optional<TimePoint> mLeavingSince;
  std::optional<TimePoint> mReplacedAt;
};

} // namespace papayaspindle
