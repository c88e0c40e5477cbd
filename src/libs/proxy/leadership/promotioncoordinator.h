#pragma once

#include "core/timetypes.h"
#include "observe/log.h"
#include "proxy/leadership/coordinationrows.h"
#include "proxy/leadership/leaderleases.h"
#include "proxy/leadership/leadershiptransfer.h"
#include "proxy/leadership/pausecheck.h"
#include "proxy/leadership/primaryhealth.h"
#include "proxy/leadership/replicaroster.h"
#include "proxy/membercommand.h"
#include "proxy/memberentry.h"
#include "proxy/rowstore.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** Functions that the promotion coordinator depends on. */
struct PromotionHooks
{
  /** Groups that the coordinator monitors. */
  std::function<std::vector<std::string>()> mGroups;
  std::function<PrimaryHealth(std::string_view aGroup, TimePoint)> mPrimaryHealth;
  /** Listed members of a group that don't lead. */
  std::function<std::vector<MemberEntry>(std::string_view aGroup)> mReplicas;
  /** All listed members of a group. */
  std::function<std::vector<MemberEntry>(std::string_view aGroup)> mMembers;
  /** Highest term seen in a group. */
  std::function<std::uint64_t(std::string_view aGroup)> mNewestTerm;
  /** Whether this instance is partitioned from most zones. Members that it can't reach
   * may then be healthy. */
  std::function<bool()> mIsCutOff;
  /** Whether an instance is a known home of the group outside the primary's zone, which
   * can replace the primary while that zone is cut off. */
  std::function<bool(std::string_view aGroup, const std::string& aInstance)> mIsStandby;
  /** Number of replicas that must have received a commit before it is acknowledged. */
  std::function<std::uint32_t(std::string_view aGroup)> mSynchronousReplicas;
  /** Sends a command to a member; the duration is the timeout. */
  std::function<
    void(std::string_view aMember, const MemberCommand&, Duration, TimePoint, StatusHook)>
    mSendCommand;
  /** Called when the platform has accepted a promotion. */
  std::function<void(std::string_view aGroup, std::string_view aMember, TimePoint)>
    mOnPromotionAccepted;
  std::function<TimePoint()> mNow;
  std::function<void(LogLevel, std::string_view aEvent, std::initializer_list<LogField>)>
    mLog;
};

/**
 * Replaces a group's primary that is unreachable, leaving, no longer listed in the
 * directory, or overloaded because its replicas lag.
 *
 * Instances that can't reach a primary write a suspicion report to the shared store, and
 * instances that can reach it refute the suspicion. The first instance that finds the
 * suspicion confirmed takes the next fencing token by a conditional write, chooses the
 * replica that has received most, and calls the platform to promote it.
 *
 * Where the instances terminate the leadership of a replaced primary
 * (IsTerminatedByInstances), a LeadershipTransfer does so between the claim and the call.
 * Otherwise a home of each group holds reserved tokens, with which it can replace a
 * primary while the store is unavailable; the platform refuses a token once it has seen a
 * newer one.
 *
 * This class is single-threaded.
 */
class PromotionCoordinator
{
public:
  PromotionCoordinator(std::string aInstance,
                       LeadershipEnforcer aEnforcer,
                       SharedStore aStore,
                       PromotionHooks aHooks);

