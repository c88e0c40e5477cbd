#include "decision/failover/failoverrun.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace papayaspindle {

FailoverRun::FailoverRun(const FailoverSetup& aSetup,
                         const FailoverSettings& aSettings,
                         RandomHook aRandom,
                         TimePoint aNow)
  : mSetup(aSetup)
  , mSettings(aSettings)
  , mRandom(std::move(aRandom))
  , mKeeperName(fmt::format("{}#{:016x}", aSetup.mKeeper.Text(), mRandom()))
  , mConfirmation(aSetup, aSettings)
  , mHighestTerm(aSetup.mTerm)
  , mStartedAt(aNow)
  , mStageEnteredAt(aNow)
{
  AddStep(aNow, "failover began");
}

FailoverActions
FailoverRun::OnTick(TimePoint aNow)
{
  FailoverActions actions;
  CheckTimeouts(aNow, actions);
  if (mStage == Stage::Fence) {
    CheckFence(aNow, actions);
  }
  if (!mLastSentAt || aNow - *mLastSentAt >= mSettings.mResendInterval) {
    SendPending(aNow, actions);
  }
  return actions;
}

FailoverActions
FailoverRun::OnConfirmation(const ConfirmationReply& aReply, TimePoint aNow)
{
  FailoverActions actions;
  if (mStage != Stage::Confirm) {
    return actions;
  }
  if (aReply.mTerm > mSetup.mTerm) {
    FinishRun(FailoverOutcome::Conflict, aNow, actions);
    return actions;
  }
  mConfirmation.OnReply(aReply);
  CheckConfirmed(aNow, actions);
  return actions;
}

FailoverActions
FailoverRun::OnStatus(const MemberStatus& aStatus, TimePoint aNow)
{
  FailoverActions actions;
  UpdateHighestTerm(aStatus.mTerm);
  if (mStage == Stage::Verify) {
    RecordProof(aStatus);
    CheckVerified(aNow, actions);
    return actions;
  }
  if (mStage != Stage::Confirm || aStatus.mRequestedAt < mStartedAt) {
    return actions;
  }
  if (aStatus.mRole == MemberRole::Primary && aStatus.mTerm >= mHighestTerm) {
    const bool isOld = aStatus.mMember == mSetup.mOldPrimary;
    if (isOld && mSetup.mReason == FailoverReason::PrimaryLeaving) {
      mConfirmation.OnStatus(aStatus);
      CheckConfirmed(aNow, actions);
      return actions;
    }
    FinishRun(isOld ? FailoverOutcome::PrimaryAnswered : FailoverOutcome::Conflict,
              aNow,
              actions);
    return actions;
  }
  mConfirmation.OnStatus(aStatus);
  CheckConfirmed(aNow, actions);
  return actions;
}

FailoverActions
FailoverRun::OnRaiseTermReply(const ControlReply& aReply, TimePoint aNow)
{
  FailoverActions actions;
  UpdateHighestTerm(aReply.mStatus.mTerm);
  if (!IsReplyForStage(Stage::Fence, aReply)) {
    return actions;
  }
  if (aReply.mStatus.mTerm > mFence->Term()) {
    FinishRun(FailoverOutcome::Conflict, aNow, actions);
    return actions;
  }
  if (aReply.mAccepted) {
    mFence->OnGrant(aReply.mStatus.mMember, aReply.mStatus.mLastPosition);
    AddStep(aNow, "term granted by", aReply.mStatus.mMember.Text());
  } else {
    mFence->OnRefusal(aReply.mStatus.mMember);
    AddStep(aNow, "term refused by", aReply.mStatus.mMember.Text());
  }
  CheckFence(aNow, actions);
  return actions;
}

FailoverActions
FailoverRun::OnPromoteReply(const ControlReply& aReply, TimePoint aNow)
{
  FailoverActions actions;
  UpdateHighestTerm(aReply.mStatus.mTerm);
  const bool expected =
    IsReplyForStage(Stage::Promote, aReply) && aReply.mStatus.mMember == mNewPrimary;
  if (!expected) {
    return actions;
  }
  if (!aReply.mAccepted || aReply.mStatus.mTerm > mFence->Term()) {
    FinishRun(FailoverOutcome::Conflict, aNow, actions);
    return actions;
  }
  AddStep(aNow, "promoted", mNewPrimary.Text());
  EnterStage(Stage::Verify, aNow);
  RecordProof(aReply.mStatus);
  SendPending(aNow, actions);
  CheckVerified(aNow, actions);
  return actions;
}

