#include "proxy/leadership/leadershiptransfer.h"

#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

LeadershipTransfer::LeadershipTransfer(TransferRequest aRequest)
  : mRequest(std::move(aRequest))
{
  for (const TransferFollower& follower : mRequest.mFollowers) {
    mFollowers[follower.mMember].mDescription = follower;
    mFollowers[follower.mMember].mIsListed = true;
  }
  const std::string& pending = mRequest.mPendingMember;
  if (!pending.empty() && !mFollowers.contains(pending)) {
    mFollowers[pending].mDescription = { pending, true, false, false };
  }
}

void
LeadershipTransfer::SetFollowers(std::span<const TransferFollower> aFollowers)
{
  for (auto& [member, follower] : mFollowers) {
    follower.mIsListed = false;
    follower.mDescription.mMayLead = false;
  }
  for (const TransferFollower& described : aFollowers) {
    const bool isNew = !mFollowers.contains(described.mMember);
    Follower& follower = mFollowers[described.mMember];
    const bool renewsLeases = !isNew && follower.mDescription.mRenewsLeases;
    if (!isNew && follower.mDescription.mStartedAtMs != described.mStartedAtMs) {
      follower.mPausedAt.reset();
      follower.mFinalPosition.reset();
      follower.mIsReplyOutdated = follower.mIsAwaitingReply;
    }
    follower.mDescription = described;
    follower.mDescription.mRenewsLeases = renewsLeases;
    follower.mIsListed = true;
  }
}

std::vector<TransferCommand>
LeadershipTransfer::Start(TimePoint aNow)
{
  mStepStartedAt = aNow;
  if (mRequest.mIsSwitchover) {
    return SendToFollowers(CommandKind::Status, aNow);
  }
  // A member that an unanswered call may still promote can't confirm that it has stepped
  // down for good.
  const bool canStepDown =
    mRequest.mIsReplacedReachable && mRequest.mReplaced != mRequest.mPendingMember;
  return canStepDown ? StartDemoting(aNow) : StartPausing(aNow);
}

std::vector<TransferCommand>
LeadershipTransfer::SendToFollowers(CommandKind aKind, TimePoint aNow)
{
  std::vector<TransferCommand> commands;
  for (auto& [member, follower] : mFollowers) {
    const bool isDone = mStep == Step::Reporting
                          ? follower.mFinalPosition.has_value()
                          : aKind == CommandKind::Pause && follower.mPausedAt;
    if (follower.mIsAwaitingReply || isDone || aNow < follower.mNextCommandAt) {
      continue;
    }
    const CommandKind kind = CommandFor(follower, aKind);
    follower.mIsAwaitingReply = true;
    // A former leader that is not aware of its successor ignores the pause command, and
    // counts for acknowledgements like any other member.
    const bool isFormerLeader = IsSynchronous() && member != mRequest.mPendingMember &&
                                follower.mStatus &&
                                follower.mStatus->mRole == MemberRole::Primary;
    MemberCommand command;
    command.mKind =
      kind == CommandKind::Pause && isFormerLeader ? CommandKind::Demote : kind;
    const bool hasTerm =
      command.mKind == CommandKind::Pause || command.mKind == CommandKind::Demote;
    command.mTerm = hasTerm ? mRequest.mNextTerm : 0;
    commands.push_back({ member, std::move(command) });
  }
  return commands;
}

CommandKind
LeadershipTransfer::CommandFor(const Follower& aFollower, CommandKind aKind) const
{
  // A pause command would hide that a restart has ended the pause.
  if (mStep == Step::Reporting && aFollower.mPausedAt) {
    return CommandKind::Status;
  }
  // A follower that an earlier attempt has left paused can't receive the last commits.
  const bool isPaused = aFollower.mStatus && aFollower.mStatus->mPausedTerm > 0;
  return mStep == Step::CatchingUp && isPaused ? CommandKind::Resume : aKind;
}

TransferCommand
LeadershipTransfer::DemoteCommand()
{
  mMayHaveDemoted = true;
  mIsAwaitingDemoteReply = true;
  MemberCommand command;
  command.mKind = CommandKind::Demote;
  command.mTerm = mRequest.mNextTerm;
  return { mRequest.mReplaced, std::move(command) };
}

std::vector<TransferCommand>
LeadershipTransfer::StartDemoting(TimePoint aNow)
{
  mStep = Step::Demoting;
  mStepStartedAt = aNow;
  return { DemoteCommand() };
}

