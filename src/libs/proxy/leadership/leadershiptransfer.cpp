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
  if (!mRequest.mPending.empty()) {
    mFollowers[mRequest.mPending];
  }
}

std::vector<TransferCommand>
LeadershipTransfer::Start(TimePoint aNow)
{
  mStepSince = aNow;
  if (mRequest.mIsSwitchover) {
    return Ask(CommandKind::Status, aNow);
  }
  // The word of a member that may still be promoted is none that it has stepped down.
  const bool canStepDown =
    mRequest.mIsReplacedReachable && mRequest.mReplaced != mRequest.mPending;
  return canStepDown ? StartDemoting(aNow) : StartHolding(aNow);
}

std::vector<TransferCommand>
LeadershipTransfer::Ask(CommandKind aKind, TimePoint aNow)
{
  std::vector<TransferCommand> commands;
  for (auto& [member, follower] : mFollowers) {
    const bool isHeld = aKind == CommandKind::Pause && follower.mHeldAt;
    if (follower.mIsAsked || isHeld || aNow < follower.mAskAfter) {
      continue;
    }
    follower.mIsAsked = true;
    MemberCommand command;
    command.mKind = aKind;
    command.mTerm = aKind == CommandKind::Pause ? mRequest.mNextTerm : 0;
    mHasPaused = mHasPaused || aKind == CommandKind::Pause;
    commands.push_back({ member, std::move(command) });
  }
  return commands;
}

TransferCommand
LeadershipTransfer::Demote()
{
  mMayHaveDemoted = true;
  mIsDemoteAsked = true;
  MemberCommand command;
  command.mKind = CommandKind::Demote;
  command.mTerm = mRequest.mNextTerm;
  return { mRequest.mReplaced, std::move(command) };
}

std::vector<TransferCommand>
LeadershipTransfer::StartDemoting(TimePoint aNow)
{
  mStep = Step::Demoting;
  mStepSince = aNow;
  return { Demote() };
}

std::vector<TransferCommand>
LeadershipTransfer::StartCatchingUp(const LogPosition& aLast, TimePoint aNow)
{
  mStep = Step::CatchingUp;
  mStepSince = aNow;
  mLast = aLast;
  return Ask(CommandKind::Status, aNow);
}

std::vector<TransferCommand>
LeadershipTransfer::StartHolding(TimePoint aNow)
{
  mStep = Step::Holding;
  mStepSince = aNow;
  std::vector<TransferCommand> commands = Ask(CommandKind::Pause, aNow);
  // The old leader may be out of reach for others only.
  if (!mRequest.mReplaced.empty() && mRequest.mReplaced != mRequest.mPending &&
      !mIsDemoteAsked) {
    commands.push_back(Demote());
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
  follower.mIsAsked = false;
  const bool isAnswered = aReply && aReply->mStatus;
  follower.mAskAfter =
    aNow + (mStep == Step::Holding && !isAnswered ? kHoldRetry : kCatchUpPause);
  if (isAnswered) {
    follower.mStatus = aReply->mStatus;
  }
  const bool leads = isAnswered && aReply->mStatus->mRole == MemberRole::Primary;
  const bool isReplaced = aMember == mRequest.mReplaced;
  if (isAnswered && aMember == mRequest.mPending && (leads || isReplaced)) {
    // The unanswered call was done, or can be repeated: nobody else was permitted to lead
    // since then.
    mTarget = mRequest.mPending;
    mOutcome = Outcome::Ready;
    return {};
  }
  // A leader of an older term doesn't pause; once it follows, it has to be asked again.
  const bool follows = isAnswered && aReply->mStatus->mRole == MemberRole::Replica;
  if (aKind == CommandKind::Pause && follows && !follower.mHeldAt) {
    follower.mHeldAt = aNow;
  }
  return OnTimer(aNow);
}

std::vector<TransferCommand>
LeadershipTransfer::OnDemoteReply(const std::optional<MemberReply>& aReply,
                                  TimePoint aNow)
{
  mIsDemoteAsked = false;
  const bool follows =
    aReply && aReply->mStatus && aReply->mStatus->mRole == MemberRole::Replica;
  if (!follows) {
    // It may still step down; what may follow must not rely on it.
    return mStep == Step::Demoting ? StartHolding(aNow) : std::vector<TransferCommand>();
  }
  mIsDemoted = true;
  if (mStep == Step::Demoting) {
    return StartCatchingUp(aReply->mStatus->mReceived, aNow);
  }
  JudgeHolding(aNow);
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
      return JudgeSwitchover(aNow);
    case Step::Demoting:
      return aNow - mStepSince >= kDemoteTimeout ? StartHolding(aNow)
                                                 : std::vector<TransferCommand>();
    case Step::CatchingUp:
      JudgeCatchUp(aNow);
      return mOutcome == Outcome::Pending ? Ask(CommandKind::Status, aNow)
                                          : std::vector<TransferCommand>();
    case Step::Holding:
      break;
  }
  JudgeHolding(aNow);
  return mOutcome == Outcome::Pending ? Ask(CommandKind::Pause, aNow)
                                      : std::vector<TransferCommand>();
}

