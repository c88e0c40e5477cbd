#include "proxy/leadership/leadershiptransfer.h"

#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

LeadershipTransfer::LeadershipTransfer(TransferRequest aRequest)
  : mRequest(std::move(aRequest))
{
  for (const std::string& member : mRequest.mFollowers) {
    mFollowers[member];
  }
  for (const std::string& member : mRequest.mCandidates) {
    mFollowers[member].mIsCandidate = true;
  }
  for (const std::string& member : mRequest.mNonRenewers) {
    mFollowers[member].mRenewsLeases = false;
  }
  if (!mRequest.mPendingMember.empty()) {
    mFollowers[mRequest.mPendingMember];
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
    const bool isPaused = aKind == CommandKind::Pause && follower.mPausedAt;
    if (follower.mIsAwaitingReply || isPaused || aNow < follower.mNextCommandAt) {
      continue;
    }
    follower.mIsAwaitingReply = true;
    MemberCommand command;
    command.mKind = aKind;
    command.mTerm = aKind == CommandKind::Pause ? mRequest.mNextTerm : 0;
    mHasPaused = mHasPaused || aKind == CommandKind::Pause;
    commands.push_back({ member, std::move(command) });
  }
  return commands;
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
  return SendToFollowers(CommandKind::Status, aNow);
}

std::vector<TransferCommand>
LeadershipTransfer::StartPausing(TimePoint aNow)
{
  mStep = Step::Pausing;
  mStepStartedAt = aNow;
  std::vector<TransferCommand> commands = SendToFollowers(CommandKind::Pause, aNow);
  // The old leader may still answer although it is considered unreachable.
  if (!mRequest.mReplaced.empty() && mRequest.mReplaced != mRequest.mPendingMember &&
      !mIsAwaitingDemoteReply) {
    commands.push_back(DemoteCommand());
  }
  return commands;
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
  if (aKind == CommandKind::Demote) {
    return OnDemoteReply(aReply, aNow);
  }
  const auto found = mFollowers.find(aMember);
  if (found == mFollowers.end()) {
    return {};
  }
  Follower& follower = found->second;
  follower.mIsAwaitingReply = false;
  const bool isAnswered = aReply && aReply->mStatus;
  follower.mNextCommandAt =
    aNow +
    (mStep == Step::Pausing && !isAnswered ? kPauseRetryDelay : kCatchUpPollInterval);
  if (isAnswered) {
    follower.mStatus = aReply->mStatus;
  }
  const bool leads = isAnswered && aReply->mStatus->mRole == MemberRole::Primary;
  const bool isReplaced = aMember == mRequest.mReplaced;
  if (isAnswered && aMember == mRequest.mPendingMember && (leads || isReplaced)) {
    // The unanswered call has taken effect, or it can be repeated, because no other
    // member was allowed to lead in the meantime.
    mTarget = mRequest.mPendingMember;
    mOutcome = Outcome::Ready;
    return {};
  }
  // A leader of an older term ignores the pause command; the command has to be repeated
  // once the member is a replica.
  const bool follows = isAnswered && aReply->mStatus->mRole == MemberRole::Replica;
  if (aKind == CommandKind::Pause && follows && !follower.mPausedAt) {
    follower.mPausedAt = aNow;
  }
  return OnTimer(aNow);
}

std::vector<TransferCommand>
LeadershipTransfer::OnDemoteReply(const std::optional<MemberReply>& aReply,
                                  TimePoint aNow)
{
  mIsAwaitingDemoteReply = false;
  const bool follows =
    aReply && aReply->mStatus && aReply->mStatus->mRole == MemberRole::Replica;
  if (!follows) {
    // The old leader may or may not step down later; the transfer must not depend on it.
    return mStep == Step::Demoting ? StartPausing(aNow) : std::vector<TransferCommand>();
  }
  mIsDemoted = true;
  if (mStep == Step::Demoting) {
    return StartCatchingUp(aReply->mStatus->mReceived, aNow);
  }
  EvaluatePause(aNow);
  return {};
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
      break;
  }
  EvaluatePause(aNow);
  return mOutcome == Outcome::Pending ? SendToFollowers(CommandKind::Pause, aNow)
                                      : std::vector<TransferCommand>();
}

