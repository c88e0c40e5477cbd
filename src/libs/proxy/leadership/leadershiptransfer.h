#pragma once

#include "core/timetypes.h"
#include "proxy/leadership/candidatechoice.h"
#include "proxy/membercommand.h"
#include "proxy/memberreply.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** A member other than the replaced one, as a transfer sees it. */
struct TransferFollower
{
  std::string mMember;
  /** The transfer has to wait for the leases that the member can renew (RenewsLeases).
   * The transfer pauses the others if it can, but doesn't wait for them. */
  bool mRenewsLeases = true;
  /** The member may be promoted. */
  bool mMayLead = true;
  bool mIsDraining = false;
  /** Start time of the member's process in Unix milliseconds; a restart ends its pause.
   */
  std::uint64_t mStartedAtMs = 0;
};

/** Input of a leadership transfer. */
struct TransferRequest
{
  /** Member that is replaced; empty if no member leads. */
  std::string mReplaced;
  /** The replaced member answers requests of this instance. */
  bool mIsReplacedReachable = false;
  /** The replaced member is a healthy leader; the transfer is only done if it helps. */
  bool mIsSwitchover = false;
  /** Position that the new leader of a switchover must have received. */
  LogPosition mRequiredPosition;
  /** All members other than the replaced one that may have received acknowledged
   * commits, or renew leases. */
  std::vector<TransferFollower> mFollowers;
  /** Number of replicas that receive a commit before it is acknowledged. */
  std::uint32_t mSynchronousReplicas = 0;
  /** Member that an unanswered promotion call may still promote; empty for none. */
  std::string mPendingMember;
  /** The platform terminates the leadership of a replaced leader, so that only the newest
   * leader leads. It also refuses calls with tokens below the newest one, so that an
   * unanswered call has no effect after the call of this transfer. */
  bool mIsPlatformEnforcing = false;
  /** A term above all terms seen in the group. */
  std::uint64_t mNextTerm = 0;
  /** Time from which every read of the store returns the claim. */
  TimePoint mClaimedAt;
};

/** A command that the caller of a transfer has to send. */
struct TransferCommand
{
  std::string mMember;
  MemberCommand mCommand;
};

/**
 * Terminates the old leadership of a group after a claim, and chooses the member that
 * leads next.
 *
 * An old leader that can be reached is demoted, and the transfer waits until a replica
 * has received all its commits. Otherwise the transfer pauses all followers and waits
 * until no instance can hold a lease on the old leader (LeaderLeases). In both cases the
 * new leader has all acknowledged commits of a group with synchronous replicas: only what
 * the followers report after the end of the old leadership counts. Until then, the old
 * leader may acknowledge commits that a follower has received after its restart, which
 * ends its pause, or before the transfer has asked it.
 *
 * Each event function takes the current time and returns the commands to send.
 */
class LeadershipTransfer
{
public:
  enum class Outcome : std::uint8_t
  {
    Pending,
    /** The member Target() can be promoted. */
    Ready,
    /** A switchover would not help; the old leader was not sent any command. */
    NotUseful,
    /** No replica that can be promoted answered in time. */
    Failed,
    /** No replica could be promoted so far, and the old leader answers and leads,
     * possibly under another id. */
    LeaderReturned,
  };

  explicit LeadershipTransfer(TransferRequest aRequest);

  [[nodiscard]] std::vector<TransferCommand> Start(TimePoint aNow);
  /** Handles the reply to a command; aReply is empty if there was none. */
  [[nodiscard]] std::vector<TransferCommand> OnReply(
    std::string_view aMember,
    CommandKind aKind,
    const std::optional<MemberReply>& aReply,
    TimePoint aNow);
  [[nodiscard]] std::vector<TransferCommand> OnTimer(TimePoint aNow);
  /** Replaces the list of followers, because the directory has changed. The transfer also
   * asks new ones, but doesn't wait for the leases that they can renew. */
  void SetFollowers(std::span<const TransferFollower> aFollowers);

  [[nodiscard]] Outcome State() const { return mOutcome; }
  [[nodiscard]] const std::string& Target() const { return mTarget; }
  /** @return the member that leads, if the outcome is LeaderReturned */
  [[nodiscard]] const std::string& ReturnedLeader() const { return mReturnedLeader; }
  /** @return position that the target had received when it was chosen */
  [[nodiscard]] LogPosition TargetPosition() const;
  /** @return number of followers that have reported what they received, of those that
   * count for the choice of a target */
  [[nodiscard]] std::size_t Reports() const;
  /** @return number of reports that the choice of a target needs */
  [[nodiscard]] std::size_t NeededReports() const;
  /** @return whether the target leads already, so that its promotion ends no pause */
  [[nodiscard]] bool IsTargetLeading() const;
  /** @return whether the old leader may have stepped down because of this transfer */
  [[nodiscard]] bool MayHaveDemoted() const { return mMayHaveDemoted; }

private:
  enum class Step : std::uint8_t
  {
    /** The status of the replicas decides whether a switchover helps. */
    Checking,
    /** The old leader was sent a command to step down. */
    Demoting,
    /** Replicas receive the last commits of the old leader. */
    CatchingUp,
    /** Followers are paused until the leases on the old leader have expired. */
    Pausing,
    /** The old leadership has ended, and the followers report what they have received. */
    Reporting,
  };