FailoverActions
FailoverRun::OnFollowReply(const ControlReply& aReply, TimePoint aNow)
{
  return OnStatus(aReply.mStatus, aNow);
}

FailoverActions
FailoverRun::OnNoAnswer(const MemberId& aMember, TimePoint aNow)
{
  FailoverActions actions;
  if (mStage == Stage::Fence) {
    mFence->OnNoAnswer(aMember);
    CheckFence(aNow, actions);
  }
  return actions;
}

FailoverRun::Stage
FailoverRun::CurrentStage() const
{
  return mStage;
}

std::optional<FailoverOutcome>
FailoverRun::Outcome() const
{
  return mOutcome;
}

std::uint64_t
FailoverRun::Term() const
{
  return mFence ? mFence->Term() : 0;
}

const MemberId&
FailoverRun::NewPrimary() const
{
  return mNewPrimary;
}

const FailoverSetup&
FailoverRun::Setup() const
{
  return mSetup;
}

const std::vector<FailoverStep>&
FailoverRun::Timeline() const
{
  return mTimeline;
}

void
FailoverRun::UpdateHighestTerm(std::uint64_t aTerm)
{
  mHighestTerm = std::max(mHighestTerm, aTerm);
}

void
FailoverRun::AddStep(TimePoint aNow, std::string_view aEvent, std::string_view aDetail)
{
  constexpr std::size_t kMaxSteps = 100;
  if (mTimeline.size() < kMaxSteps) {
    const std::string_view space = aDetail.empty() ? "" : " ";
    mTimeline.push_back(
      { aNow - mStartedAt, fmt::format("{}{}{}", aEvent, space, aDetail) });
  }
}

void
FailoverRun::EnterStage(Stage aStage, TimePoint aNow)
{
  mStage = aStage;
  mStageEnteredAt = aNow;
  mProofTimes.clear();
}

void
FailoverRun::CheckConfirmed(TimePoint aNow, FailoverActions& aActions)
{
  // Without a majority the fence can't succeed, and raising the term of a minority would
  // only force another failover on the majority.
  if (mConfirmation.IsConfirmed() && mConfirmation.HasMajorityAnswered()) {
    AddStep(aNow, "confirmed");
    BeginFence(aNow, aActions);
  }
}

void
FailoverRun::BeginFence(TimePoint aNow, FailoverActions& aActions)
{
  mFence.emplace(mSetup, mHighestTerm + 1);
  UpdateHighestTerm(mFence->Term());
  mNewPrimary = MemberId();
  mMajorityReachedAt.reset();
  EnterStage(Stage::Fence, aNow);
  AddStep(aNow, "fence of term", std::to_string(mFence->Term()));
  SendPending(aNow, aActions);
}

void
FailoverRun::CheckFence(TimePoint aNow, FailoverActions& aActions)
{
  if (mFence->IsMajorityUnreachable()) {
    FinishRun(FailoverOutcome::Conflict, aNow, aActions);
    return;
  }
  const std::optional<MemberId> chosen = mFence->ChoosePrimary();
  if (!chosen) {
    return;
  }
  if (!mMajorityReachedAt) {
    mMajorityReachedAt = aNow;
  }
  if (!mFence->HasEveryMemberResponded() &&
      aNow - *mMajorityReachedAt < mSettings.mGrantGracePeriod) {
    return;
  }
  mNewPrimary = *chosen;
  AddStep(aNow, "chosen", mNewPrimary.Text());
  EnterStage(Stage::Promote, aNow);
  SendPending(aNow, aActions);
}

void
FailoverRun::CheckVerified(TimePoint aNow, FailoverActions& aActions)
{
  if (mHighestTerm > mFence->Term()) {
    FinishRun(FailoverOutcome::Conflict, aNow, aActions);
    return;
  }
  const auto fresh =
    std::count_if(mProofTimes.begin(), mProofTimes.end(), [&](const auto& aProof) {
      return aNow - aProof.second <= mSettings.mMaxProofAge;
    });
  if (static_cast<std::size_t>(fresh) < mSetup.mMembers.size() / 2 + 1) {
    return;
  }
  const GroupView view{ mSetup.mGroup, mFence->Term(), mNewPrimary };
  aActions.emplace_back(AnnounceView{ view });
  aActions.emplace_back(RecordView{ view });
  FinishRun(FailoverOutcome::Promoted, aNow, aActions);
}