std::vector<TransferCommand>
LeadershipTransfer::StartCatchingUp(const LogPosition& aFinalPosition, TimePoint aNow)
{
  mStep = Step::CatchingUp;
  mStepStartedAt = aNow;
  mFinalPosition = aFinalPosition;
  for (auto& [member, follower] : mFollowers) {
    // A status that was requested before may lack the last acknowledged commits.
    follower.mIsReplyOutdated = follower.mIsAwaitingReply;
    follower.mFinalPosition.reset();
    follower.mNextCommandAt = aNow;
  }
  return SendToFollowers(CommandKind::Status, aNow);
}

std::vector<TransferCommand>
LeadershipTransfer::StartPausing(TimePoint aNow)
{
  mStep = Step::Pausing;
  mStepStartedAt = aNow;
  mLeaderQueryAt = aNow + kUsualPauseTime;
  std::vector<TransferCommand> commands = SendToFollowers(CommandKind::Pause, aNow);
  // The old leader may still answer although it is considered unreachable.
  if (!mRequest.mReplaced.empty() && mRequest.mReplaced != mRequest.mPendingMember &&
      !mIsAwaitingDemoteReply) {
    commands.push_back(DemoteCommand());
  }
  return commands;
}

std::vector<TransferCommand>
LeadershipTransfer::StartReporting(TimePoint aNow)
{
  mStep = Step::Reporting;
  mReportingSince = aNow;
  for (auto& [member, follower] : mFollowers) {
    // A follower that has restarted since its last report isn't paused any more, and may
    // have received commits that were acknowledged since.
    follower.mFinalPosition.reset();
    follower.mIsReplyOutdated = follower.mIsAwaitingReply;
    follower.mNextCommandAt = aNow;
  }
  return PauseFollowers(aNow);
}

std::vector<TransferCommand>
LeadershipTransfer::PauseFollowers(TimePoint aNow)
{
  std::vector<TransferCommand> commands = SendToFollowers(CommandKind::Pause, aNow);
  QueryOldLeader(commands, aNow);
  return commands;
}

void
LeadershipTransfer::QueryOldLeader(std::vector<TransferCommand>& aCommands,
                                   TimePoint aNow)
{
  const bool mayReturn = !mRequest.mReplaced.empty() && !mIsDemoted &&
                         mRequest.mReplaced != mRequest.mPendingMember;
  if (!mayReturn || mIsAwaitingLeaderStatus || mIsAwaitingDemoteReply ||
      aNow < mLeaderQueryAt) {
    return;
  }
  mIsAwaitingLeaderStatus = true;
  aCommands.push_back({ mRequest.mReplaced, { .mKind = CommandKind::Status } });
}

std::vector<TransferCommand>
LeadershipTransfer::OnReply(std::string_view aMember,
                            CommandKind aKind,
                            const std::optional<MemberReply>& aReply,
                            TimePoint aNow)
{
  if (mOutcome != Outcome::Pending) {
    return {};
  }
  if (aKind == CommandKind::Demote && aMember == mRequest.mReplaced) {
    return OnDemoteReply(aReply, aNow);
  }
  if (aKind == CommandKind::Status && mIsAwaitingLeaderStatus &&
      aMember == mRequest.mReplaced) {
    OnOldLeaderStatus(aReply, aNow);
    return {};
  }
  const auto found = mFollowers.find(aMember);
  if (found == mFollowers.end()) {
    return {};
  }
  Follower& follower = found->second;
  follower.mIsAwaitingReply = false;
  const bool isAnswered = aReply && aReply->mStatus;
  const bool isOutdated = std::exchange(follower.mIsReplyOutdated, false);
  if (isAnswered && !isOutdated) {
    RecordStatus(follower, *aReply->mStatus, aKind == CommandKind::Pause, aNow);
  }
  const bool isPauseDue =
    (mStep == Step::Pausing || mStep == Step::Reporting) && !follower.mPausedAt;
  const Duration delay = isPauseDue ? kPauseRetryDelay : kCatchUpPollInterval;
  follower.mNextCommandAt = isOutdated ? aNow : aNow + delay;
  const bool leads = isAnswered && aReply->mStatus->mRole == MemberRole::Primary;
  const bool isReplaced = aMember == mRequest.mReplaced;
  if (isAnswered && aMember == mRequest.mPendingMember && (leads || isReplaced)) {
    // The unanswered call has taken effect, or it can be repeated, because no other
    // member was allowed to lead in the meantime.
    mTarget = mRequest.mPendingMember;
    mOutcome = Outcome::Ready;
    return {};
  }
  // A crashed leader returns with its log, but not always under the same id.
  const bool mayLead =
    follower.mDescription.mMayLead && !follower.mDescription.mIsDraining;
  if (leads && mayLead && mRequest.mIsPlatformEnforcing &&
      mRequest.mPendingMember.empty()) {
    mMayHaveDemoted = false;
    mReturnedLeader = aMember;
    mOutcome = Outcome::LeaderReturned;
    return {};
  }
  return OnTimer(aNow);
}