std::vector<TransferCommand>
LeadershipTransfer::EvaluateSwitchover(TimePoint aNow)
{
  if (!HaveAllFollowersReplied() && aNow - mStepStartedAt < kCandidateReplyTimeout) {
    return {};
  }
  Duration leastLag = Duration::max();
  for (const auto& [member, follower] : mFollowers) {
    if (follower.mStatus) {
      leastLag = std::min(leastLag, follower.mStatus->mLag);
    }
  }
  const auto best = BestCandidate();
  // A replica that catches up soon helps as much as a switchover, and the promotion of a
  // replica that lacks commits would roll them back.
  const bool isUseful = best != mFollowers.end() && leastLag >= kMinSwitchoverLag &&
                        best->second.mStatus->mReceived >= mRequest.mRequiredPosition;
  if (!isUseful) {
    mOutcome = Outcome::NotUseful;
    return {};
  }
  return StartDemoting(aNow);
}

void
LeadershipTransfer::EvaluateCatchUp(TimePoint aNow)
{
  const auto best = BestCandidate();
  const bool hasAll =
    best != mFollowers.end() && best->second.mStatus->mReceived >= mFinalPosition;
  const Duration waited = aNow - mStepStartedAt;
  if (hasAll || (waited >= kCatchUpTimeout && best != mFollowers.end())) {
    ChooseTarget();
  } else if (waited >= kTransferTimeout) {
    mOutcome = Outcome::Failed;
  }
}

void
LeadershipTransfer::EvaluatePause(TimePoint aNow)
{
  if (!mRequest.mPendingMember.empty() && !mFollowers[mRequest.mPendingMember].mStatus &&
      aNow - mRequest.mClaimedAt < kLateCallWindow) {
    return;
  }
  TimePoint pausedSince = mRequest.mClaimedAt;
  bool areAllPaused = true;
  for (const auto& [member, follower] : mFollowers) {
    if (member == mRequest.mReplaced || !follower.mRenewsLeases) {
      continue;
    }
    areAllPaused = areAllPaused && follower.mPausedAt;
    pausedSince = std::max(pausedSince, follower.mPausedAt.value_or(pausedSince));
  }
  // A leader that has stepped down serves no instance, so there is no need to wait for
  // leases to expire.
  const bool isOver =
    mIsDemoted ? areAllPaused || aNow - mStepStartedAt >= kCandidateReplyTimeout
               : (areAllPaused && aNow - pausedSince > kLeaderLease) ||
                   aNow - mRequest.mClaimedAt > kFollowerProofLimit + kStoreContactError;
  if (!isOver || ChooseTarget()) {
    return;
  }
  if (aNow - mRequest.mClaimedAt >
      kFollowerProofLimit + kStoreContactError + kTransferTimeout) {
    mOutcome = Outcome::Failed;
  }
}

bool
LeadershipTransfer::HaveAllFollowersReplied() const
{
  return std::all_of(mFollowers.begin(), mFollowers.end(), [](const auto& aFollower) {
    return aFollower.second.mStatus.has_value();
  });
}

std::map<std::string, LeadershipTransfer::Follower, std::less<>>::const_iterator
LeadershipTransfer::BestCandidate() const
{
  auto best = mFollowers.end();
  for (auto follower = mFollowers.begin(); follower != mFollowers.end(); ++follower) {
    if (!follower->second.mStatus) {
      continue;
    }
    const bool follows = follower->second.mStatus->mRole == MemberRole::Replica;
    const bool isPending = follower->first == mRequest.mPendingMember;
    if (isPending && (!follows || follower->second.mIsCandidate)) {
      return follower;
    }
    // A member that still leads an older term would answer as the new leader immediately,
    // with data from before its promotion.
    if (!follows || !follower->second.mIsCandidate) {
      continue;
    }
    if (best == mFollowers.end() ||
        follower->second.mStatus->mReceived > best->second.mStatus->mReceived) {
      best = follower;
    }
  }
  return best;
}

bool
LeadershipTransfer::ChooseTarget()
{
  const auto best = BestCandidate();
  if (best == mFollowers.end()) {
    return false;
  }
  mTarget = best->first;
  mOutcome = Outcome::Ready;
  return true;
}

LogPosition
LeadershipTransfer::TargetPosition() const
{
  const auto target = mFollowers.find(mTarget);
  return target == mFollowers.end() || !target->second.mStatus
           ? LogPosition()
           : target->second.mStatus->mReceived;
}

std::vector<TransferCommand>
LeadershipTransfer::ResumeFollowers()
{
  std::vector<TransferCommand> commands;
  if (!std::exchange(mHasPaused, false)) {
    return commands;
  }
  for (const auto& [member, follower] : mFollowers) {
    MemberCommand resume;
    resume.mKind = CommandKind::Resume;
    commands.push_back({ member, std::move(resume) });
  }
  return commands;
}

} // namespace papayaspindle::proxy
