#include "decision/failover/groupkeeper.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

namespace {

template<typename... Calls>
struct Overloaded : Calls...
{
  using Calls::operator()...;
};
template<typename... Calls>
Overloaded(Calls...) -> Overloaded<Calls...>;

FailoverSummary
SummaryOf(const FailoverRun& aRun)
{
  return { aRun.Term(), aRun.Setup().mOldPrimary, aRun.NewPrimary(), aRun.Timeline() };
}

} // namespace

GroupKeeper::GroupKeeper(GroupId aGroup,
                         InstanceId aInstance,
                         const KeeperSettings& aSettings,
                         RandomHook aRandom)
  : mGroup(std::move(aGroup))
  , mInstance(std::move(aInstance))
  , mSettings(aSettings)
  , mRandom(std::move(aRandom))
  , mSuspicion(aSettings.mSuspicion)
  , mReconciler(aSettings.mReconcile)
  , mRecorder(aSettings.mRecord)
{
}

KeeperActions
GroupKeeper::OnTick(const KeeperInput& aInput, TimePoint aNow)
{
  mInput = aInput;
  for (FailoverMember& member : mInput.mMembers) {
    member.mLeaving = member.mLeaving || mLeaving.contains(member.mMember);
  }
  mSuspicion.OnTick(aNow);
  KeeperActions actions;
  if (!mInput.mMayAct || mInput.mRank < 0) {
    // Before the fence nothing was changed, and the suspicion is out of date.
    if (mRun && mRun->CurrentStage() == FailoverRun::Stage::Confirm) {
      mRun.reset();
    }
    return actions;
  }
  if (mRun && IsSuperseded()) {
    mRun.reset();
  }
  Decide(aNow, actions);
  // The home that announced a view may have died before it was recorded.
  if (mInput.mRank == 0 && !mInput.mView.mPrimary.IsEmpty()) {
    mRecorder.Want(mInput.mView);
  }
  if (const std::optional<RecordAction> record = mRecorder.Next(aNow)) {
    std::visit([&](const auto& aRecord) { actions.emplace_back(aRecord); }, *record);
  }
  return actions;
}

void
GroupKeeper::Decide(TimePoint aNow, KeeperActions& aActions)
{
  if (!mRun && aNow >= mNotBefore) {
    const auto failure = mSuspicion.Suspicion(mInput.mView.mPrimary, mInput.mRank, aNow);
    if (failure) {
      const bool refused = *failure == PollFailure::Refused;
      StartRun(refused ? FailoverReason::PrimaryRefused : FailoverReason::PrimarySilent,
               mInput.mView.mTerm,
               aNow);
    }
  }
  if (!mRun) {
    Reconcile(aNow, aActions);
  }
  if (mRun) {
    KeeperActions more = Take(mRun->OnTick(aNow), aNow);
    std::move(more.begin(), more.end(), std::back_inserter(aActions));
  }
}

void
GroupKeeper::Reconcile(TimePoint aNow, KeeperActions& aActions)
{
  const ReconcileInput input{ mInput.mMembers, mInput.mView, mInput.mRank };
  for (const ReconcileAction& action : mReconciler.OnTick(input, aNow)) {
    std::visit(Overloaded{
                 [&](const StartFailover& aStart) {
                   if (aNow >= mNotBefore) {
                     StartRun(
                       aStart.mReason, std::max(aStart.mTerm, mInput.mView.mTerm), aNow);
                   }
                 },
                 [&](const RecordView& aRecord) { mRecorder.Want(aRecord.mView); },
                 [&](const auto& aOther) { aActions.emplace_back(aOther); },
               },
               action);
  }
}

void
GroupKeeper::StartRun(FailoverReason aReason, std::uint64_t aTerm, TimePoint aNow)
{
  const FailoverSetup setup{ mGroup,
                             mInstance,
                             aReason,
                             mInput.mMembers,
                             mInput.mOtherHomes,
                             aTerm,
                             mInput.mView.mPrimary };
  mRun.emplace(setup, mSettings.mFailover, mRandom, aNow);
}

bool
GroupKeeper::IsSuperseded() const
{
  return mInput.mView.mTerm > std::max(mRun->Setup().mTerm, mRun->Term());
}