void
LeadershipTransfer::RecordStatus(Follower& aFollower,
                                 const MemberStatus& aStatus,
                                 bool aIsPauseReply,
                                 TimePoint aNow)
{
  aFollower.mStatus = aStatus;
  // Members ignore commands whose term isn't above the newest one.
  mRequest.mNextTerm = std::max(mRequest.mNextTerm, aStatus.mTerm + 1);
  if (IsSynchronous()) {
    RepeatOutdatedPauses();
  }
  // A leader of an older term ignores the pause command; the command has to be repeated
  // once the member is a replica.
  if (aStatus.mRole != MemberRole::Replica) {
    return;
  }
  if (aIsPauseReply && aStatus.mPausedTerm > 0 && !aFollower.mPausedAt) {
    aFollower.mPausedAt = aNow;
  }
  const bool isPaused = aFollower.mPausedAt && aStatus.mPausedTerm > 0;
  if (mStep == Step::Reporting && aFollower.mPausedAt && !isPaused) {
    // A restart has ended the pause, and the follower may have renewed leases since.
    aFollower.mPausedAt.reset();
  }
  if (mStep == Step::CatchingUp || (mStep == Step::Pausing && aFollower.mPausedAt) ||
      (mStep == Step::Reporting && isPaused)) {
    aFollower.mFinalPosition =
      std::max(aFollower.mFinalPosition.value_or(LogPosition()), aStatus.mReceived);
  }
}

void
LeadershipTransfer::RepeatOutdatedPauses()
{
  for (auto& [member, follower] : mFollowers) {
    if (follower.mPausedAt && follower.mStatus->mPausedTerm < mRequest.mNextTerm) {
      follower.mPausedAt.reset();
      follower.mFinalPosition.reset();
    }
  }
}

void
LeadershipTransfer::OnOldLeaderStatus(const std::optional<MemberReply>& aReply,
                                      TimePoint aNow)
{
  mIsAwaitingLeaderStatus = false;
  mLeaderQueryAt = aNow + kPauseRetryDelay;
  if (aReply && aReply->mStatus && aReply->mStatus->mRole == MemberRole::Primary) {
    // The command to step down was lost.
    mMayHaveDemoted = false;
    mReturnedLeader = mRequest.mReplaced;
    mOutcome = Outcome::LeaderReturned;
  }
}

std::vector<TransferCommand>
LeadershipTransfer::OnDemoteReply(const std::optional<MemberReply>& aReply,
                                  TimePoint aNow)
{
  mIsAwaitingDemoteReply = false;
  if (aReply && aReply->mStatus) {
    mRequest.mNextTerm = std::max(mRequest.mNextTerm, aReply->mStatus->mTerm + 1);
  }
  const bool follows =
    aReply && aReply->mStatus && aReply->mStatus->mRole == MemberRole::Replica;
  if (!follows) {
    // The old leader may or may not step down later; the transfer must not depend on it.
    return mStep == Step::Demoting ? StartPausing(aNow) : std::vector<TransferCommand>();
  }
  mIsDemoted = true;
  mFinalPosition = aReply->mStatus->mReceived;
  const bool isPausing = mStep == Step::Pausing || mStep == Step::Reporting;
  if (mStep == Step::Demoting || (IsSynchronous() && isPausing)) {
    return StartCatchingUp(mFinalPosition, aNow);
  }
  return OnTimer(aNow);
}

std::vector<TransferCommand>
LeadershipTransfer::OnTimer(TimePoint aNow)
{
  if (mOutcome != Outcome::Pending) {
    return {};
  }
  switch (mStep) {
    case Step::Checking:
      return EvaluateSwitchover(aNow);
    case Step::Demoting:
      return aNow - mStepStartedAt >= kDemoteTimeout ? StartPausing(aNow)
                                                     : std::vector<TransferCommand>();
    case Step::CatchingUp:
      EvaluateCatchUp(aNow);
      return mOutcome == Outcome::Pending ? SendToFollowers(CommandKind::Status, aNow)
                                          : std::vector<TransferCommand>();
    case Step::Pausing:
      if (!IsOldLeadershipOver(aNow)) {
        break;
      }
      if (!mIsDemoted) {
        return StartReporting(aNow);
      }
      EvaluateReports(aNow);
      break;
    case Step::Reporting:
      if (!IsOldLeadershipOver(aNow)) {
        mStep = Step::Pausing;
      } else if (IsSynchronous() || HavePausedFollowersReported() ||
                 aNow - mReportingSince >= kCandidateReplyTimeout) {
        EvaluateReports(aNow);
      }
      break;
  }
  return mOutcome == Outcome::Pending ? PauseFollowers(aNow)
                                      : std::vector<TransferCommand>();
}

} // namespace papayaspindle::proxy