std::vector<TransferCommand>
LeadershipTransfer::JudgeSwitchover(TimePoint aNow)
{
  if (!HasEveryAnswer() && aNow - mStepSince < kChoiceTime) {
    return {};
  }
  Duration leastLag = Duration::max();
  for (const auto& [member, follower] : mFollowers) {
    if (follower.mStatus) {
      leastLag = std::min(leastLag, follower.mStatus->mLag);
    }
  }
  const auto best = Best();
  // A replica that catches up soon helps as much, and one that has received too little
  // would roll commits back.
  const bool isUseful = best != mFollowers.end() && leastLag >= kSwitchoverLag &&
                        best->second.mStatus->mReceived >= mRequest.mMustHave;
  if (!isUseful) {
    mOutcome = Outcome::Useless;
    return {};
  }
  return StartDemoting(aNow);
}

void
LeadershipTransfer::JudgeCatchUp(TimePoint aNow)
{
  const auto best = Best();
  const bool hasAll =
    best != mFollowers.end() && best->second.mStatus->mReceived >= mLast;
  const Duration waited = aNow - mStepSince;
  if (hasAll || (waited >= kCatchUpTime && best != mFollowers.end())) {
    ChooseBest();
  } else if (waited >= kTransferPatience) {
    mOutcome = Outcome::Failed;
  }
}

void
LeadershipTransfer::JudgeHolding(TimePoint aNow)
{
  if (!mRequest.mPending.empty() && !mFollowers[mRequest.mPending].mStatus &&
      aNow - mRequest.mClaimedAt < kLateCalls) {
    return;
  }
  TimePoint heldSince = mRequest.mClaimedAt;
  bool areAllHeld = true;
  for (const auto& [member, follower] : mFollowers) {
    if (member == mRequest.mReplaced) {
      continue;
    }
    areAllHeld = areAllHeld && follower.mHeldAt;
    heldSince = std::max(heldSince, follower.mHeldAt.value_or(heldSince));
  }
  // Nobody can be served by a leader that has stepped down.
  const bool isOver = mIsDemoted
                        ? areAllHeld || aNow - mStepSince >= kChoiceTime
                        : (areAllHeld && aNow - heldSince > kLeaderLease) ||
                            aNow - mRequest.mClaimedAt > kFollowerLimit + kContactError;
  if (!isOver || ChooseBest()) {
    return;
  }
  if (aNow - mRequest.mClaimedAt > kFollowerLimit + kContactError + kTransferPatience) {
    mOutcome = Outcome::Failed;
  }
}

bool
LeadershipTransfer::HasEveryAnswer() const
{
  return std::all_of(mFollowers.begin(), mFollowers.end(), [](const auto& aFollower) {
    return aFollower.second.mStatus.has_value();
  });
}

std::map<std::string, LeadershipTransfer::Follower, std::less<>>::const_iterator
LeadershipTransfer::Best() const
{
  auto best = mFollowers.end();
  for (auto follower = mFollowers.begin(); follower != mFollowers.end(); ++follower) {
    if (!follower->second.mStatus) {
      continue;
    }
    const bool follows = follower->second.mStatus->mRole == MemberRole::Replica;
    const bool isPending = follower->first == mRequest.mPending;
    if (isPending && (!follows || follower->second.mIsCandidate)) {
      return follower;
    }
    // One that still leads an older term would answer as the new leader at once.
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
LeadershipTransfer::ChooseBest()
{
  const auto best = Best();
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
LeadershipTransfer::Undo()
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