KeeperActions
GroupKeeper::Take(const FailoverActions& aActions, TimePoint aNow)
{
  KeeperActions taken;
  for (const FailoverAction& action : aActions) {
    std::visit(Overloaded{
                 [&](const Backoff& aBackoff) { mNotBefore = aNow + aBackoff.mAfter; },
                 [&](const RecordView& aRecord) { mRecorder.Want(aRecord.mView); },
                 [](const Finish&) {},
                 [&](const auto& aOther) { taken.emplace_back(aOther); },
               },
               action);
  }
  if (mRun && mRun->End()) {
    mLastEnd = mRun->End();
    if (mRun->Term() > 0) {
      mLast = SummaryOf(*mRun);
    }
    mRun.reset();
  }
  return taken;
}

void
GroupKeeper::NoteAnswer(const MemberStatus& aStatus, TimePoint aNow)
{
  mSuspicion.OnAnswer(aStatus.mMember, aNow);
  mReconciler.OnStatus(aStatus);
  if (aStatus.mLeaving) {
    mLeaving.insert(aStatus.mMember);
  } else {
    mLeaving.erase(aStatus.mMember);
  }
}

KeeperActions
GroupKeeper::OnStatus(const MemberStatus& aStatus, TimePoint aNow)
{
  NoteAnswer(aStatus, aNow);
  return mRun ? Take(mRun->OnStatus(aStatus, aNow), aNow) : KeeperActions{};
}

KeeperActions
GroupKeeper::OnNoAnswer(const MemberId& aMember, PollFailure aFailure, TimePoint aNow)
{
  mSuspicion.OnFailure(aMember, aFailure, aNow);
  return mRun ? Take(mRun->OnNoAnswer(aMember, aNow), aNow) : KeeperActions{};
}

KeeperActions
GroupKeeper::OnConfirmation(const ConfirmationReply& aReply, TimePoint aNow)
{
  return mRun ? Take(mRun->OnConfirmation(aReply, aNow), aNow) : KeeperActions{};
}

KeeperActions
GroupKeeper::OnRaiseTermReply(const ControlReply& aReply, TimePoint aNow)
{
  NoteAnswer(aReply.mStatus, aNow);
  return mRun ? Take(mRun->OnRaiseTermReply(aReply, aNow), aNow) : KeeperActions{};
}

KeeperActions
GroupKeeper::OnPromoteReply(const ControlReply& aReply, TimePoint aNow)
{
  NoteAnswer(aReply.mStatus, aNow);
  return mRun ? Take(mRun->OnPromoteReply(aReply, aNow), aNow) : KeeperActions{};
}

KeeperActions
GroupKeeper::OnFollowReply(const ControlReply& aReply, TimePoint aNow)
{
  NoteAnswer(aReply.mStatus, aNow);
  return mRun ? Take(mRun->OnFollowReply(aReply, aNow), aNow) : KeeperActions{};
}

KeeperActions
GroupKeeper::OnRecordRow(const RecordedView& aRow, TimePoint aNow)
{
  mRecorder.OnRow(aRow, aNow);
  KeeperActions actions;
  if (const std::optional<GroupView> newer = mRecorder.Newer()) {
    actions.emplace_back(AnnounceView{ *newer });
  }
  return actions;
}

void
GroupKeeper::OnRecordCommitted(TimePoint aNow)
{
  mRecorder.OnCommitted(aNow);
}

void
GroupKeeper::OnRecordFailure(TimePoint aNow)
{
  mRecorder.OnFailure(aNow);
}

ConfirmationReply
GroupKeeper::Confirm(const MemberId& aMember, TimePoint aNow)
{
  // Right after a pause of this instance, the member's silence is not known.
  mSuspicion.OnTick(aNow);
  const Duration silence = mSuspicion.Silence(aMember, aNow);
  return { mInstance,
           !mSuspicion.HasFailed(aMember),
           std::chrono::duration_cast<std::chrono::milliseconds>(silence),
           mInput.mView.mTerm };
}

bool
GroupKeeper::IsRunning() const
{
  return mRun.has_value();
}

std::optional<FailoverEnd>
GroupKeeper::LastEnd() const
{
  return mLastEnd;
}

FailoverSummary
GroupKeeper::Summary() const
{
  return mRun && mRun->Term() > 0 ? SummaryOf(*mRun) : mLast;
}

Duration
GroupKeeper::Silence(const MemberId& aMember, TimePoint aNow) const
{
  return mSuspicion.Silence(aMember, aNow);
}

} // namespace papayaspindle