void
FailoverRun::CheckTimeouts(TimePoint aNow, FailoverActions& aActions)
{
  const Duration inStage = aNow - mStageEnteredAt;
  if (mStage == Stage::Confirm && inStage >= mSettings.mConfirmTimeout) {
    FinishRun(FailoverOutcome::NotConfirmed, aNow, aActions);
    return;
  }
  if (inStage < mSettings.mStepTimeout) {
    return;
  }
  if (mStage == Stage::Fence && !mFence->HasMajority()) {
    FinishRun(FailoverOutcome::NoMajority, aNow, aActions);
    return;
  }
  if (mStage == Stage::Promote || mStage == Stage::Verify) {
    // The chosen member may have been promoted, so choosing another one needs a new term.
    AddStep(aNow, "no proof of the promotion of", mNewPrimary.Text());
    BeginFence(aNow, aActions);
  }
}

void
FailoverRun::SendPending(TimePoint aNow, FailoverActions& aActions)
{
  mLastSentAt = aNow;
  if (mStage == Stage::Promote) {
    aActions.emplace_back(SendPromote{ mNewPrimary, mFence->Term(), mKeeperName });
    return;
  }
  for (const FailoverMember& member : mSetup.mMembers) {
    const MemberId& id = member.mMember;
    const bool isLeader = mStage == Stage::Verify && id == mNewPrimary;
    if (mStage == Stage::Confirm || isLeader) {
      aActions.emplace_back(SendStatus{ id });
    } else if (mStage == Stage::Verify) {
      aActions.emplace_back(SendFollow{ id, mFence->Term(), mNewPrimary });
    } else if (mStage == Stage::Fence && !mFence->IsGrantedBy(id)) {
      aActions.emplace_back(SendRaiseTerm{ id, mFence->Term(), mKeeperName });
    }
  }
  if (mStage == Stage::Confirm && mConfirmation.IsNeeded()) {
    for (const FailoverHome& home : mSetup.mOtherHomes) {
      aActions.emplace_back(RequestConfirmation{ home.mInstance });
    }
  }
}

void
FailoverRun::RecordProof(const MemberStatus& aStatus)
{
  const bool isMember =
    std::any_of(mSetup.mMembers.begin(), mSetup.mMembers.end(), [&](const auto& aMember) {
      return aMember.mMember == aStatus.mMember;
    });
  const bool isProof = isMember && aStatus.mTerm == mFence->Term();
  const bool isPrimary = aStatus.mRole == MemberRole::Primary;
  if (isProof && isPrimary == (aStatus.mMember == mNewPrimary)) {
    TimePoint& requestedAt =
      mProofTimes.try_emplace(aStatus.mMember, aStatus.mRequestedAt).first->second;
    requestedAt = std::max(requestedAt, aStatus.mRequestedAt);
  }
}

void
FailoverRun::FinishRun(FailoverOutcome aOutcome,
                       TimePoint aNow,
                       FailoverActions& aActions)
{
  AddStep(aNow, OutcomeText(aOutcome));
  EnterStage(Stage::Finished, aNow);
  mOutcome = aOutcome;
  if (aOutcome != FailoverOutcome::Promoted &&
      aOutcome != FailoverOutcome::PrimaryAnswered) {
    const auto minDelay = std::chrono::duration_cast<Duration>(mSettings.mBackoffMin);
    const auto maxDelay = std::chrono::duration_cast<Duration>(mSettings.mBackoffMax);
    const auto rangeSize = static_cast<std::uint64_t>((maxDelay - minDelay).count()) + 1;
    aActions.emplace_back(
      Backoff{ minDelay + Duration(static_cast<Duration::rep>(mRandom() % rangeSize)) });
  }
  aActions.emplace_back(FinishFailover{ aOutcome });
}

bool
FailoverRun::IsReplyForStage(Stage aStage, const ControlReply& aReply) const
{
  return mStage == aStage && aReply.mTerm == mFence->Term();
}

} // namespace papayaspindle
