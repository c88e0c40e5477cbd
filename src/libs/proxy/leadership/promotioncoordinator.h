#pragma once

#include "core/timetypes.h"
#include "observe/log.h"
#include "proxy/leadership/coordinationrows.h"
#include "proxy/leadership/leaderleases.h"
#include "proxy/leadership/leadershiptransfer.h"
#include "proxy/leadership/primaryhealth.h"
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

/** What the coordinator knows of the groups and asks of them. */
struct PromotionHooks
{
  std::function<std::vector<std::string>()> mGroups;
  std::function<PrimaryHealth(std::string_view aGroup, TimePoint)> mPrimary;
  /** Listed members of a group that don't lead. */
  std::function<std::vector<MemberEntry>(std::string_view aGroup)> mReplicas;
  /** All listed members of a group. */
  std::function<std::vector<MemberEntry>(std::string_view aGroup)> mMembers;
  /** Newest term that was seen in a group. */
  std::function<std::uint64_t(std::string_view aGroup)> mNewestTerm;
  /** Whether this instance is partitioned from most zones: what it finds down may be up.
   */
  std::function<bool()> mIsCutOff;
  /** Whether an instance is known as a home of the group outside the primary's zone: it
   * can replace the primary when that zone is cut off. */
  std::function<bool(std::string_view aGroup, const std::string& aInstance)> mIsStandby;
  /** Replicas that must have received a commit before it is acknowledged. */
  std::function<std::uint32_t(std::string_view aGroup)> mSynchronousReplicas;
  std::function<
    void(std::string_view aMember, const MemberCommand&, Duration, TimePoint, StatusHook)>
    mQueryStatus;
  /** The platform has accepted a promotion. */
  std::function<void(std::string_view aGroup, std::string_view aMember, TimePoint)>
    mExpect;
  std::function<TimePoint()> mNow;
  std::function<void(LogLevel, std::string_view aEvent, std::initializer_list<LogField>)>
    mLog;
};

/**
 * Replaces the primary of a group that can't be reached, leaves, is gone, or has too much
 * work because its replicas lag.
 *
 * Instances that can't reach a primary say so in the shared store, and those that can
 * object. The first to find the primary down takes the next fencing token by a
 * conditional write, chooses the replica that received most, and calls the platform.
 *
 * Where the platform ends the lead of a replaced primary, a home holds some tokens in
 * reserve for each group, so that it can replace a primary while the store is away; the
 * platform refuses a token once it has seen a newer one. Elsewhere a LeadershipTransfer
 * ends the old lead between the claim and the call. Single-threaded.
 */
class PromotionCoordinator
{
public:
  PromotionCoordinator(std::string aInstance,
                       LeadEndedBy aEndedBy,
                       SharedStore aStore,
                       PromotionHooks aHooks);