  struct Follower
  {
    std::optional<MemberStatus> mStatus;
    /** When the reply that the follower is paused was received. */
    std::optional<TimePoint> mPausedAt;
    /** Position received, reported while the old leader could no longer have commits
     * acknowledged that the follower receives later. */
    std::optional<LogPosition> mFinalPosition;
    TransferFollower mDescription;
    /** The follower is in the newest list of followers. */
    bool mIsListed = false;
    /** A command to the follower is unanswered. */
    bool mIsAwaitingReply = false;
    /** The unanswered command was sent before the old leader stepped down. */
    bool mIsReplyOutdated = false;
    TimePoint mNextCommandAt;
  };

  std::vector<TransferCommand> SendToFollowers(CommandKind aKind, TimePoint aNow);
  /** @return the command for a follower in the current step, in place of aKind */
  [[nodiscard]] CommandKind CommandFor(const Follower& aFollower,
                                       CommandKind aKind) const;
  TransferCommand DemoteCommand();
  /** Asks the old leader whether it leads, if the transfer takes longer than usual. */
  void QueryOldLeader(std::vector<TransferCommand>& aCommands, TimePoint aNow);
  std::vector<TransferCommand> StartDemoting(TimePoint aNow);
  std::vector<TransferCommand> StartCatchingUp(const LogPosition& aFinalPosition,
                                               TimePoint aNow);
  std::vector<TransferCommand> StartPausing(TimePoint aNow);
  void OnOldLeaderStatus(const std::optional<MemberReply>& aReply, TimePoint aNow);
  std::vector<TransferCommand> OnDemoteReply(const std::optional<MemberReply>& aReply,
                                             TimePoint aNow);
  std::vector<TransferCommand> EvaluateSwitchover(TimePoint aNow);
  std::vector<TransferCommand> StartReporting(TimePoint aNow);
  void EvaluateCatchUp(TimePoint aNow);
  /** Chooses a target, or fails the transfer if it has waited for too long. */
  void EvaluateReports(TimePoint aNow);
  /** @return whether no instance can have a commit of the old leader acknowledged or read
   * from it any more */
  [[nodiscard]] bool IsOldLeadershipOver(TimePoint aNow) const;
  /** Sends the commands that are due in the steps Pausing and Reporting. */
  std::vector<TransferCommand> PauseFollowers(TimePoint aNow);
  /** Updates the follower from a status that it has reported. */
  void RecordStatus(Follower& aFollower,
                    const MemberStatus& aStatus,
                    bool aIsPauseReply,
                    TimePoint aNow);
  /** Discards the pauses for terms that another promotion has reached meanwhile. */
  void RepeatOutdatedPauses();
  [[nodiscard]] bool HaveAllFollowersReplied() const;
  /** @return whether all paused followers have reported in the step Reporting */
  [[nodiscard]] bool HavePausedFollowersReported() const;
  [[nodiscard]] bool IsSynchronous() const { return mRequest.mSynchronousReplicas > 0; }
  /** @return the follower to promote: the pending member, or the candidate that has
   * received most; end() if none has answered, or none is known to have all acknowledged
   * commits */
  [[nodiscard]] std::map<std::string, Follower, std::less<>>::const_iterator
  BestCandidate() const;
  /** @return whether a target was chosen */
  bool ChooseTarget();

  TransferRequest mRequest;
  Step mStep = Step::Checking;
  Outcome mOutcome = Outcome::Pending;
  std::map<std::string, Follower, std::less<>> mFollowers;
  TimePoint mStepStartedAt;
  /** Start of the step Reporting. */
  TimePoint mReportingSince;
  bool mMayHaveDemoted = false;
  /** The old leader has replied that it is a replica. */
  bool mIsDemoted = false;
  bool mIsAwaitingDemoteReply = false;
  bool mIsAwaitingLeaderStatus = false;
  /** When the old leader is asked for its status. */
  TimePoint mLeaderQueryAt;
  /** Newest log position of the old leader when it stepped down. */
  LogPosition mFinalPosition;
  std::string mTarget;
  std::string mReturnedLeader;
};

} // namespace papayaspindle::proxy