  /** Updates the coordinator with the current rows of the whole coordination table.
   * @param aReceivedAt used for the first rows after the start or a return of the store
   */
  void OnRows(std::span<const StoredRow> aRows,
              TimePoint aNow,
              const ReceivedAtHook& aReceivedAt = {});
  /**
   * Handles a return of the store to an older state. Ends all attempts and discards all
   * tokens and rows of the earlier incarnation: the store may have lost what has granted
   * them. No attempt starts before the next call of OnRows.
   */
  void OnIncarnation(std::uint64_t aIncarnation, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  /** @return when OnTimer has to be called next */
  [[nodiscard]] TimePoint NextTimer() const { return mNextCheck; }

private:
  enum class Phase : std::uint8_t
  {
    Monitoring,
    /** The conditional write of the leadership row is in progress. */
    Claiming,
    /** Replicas report the positions that they have received, and the old leadership is
     * terminated. */
    Choosing,
    /** The leadership row with the chosen member is being written. */
    Announcing,
    /** The platform is called to promote the chosen member. */
    Promoting,
  };

  struct Candidate
  {
    std::string mMember;
    std::optional<MemberStatus> mStatus;
    bool mIsAnswered = false;
  };

  /** State of the current or last promotion of a group. */
  struct GroupPromotion
  {
    Phase mPhase = Phase::Monitoring;
    /** Number of the current attempt; identifies late answers to earlier attempts. */
    std::uint64_t mAttempt = 0;
    /** Since when there has been a reason to promote another member. */
    std::optional<TimePoint> mReasonSince;
    /** Since when the primary has been overloaded by the lag of its replicas. */
    std::optional<TimePoint> mOverloadedSince;
    /** The promotion replaces a primary that is healthy. */
    bool mIsSwitchover = false;
    /** Position that the promoted member must have received. */
    LogPosition mRequiredPosition;
    /** Token of the current or last promotion; later ones up to mLastToken are unused. */
    std::uint64_t mToken = 0;
    /** Newest token of this process's last claim, which it may use; 0 for none. */
    std::uint64_t mLastToken = 0;
    /** Since when all writes for this group have failed because of the store. */
    std::optional<TimePoint> mStoreUnavailableSince;
    /** Reason for the claim, for the log. */
    std::string mReason;
    /** Member that the promotion replaces. */
    std::string mReplaced;
    std::vector<Candidate> mCandidates;
    TimePoint mReplyDeadline;
    /** Members that count for acknowledgements; only used with synchronous replicas. */
    ReplicaRoster mRoster;
    /** Earliest time of the next write of the roster's row. */
    TimePoint mRosterWriteAt;
    /** Rows of the roster before returns of the store, which may have lost members. */
    std::set<std::string> mEarlierRosters;
    TimePoint mEarlierRostersUntil;
    PauseCheck mPauseCheck;
    /** The replaced primary is asked whether it leads. */
    bool mIsConfirmingLeader = false;
    /** When the replaced primary last replied that it leads. */
    std::optional<TimePoint> mLeaderConfirmedAt;
    /** The replaced primary has not replied that it leads. */
    bool mIsLeaderLost = false;
    /** Member that has replied that it leads, and so ended the last transfer. */
    std::string mReturnedLeader;
    /** The member that is promoted leads already. */
    bool mIsTargetLeading = false;
    /** The row that is being written ends a claim whose pauses no promotion ends. */
    bool mEndsPauses = false;
    std::string mTarget;
    std::uint32_t mCalls = 0;
    TimePoint mNextCallAt = TimePoint::max();
    bool mIsCalling = false;
    /** Terminates the old leadership; set from the claim to the end of the attempt where
     * the instances have to do so. */
    std::optional<LeadershipTransfer> mTransfer;
    /** Member that an unanswered call of an earlier claim may still promote, or "-" for
     * none. */
    std::string mPendingMember = "-";
    /** Content of the leadership row whose write is in progress. */
    std::optional<LeadershipRow> mRowBeingWritten;
    /** Revision of the last leadership row written by this promotion. */
    StoreRevision mRowVersion;
    /** When the last write of a leadership row was confirmed. */
    TimePoint mRowAt;
    /** When the last write of a leadership row was sent. */
    TimePoint mRowSentAt;
    /** When a failed write of a row can be repeated. */
    TimePoint mRowRetryAt;
    /** A promotion call without an answer may still promote mTarget. */
    bool mMayHaveCalled = false;
    /** The old leader may have stepped down, or the platform has refused its successor,
     * so that some member has to be promoted. */
    bool mNeedsLeader = false;
    /** Members whose promotion was refused, with the time until which they aren't
     * considered as candidates. */
    std::map<std::string, TimePoint> mRefused;
    /** When this instance reserves tokens, unless another instance does so before. */
    std::optional<TimePoint> mReservationAt;
    /** Earliest time of the next claim. */
    TimePoint mClaimAfter;
    /** When the last write of this instance's suspicion report was sent; moved back if
     * the write failed, so that it is repeated earlier. */
    TimePoint mReportedAt;
    /** Whether this instance's last report was a suspicion rather than a refutation. */
    bool mHasReportedSuspicion = false;
  };

  struct SeenRow
  {
    StoredRow mRow;
    /** When this revision was first received; the epoch if its age is unknown. */
    TimePoint mSeenAt;
  };

  void MonitorPrimary(const std::string& aGroup,
                      GroupPromotion& aPromotion,
                      TimePoint aNow);
  /** Starts a switchover if the replicas lag too far behind to serve reads: the old
   * primary then serves reads as a fresh replica of the new one. */
  void MonitorReplicaLag(const std::string& aGroup,
                         GroupPromotion& aPromotion,
                         const PrimaryHealth& aHealth,
                         TimePoint aNow);
  /** Stops the old primary from acknowledging commits that the new one would not receive.
   */
  void DemoteOldPrimary(const std::string& aGroup,
                        const GroupPromotion& aPromotion,
                        TimePoint aNow);
  /** Reserves tokens for outages of the store if no other home holds any. */
  void MonitorReservation(const std::string& aGroup,
                          GroupPromotion& aPromotion,
                          TimePoint aNow);
  /** Writes a leadership row that claims new tokens for this process. The process may use
   * them once the write is confirmed. */
  void WriteClaim(const std::string& aGroup,
                  GroupPromotion& aPromotion,
                  LeadershipState aState,
                  TimePoint aNow);
  void OnClaimWritten(const std::string& aGroup,
                      LeadershipState aState,
                      const LeadershipRow& aClaim,
                      const WriteResult& aResult);
  /** @return whether this process has unused tokens and no row with newer ones is known
   */
  [[nodiscard]] bool HasReservedToken(const std::string& aGroup,
                                      const GroupPromotion& aPromotion) const;
  /** Starts a promotion with a reserved token, without a write to the store. */
  void PromoteWithReservedToken(const std::string& aGroup,
                                GroupPromotion& aPromotion,
                                const std::string& aReason,
                                TimePoint aNow);
  /** @return the newest token that a claim must be above */
  [[nodiscard]] std::uint64_t NewestToken(const std::string& aGroup) const;
  [[nodiscard]] Duration ClaimJitter(const std::string& aGroup) const;
  /** @return whether the leadership row of a promotion changed less than aInterval ago */
  [[nodiscard]] bool IsPromotionRecent(const std::string& aGroup,
                                       Duration aInterval,
                                       TimePoint aNow) const;
  /** Updates mStoreUnavailableSince from the result of a write. */
  static void TrackStoreAvailability(GroupPromotion& aPromotion,
                                     const WriteResult& aResult,
                                     TimePoint aNow);
  [[nodiscard]] bool IsConfirmedDown(const std::string& aGroup,
                                     const GroupPromotion& aPromotion,
                                     const PrimaryHealth& aHealth,
                                     TimePoint aNow) const;
  void WriteSuspicionReport(const std::string& aGroup,
                            GroupPromotion& aPromotion,
                            const std::string& aMember,
                            bool aIsAlive,
                            TimePoint aNow);
  void RefuteSuspicions(TimePoint aNow);
  void ClaimPromotion(const std::string& aGroup,
                      GroupPromotion& aPromotion,
                      const std::string& aReason,
                      TimePoint aNow);
  void QueryCandidates(const std::string& aGroup, TimePoint aNow);
  /** @return the listed members other than the replaced one and, with synchronous
   * replicas, the members that have left the directory a short time ago */
  [[nodiscard]] std::vector<TransferFollower> FollowersOf(
    const std::string& aGroup,
    const GroupPromotion& aPromotion,
    TimePoint aNow) const;
  /** Calls the platform if the candidates' answers determine the member to promote. */
  void ChooseMember(const std::string& aGroup,
                    GroupPromotion& aPromotion,
                    TimePoint aNow);
  /** Abandons a switchover that would not help or would lose commits.
   * @return whether the switchover continues */
  bool IsSwitchoverUseful(const std::string& aGroup,
                          GroupPromotion& aPromotion,
                          const Candidate& aBest,
                          TimePoint aNow);
  void CallPlatform(const std::string& aGroup,
                    GroupPromotion& aPromotion,
                    TimePoint aNow);
  void OnCallAnswer(const std::string& aGroup,
                    std::uint64_t aAttempt,
                    PromotionAnswer aAnswer);
  /** @return whether another process has claimed newer tokens */
  [[nodiscard]] bool IsSuperseded(const std::string& aGroup,
                                  const GroupPromotion& aPromotion) const;
  /** Ends the current attempt and delays the next claim by aClaimDelay. */
  void Abandon(GroupPromotion& aPromotion, Duration aClaimDelay, TimePoint aNow);
  [[nodiscard]] const SeenRow* FindRow(const std::string& aKey) const;
  /** @return the version that a write of the row has to expect */
  [[nodiscard]] StoreRevision VersionOf(const SeenRow* aSeen) const
  {
    return aSeen == nullptr ? StoreRevision{ mIncarnation, 0 } : aSeen->mRow.Version();
  }
  /** @return the newest leadership row of the group, or nothing if there is none or it
   * can't be decoded */
  [[nodiscard]] std::optional<LeadershipRow> LeadershipOf(
    const std::string& aGroup) const;
  /** @return whether the instances have to terminate the leadership of a replaced primary
   */
  [[nodiscard]] bool NeedsTransfer(const std::string& aGroup) const
  {
    return IsTerminatedByInstances(mEnforcer, mHooks.mSynchronousReplicas(aGroup));
  }

  // Implemented in promotioncoordinator_transfer.cpp.
  /**
   * Withdraws or takes over a claim whose holder has abandoned it.
   *
   * @return whether the group has an unresolved claim, abandoned or not
   */
  bool RecoverAbandonedClaim(const std::string& aGroup,
                             GroupPromotion& aPromotion,
                             TimePoint aNow);
  void StartTransfer(const std::string& aGroup,
                     GroupPromotion& aPromotion,
                     TimePoint aNow);
  void SendCommands(const std::string& aGroup,
                    GroupPromotion& aPromotion,
                    const std::vector<TransferCommand>& aCommands,
                    TimePoint aNow);
  /** Proceeds with the promotion if the transfer has ended. */
  void OnTransferProgress(const std::string& aGroup,
                          GroupPromotion& aPromotion,
                          TimePoint aNow);
  /** Advances a transfer and writes the leadership rows that are due for it. */
  void OnTransferTimer(const std::string& aGroup,
                       GroupPromotion& aPromotion,
                       TimePoint aNow);
  /** Replaces the last leadership row written by this promotion. */
  void WriteLeadership(const std::string& aGroup,
                       GroupPromotion& aPromotion,
                       const LeadershipRow& aRow,
                       TimePoint aNow);
  void OnLeadershipWritten(const std::string& aGroup,
                           const LeadershipRow& aRow,
                           const WriteResult& aResult,
                           TimePoint aNow);
  /** Completes pending writes of this instance if the feed has delivered their rows
   * before the store has answered. */
  void ConfirmOwnWrites(TimePoint aNow);
  /** Cancels a transfer that has not led to a promotion. Its pauses end when its claim is
   * withdrawn or another one leads to a promotion. */
  void CancelTransfer(GroupPromotion& aPromotion);
  /** Asks the replaced primary whether it leads; the reply sets mLeaderConfirmedAt or
   * mIsLeaderLost. */
  void ConfirmLeader(const std::string& aGroup,
                     GroupPromotion& aPromotion,
                     TimePoint aNow);

  // Implemented in promotioncoordinator_pauses.cpp.
  /** Updates the roster of a group with synchronous replicas, and writes its row. */
  void UpdateRoster(const std::string& aGroup,
                    GroupPromotion& aPromotion,
                    TimePoint aNow);
  /** Searches for members that a claim has left paused, while no claim is in progress. */
  void CheckPauses(const std::string& aGroup, GroupPromotion& aPromotion, TimePoint aNow);
  /** @return the group's row or, if the store may have lost it, one without a leader */
  [[nodiscard]] std::optional<LeadershipRow> PauseRowOf(const std::string& aGroup) const;
  void OnPauseCheckReply(const std::string& aGroup,
                         const std::string& aMember,
                         StoreRevision aVersion,
                         const std::optional<MemberReply>& aReply);
  /** Resumes replication on members that a claim has left paused. Rewrites the leadership
   * row first, so that no claim starts while the commands are on their way. */
  void EndPauses(const std::string& aGroup, GroupPromotion& aPromotion, TimePoint aNow);
  void ResumeMembers(std::span<const std::string> aMembers, TimePoint aNow);
  /** @return ids of the listed members and of the departed ones in the roster */
  [[nodiscard]] std::vector<std::string> AllMembers(
    const std::string& aGroup,
    const GroupPromotion& aPromotion) const;

  std::string mInstance;
  LeadershipEnforcer mEnforcer;
  SharedStore mStore;
  PromotionHooks mHooks;
  std::map<std::string, GroupPromotion> mPromotions;
  std::map<std::string, SeenRow> mRows;
  bool mHasRows = false;
  /** Newest known incarnation of the store. */
  std::uint64_t mIncarnation = 0;
  TimePoint mNextCheck;
};

} // namespace papayaspindle::proxy
