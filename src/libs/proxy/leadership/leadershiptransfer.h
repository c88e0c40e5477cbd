#pragma once

#include "core/timetypes.h"
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

/** What a claim asks of a transfer. */
struct TransferRequest
{
  /** Member that is replaced; empty where nobody leads. */
  std::string mReplaced;
  /** The replaced member answers this instance. */
  bool mIsReplacedReachable = false;
  /** The replaced member leads well otherwise: the transfer has to be of use. */
  bool mIsSwitchover = false;
  /** Position that the new leader of a switchover must have received. */
  LogPosition mMustHave;
  /** All listed members other than the replaced one. */
  std::vector<std::string> mFollowers;
  /** Followers that may be promoted. */
  std::vector<std::string> mCandidates;
  /** Member that an unanswered call may still promote; empty for none. */
  std::string mPending;
  /** Term above every one that was seen. */
  std::uint64_t mNextTerm = 0;
  /** When every instance that reads the store could read the claim. */
  TimePoint mClaimedAt;
};

/** A command that a transfer wants sent. */
struct TransferCommand
{
  std::string mMember;
  MemberCommand mCommand;
};

/**
 * Ends the old lead of a group after a claim, and chooses the member that leads next.
 *
 * An old leader that answers steps down, and the transfer waits until a replica has
 * received all its commits. Otherwise all followers are paused, and the transfer waits
 * until no instance can have a permission for the old leader (LeaderLeases). Takes events
 * with their time and returns commands.
 */
class LeadershipTransfer
{
public:
  enum class Outcome : std::uint8_t
  {
    Pending,
    /** Target() can be promoted. */
    Ready,
    /** A switchover would be of no use; the old leader has not been touched. */
    Useless,
    /** No replica answered in time. */
    Failed,
  };

  explicit LeadershipTransfer(TransferRequest aRequest);

  [[nodiscard]] std::vector<TransferCommand> Start(TimePoint aNow);
  /** Takes the answer to a command, or nothing where there was none. */
  [[nodiscard]] std::vector<TransferCommand> OnReply(
    std::string_view aMember,
    CommandKind aKind,
    const std::optional<MemberReply>& aReply,
    TimePoint aNow);
  [[nodiscard]] std::vector<TransferCommand> OnTimer(TimePoint aNow);
  /** @return commands that let paused followers receive again, after a failure */
  [[nodiscard]] std::vector<TransferCommand> Undo();

  [[nodiscard]] Outcome State() const { return mOutcome; }
  [[nodiscard]] const std::string& Target() const { return mTarget; }
  /** @return position that the target had received when it was chosen */
  [[nodiscard]] LogPosition TargetPosition() const;
  /** @return whether the old leader has stepped down, or may have */
  [[nodiscard]] bool MayHaveDemoted() const { return mMayHaveDemoted; }

private:
  enum class Step : std::uint8_t
  {
    /** Replicas are asked whether a switchover is of use. */
    Checking,
    /** The old leader is told to step down. */
    Demoting,
    /** Replicas receive the last commits. */
    CatchingUp,
    /** Followers are paused while permissions end. */
    Holding,
  };

  struct Follower
  {
    std::optional<MemberStatus> mStatus;
    /** When it was first known to be paused. */
    std::optional<TimePoint> mHeldAt;
    bool mIsCandidate = false;
    /** A command to it is unanswered. */
    bool mIsAsked = false;
    TimePoint mAskAfter;
  };

  std::vector<TransferCommand> Ask(CommandKind aKind, TimePoint aNow);
  TransferCommand Demote();
  std::vector<TransferCommand> StartDemoting(TimePoint aNow);
  std::vector<TransferCommand> StartCatchingUp(const LogPosition& aLast, TimePoint aNow);
  std::vector<TransferCommand> StartHolding(TimePoint aNow);
  std::vector<TransferCommand> OnDemoteReply(const std::optional<MemberReply>& aReply,
                                             TimePoint aNow);
  std::vector<TransferCommand> JudgeSwitchover(TimePoint aNow);
  void JudgeCatchUp(TimePoint aNow);
  void JudgeHolding(TimePoint aNow);
  [[nodiscard]] bool HasEveryAnswer() const;
  /** @return the candidate to promote, or nothing where none has answered */
  [[nodiscard]] std::map<std::string, Follower, std::less<>>::const_iterator Best() const;
  /** @return whether a target was chosen */
  bool ChooseBest();

  TransferRequest mRequest;
  Step mStep = Step::Checking;
  Outcome mOutcome = Outcome::Pending;
  std::map<std::string, Follower, std::less<>> mFollowers;
  TimePoint mStepSince;
  bool mMayHaveDemoted = false;
  /** The old leader has answered that it follows. */
  bool mIsDemoted = false;
  bool mIsDemoteAsked = false;
  bool mHasPaused = false;
  /** Newest position of the old leader that has stepped down. */
  LogPosition mLast;
  std::string mTarget;
};

} // namespace papayaspindle::proxy
