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
  , mBegan(aNow)
  , mStageSince(aNow)
{
  AddStep(aNow, "failover began");
}

FailoverActions
FailoverRun::OnTick(TimePoint aNow)
{
  FailoverActions actions;
  CheckTimeout(aNow, actions);
  if (mStage == Stage::Fence) {
    CheckFence(aNow, actions);
  }
  if (!mLastSent || aNow - *mLastSent >= mSettings.mResend) {
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
    EndRun(FailoverEnd::Conflict, aNow, actions);
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
  NoteTerm(aStatus.mTerm);
  if (mStage == Stage::Verify) {
    NoteProof(aStatus);
    CheckVerified(aNow, actions);
    return actions;
  }
  if (mStage != Stage::Confirm || aStatus.mAskedAt < mBegan) {
    return actions;
  }
  if (aStatus.mRole == MemberRole::Primary && aStatus.mTerm >= mHighestTerm) {
    const bool isOld = aStatus.mMember == mSetup.mOldPrimary;
    if (isOld && mSetup.mReason == FailoverReason::PrimaryLeaving) {
      mConfirmation.OnStatus(aStatus);
      CheckConfirmed(aNow, actions);
      return actions;
    }
    EndRun(isOld ? FailoverEnd::PrimaryAnswered : FailoverEnd::Conflict, aNow, actions);
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
  NoteTerm(aReply.mStatus.mTerm);
  if (!IsRequestOfStage(Stage::Fence, aReply)) {
    return actions;
  }
  if (aReply.mStatus.mTerm > mFence->Term()) {
    EndRun(FailoverEnd::Conflict, aNow, actions);
    return actions;
  }
  if (aReply.mAccepted) {
    mFence->OnGrant(aReply.mStatus.mMember, aReply.mStatus.mLast);
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
  NoteTerm(aReply.mStatus.mTerm);
  const bool expected =
    IsRequestOfStage(Stage::Promote, aReply) && aReply.mStatus.mMember == mNewPrimary;
  if (!expected) {
    return actions;
  }
  if (!aReply.mAccepted || aReply.mStatus.mTerm > mFence->Term()) {
    EndRun(FailoverEnd::Conflict, aNow, actions);
    return actions;
  }
  AddStep(aNow, "promoted", mNewPrimary.Text());
  EnterStage(Stage::Verify, aNow);
  NoteProof(aReply.mStatus);
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

std::optional<FailoverEnd>
FailoverRun::End() const
{
  return mEnd;
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
FailoverRun::NoteTerm(std::uint64_t aTerm)
{
  mHighestTerm = std::max(mHighestTerm, aTerm);
}

void
FailoverRun::AddStep(TimePoint aNow, std::string_view aEvent, std::string_view aDetail)
{
  constexpr std::size_t kMostSteps = 100;
  if (mTimeline.size() < kMostSteps) {
    const std::string_view space = aDetail.empty() ? "" : " ";
    mTimeline.push_back({ aNow - mBegan, fmt::format("{}{}{}", aEvent, space, aDetail) });
  }
}

void
FailoverRun::EnterStage(Stage aStage, TimePoint aNow)
{
  mStage = aStage;
  mStageSince = aNow;
  mProofs.clear();
}

void
FailoverRun::CheckConfirmed(TimePoint aNow, FailoverActions& aActions)
{
  // Raising the term of a minority would only force a failover on the majority.
  if (mConfirmation.IsAgreed() && mConfirmation.MajorityAnswers()) {
    AddStep(aNow, "confirmed");
    BeginFence(aNow, aActions);
  }
}

void
FailoverRun::BeginFence(TimePoint aNow, FailoverActions& aActions)
{
  mFence.emplace(mSetup, mHighestTerm + 1);
  NoteTerm(mFence->Term());
  mNewPrimary = MemberId();
  mMajoritySince.reset();
  EnterStage(Stage::Fence, aNow);
  AddStep(aNow, "fence of term", std::to_string(mFence->Term()));
  SendPending(aNow, aActions);
}

void
FailoverRun::CheckFence(TimePoint aNow, FailoverActions& aActions)
{
  if (mFence->IsLost()) {
    EndRun(FailoverEnd::Conflict, aNow, aActions);
    return;
  }
  const std::optional<MemberId> chosen = mFence->Choose();
  if (!chosen) {
    return;
  }
  if (!mMajoritySince) {
    mMajoritySince = aNow;
  }
  if (!mFence->IsComplete() && aNow - *mMajoritySince < mSettings.mGrantGrace) {
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
    EndRun(FailoverEnd::Conflict, aNow, aActions);
    return;
  }
  const auto fresh =
    std::count_if(mProofs.begin(), mProofs.end(), [&](const auto& aProof) {
      return aNow - aProof.second <= mSettings.mVerifyFresh;
    });
  if (static_cast<std::size_t>(fresh) < mSetup.mMembers.size() / 2 + 1) {
    return;
  }
  const GroupView view{ mSetup.mGroup, mFence->Term(), mNewPrimary };
  aActions.emplace_back(AnnounceView{ view });
  aActions.emplace_back(RecordView{ view });
  EndRun(FailoverEnd::Promoted, aNow, aActions);
}

void
FailoverRun::CheckTimeout(TimePoint aNow, FailoverActions& aActions)
{
  const Duration inStage = aNow - mStageSince;
  if (mStage == Stage::Confirm && inStage >= mSettings.mConfirmTimeout) {
    EndRun(FailoverEnd::NotConfirmed, aNow, aActions);
    return;
  }
  if (inStage < mSettings.mStepTimeout) {
    return;
  }
  if (mStage == Stage::Fence && !mFence->HasMajority()) {
    EndRun(FailoverEnd::NoMajority, aNow, aActions);
    return;
  }
  if (mStage == Stage::Promote || mStage == Stage::Verify) {
    // The member may have been promoted, so another choice needs another term.
    AddStep(aNow, "no proof of the promotion of", mNewPrimary.Text());
    BeginFence(aNow, aActions);
  }
}

void
FailoverRun::SendPending(TimePoint aNow, FailoverActions& aActions)
{
  mLastSent = aNow;
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
      aActions.emplace_back(AskConfirmation{ home.mInstance });
    }
  }
}

void
FailoverRun::NoteProof(const MemberStatus& aStatus)
{
  const bool isMember =
    std::any_of(mSetup.mMembers.begin(), mSetup.mMembers.end(), [&](const auto& aMember) {
      return aMember.mMember == aStatus.mMember;
    });
  const bool isProof = isMember && aStatus.mTerm == mFence->Term();
  const bool leads = aStatus.mRole == MemberRole::Primary;
  if (isProof && leads == (aStatus.mMember == mNewPrimary)) {
    TimePoint& askedAt =
      mProofs.try_emplace(aStatus.mMember, aStatus.mAskedAt).first->second;
    askedAt = std::max(askedAt, aStatus.mAskedAt);
  }
}

void
FailoverRun::EndRun(FailoverEnd aEnd, TimePoint aNow, FailoverActions& aActions)
{
  AddStep(aNow, EndText(aEnd));
  EnterStage(Stage::Finished, aNow);
  mEnd = aEnd;
  if (aEnd != FailoverEnd::Promoted && aEnd != FailoverEnd::PrimaryAnswered) {
    const auto least = std::chrono::duration_cast<Duration>(mSettings.mBackoffLeast);
    const auto most = std::chrono::duration_cast<Duration>(mSettings.mBackoffMost);
    const auto spread = static_cast<std::uint64_t>((most - least).count()) + 1;
    aActions.emplace_back(
      Backoff{ least + Duration(static_cast<Duration::rep>(mRandom() % spread)) });
  }
  aActions.emplace_back(Finish{ aEnd });
}

bool
FailoverRun::IsRequestOfStage(Stage aStage, const ControlReply& aReply) const
{
  return mStage == aStage && aReply.mTerm == mFence->Term();
}

} // namespace papayaspindle