  /** Takes all rows of the coordination table as they are now. */
  void OnRows(std::span<const StoredRow> aRows, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  /** @return when OnTimer is due */
  [[nodiscard]] TimePoint NextTimer() const { return mNextCheck; }

private:
  enum class Phase : std::uint8_t
  {
    Watching,
    /** The conditional write of the leadership row is under way. */
    Claiming,
    /** Replicas are asked for what they received, and the old lead is ended. */
    Choosing,
    /** The row with the chosen member is written. */
    Announcing,
    /** The platform is called. */
    Promoting,
  };

  struct Candidate
  {
    std::string mMember;
    std::optional<MemberStatus> mStatus;
    bool mIsAnswered = false;
  };

  struct GroupRun
  {
    Phase mPhase = Phase::Watching;
    /** Tells answers to an abandoned run apart. */
    std::uint64_t mRun = 0;
    /** Since when the group has a reason for a promotion. */
    std::optional<TimePoint> mReasonSince;
    /** Since when the primary has been overloaded by the lag of its replicas. */
    std::optional<TimePoint> mOverloadedSince;
    /** The promotion replaces a primary that lives and leads. */
    bool mIsSwitchover = false;
    /** Position that the promoted member must have received. */
    LogPosition mMustHave;
    /** Token of the current or last promotion; those up to mLastToken are unused. */
    std::uint64_t mToken = 0;
    /** Newest token that this process may use, of its last claim; 0 for none. */
    std::uint64_t mLastToken = 0;
    /** Since when writes for this group have failed at the store. */
    std::optional<TimePoint> mStoreAwaySince;
    /** Why a promotion was claimed, for the log. */
    std::string mReason;
    /** Member that the promotion replaces. */
    std::string mReplaced;
    std::vector<Candidate> mCandidates;
    /** The candidates were paused, and no promotion has resumed them yet. */
    bool mHasPaused = false;
    TimePoint mChoiceDeadline;
    std::string mTarget;
    std::uint32_t mCalls = 0;
    TimePoint mCallAt = TimePoint::max();
    bool mIsCalling = false;
    /** Ends the old lead; only where nobody else does. */
    std::optional<LeadershipTransfer> mTransfer;
    /** Member that an unanswered call of an earlier claim may still promote, or "-". */
    std::string mPending = "-";
    /** The row that is being written. */
    std::optional<LeadershipRow> mAwaited;
    /** Revision and time of this run's last written row. */
    std::uint64_t mRowRevision = 0;
    TimePoint mRowAt;
    TimePoint mRowSentAt;
    /** When a row that was not written is tried again. */
    TimePoint mRowRetryAt;
    /** An unanswered call may still promote mTarget. */
    bool mMayHaveCalled = false;
    /** The old leader has stepped down, or its successor can't lead: another member has
     * to be promoted. */
    bool mNeedsLeader = false;
    /** Members that refused a promotion, and until when they are left out. */
    std::map<std::string, TimePoint> mRefused;
    /** When this instance reserves tokens unless another one does. */
    std::optional<TimePoint> mReservationAt;
    /** No claim before this time. */
    TimePoint mClaimAfter;
    /** When this instance's opinion was last written, or its write began. */
    TimePoint mOpinionAt;
    /** Whether the last opinion written says "down". */
    bool mHasDoubted = false;
  };

  struct SeenRow
  {
    StoredRow mRow;
    /** When this version was first seen; the epoch for rows of the first read. */
    TimePoint mSeenAt;
  };

  void Watch(const std::string& aGroup, GroupRun& aRun, TimePoint aNow);
  /** Hands the lead over from a primary whose replicas are too far behind to share its
   * reads: the old primary is a fresh replica of the new one. */
  void WatchLag(const std::string& aGroup,
                GroupRun& aRun,
                const PrimaryHealth& aHealth,
                TimePoint aNow);
  /** Stops the old primary from acknowledging what the new one would not receive. */
  void DemoteReplaced(const std::string& aGroup, const GroupRun& aRun, TimePoint aNow);
  /** Takes tokens for the time in which the store is away, if no other home has some. */
  void WatchReservation(const std::string& aGroup, GroupRun& aRun, TimePoint aNow);
  /** Writes the group's leadership row; the tokens are this process's once it is done. */
  void WriteClaim(const std::string& aGroup,
                  GroupRun& aRun,
                  LeadershipState aState,
                  TimePoint aNow);
  void OnClaimWritten(const std::string& aGroup,
                      LeadershipState aState,
                      const LeadershipRow& aClaim,
                      const WriteResult& aResult);
  /** @return whether reserved tokens are left and no other instance is known to have
   * newer ones */
  [[nodiscard]] bool HasReservedToken(const std::string& aGroup,
                                      const GroupRun& aRun) const;
  /** Promotes with a reserved token. */
  void PromoteReserved(const std::string& aGroup,
                       GroupRun& aRun,
                       const std::string& aReason,
                       TimePoint aNow);
  [[nodiscard]] Duration ClaimSpread(const std::string& aGroup) const;
  /** @return whether a promotion of the group was claimed within the spacing */
  [[nodiscard]] bool IsPromotionRecent(const std::string& aGroup,
                                       Duration aSpacing,
                                       TimePoint aNow) const;
  /** Notes whether the store has carried a write out. */
  static void NoteStore(GroupRun& aRun, const WriteResult& aResult, TimePoint aNow);
  [[nodiscard]] bool IsConfirmedDown(const std::string& aGroup,
                                     const GroupRun& aRun,
                                     const PrimaryHealth& aHealth,
                                     TimePoint aNow) const;
  void WriteOpinion(const std::string& aGroup,
                    GroupRun& aRun,
                    const std::string& aMember,
                    bool aIsAlive,
                    TimePoint aNow);
  void ObjectToDoubts(TimePoint aNow);
  void Claim(const std::string& aGroup,
             GroupRun& aRun,
             const std::string& aReason,
             TimePoint aNow);
  void Choose(const std::string& aGroup, TimePoint aNow);
  void FinishChoice(const std::string& aGroup, GroupRun& aRun, TimePoint aNow);
  /** @return whether a switchover loses nothing and helps; otherwise it is given up */
  bool IsSwitchoverUseful(const std::string& aGroup,
                          GroupRun& aRun,
                          const Candidate& aBest,
                          TimePoint aNow);
  void Call(const std::string& aGroup, GroupRun& aRun, TimePoint aNow);
  void OnCallAnswer(const std::string& aGroup,
                    std::uint64_t aRun,
                    PromotionAnswer aAnswer);
  /** Lets paused replicas receive again after an attempt that has failed. */
  void ResumeCandidates(GroupRun& aRun, TimePoint aNow);
  void Abandon(GroupRun& aRun, Duration aPause, TimePoint aNow);
  [[nodiscard]] const SeenRow* Find(const std::string& aKey) const;
  /** @return the newest row of the group's leadership, or nothing */
  [[nodiscard]] std::optional<LeadershipRow> Leadership(const std::string& aGroup) const;
  /** @return whether instances have to end the lead of a replaced primary */
  [[nodiscard]] bool NeedsTransfer() const { return mEndedBy == LeadEndedBy::Instances; }

  // promotioncoordinator_transfer.cpp
  /** Ends a claim that its holder has left. @return whether the group has one */
  bool WatchLeftClaim(const std::string& aGroup, GroupRun& aRun, TimePoint aNow);
  void StartTransfer(const std::string& aGroup, GroupRun& aRun, TimePoint aNow);
  void SendAll(const std::string& aGroup,
               GroupRun& aRun,
               const std::vector<TransferCommand>& aCommands,
               TimePoint aNow);
  /** Goes on with a transfer that may have ended. */
  void FollowTransfer(const std::string& aGroup, GroupRun& aRun, TimePoint aNow);
  /** Checks a transfer and what is written for it. */
  void OnTransferTimer(const std::string& aGroup, GroupRun& aRun, TimePoint aNow);
  /** Writes the group's row on top of this run's last one. */
  void WriteLeadership(const std::string& aGroup,
                       GroupRun& aRun,
                       const LeadershipRow& aRow,
                       TimePoint aNow);
  void OnLeadershipWritten(const std::string& aGroup,
                           const LeadershipRow& aRow,
                           const WriteResult& aResult,
                           TimePoint aNow);
  /** Takes rows of this instance whose writes were not answered for written. */
  void AdoptOwnRows(TimePoint aNow);
  /** Ends a transfer that promotes nobody. */
  void GiveUpTransfer(GroupRun& aRun, TimePoint aNow);

  std::string mInstance;
  LeadEndedBy mEndedBy;
  SharedStore mStore;
  PromotionHooks mHooks;
  std::map<std::string, GroupRun> mRuns;
  std::map<std::string, SeenRow> mRows;
  bool mHasRows = false;
  TimePoint mNextCheck;
};

} // namespace papayaspindle::proxy
