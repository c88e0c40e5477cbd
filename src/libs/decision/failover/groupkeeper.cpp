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
    member.mLeaving =
      member.mLeaving || mMembersReportingLeaving.contains(member.mMember);
  }
  mSuspicion.OnTick(aNow);
  KeeperActions actions;
  if (!mInput.mMayAct || mInput.mRank < 0) {
    // Before the fence no member has been changed, and the suspicion is out of date.
    if (mRun && mRun->CurrentStage() == FailoverRun::Stage::Confirm) {
      mRun.reset();
    }
    return actions;
  }
  if (mRun && IsSuperseded()) {
    mRun.reset();
  }
  AdvanceFailover(aNow, actions);
  // The home that announced the view may have died before recording it.
  if (mInput.mRank == 0 && !mInput.mView.mPrimary.IsEmpty()) {
    mRecorder.RequestRecord(mInput.mView);
  }
  if (const std::optional<RecordAction> record = mRecorder.NextAction(aNow)) {
    std::visit([&](const auto& aRecord) { actions.emplace_back(aRecord); }, *record);
  }
  return actions;
}

void
GroupKeeper::AdvanceFailover(TimePoint aNow, KeeperActions& aActions)
{
  if (!mRun && aNow >= mNextRunAllowedAt) {
    const auto failure = mSuspicion.Suspicion(mInput.mView.mPrimary, mInput.mRank, aNow);
    if (failure) {
      const bool refused = *failure == PollFailure::Refused;
      StartRun(refused ? FailoverReason::PrimaryRefused
                       : FailoverReason::PrimaryUnresponsive,
               mInput.mView.mTerm,
               aNow);
    }
  }
  if (!mRun) {
    Reconcile(aNow, aActions);
  }
  if (mRun) {
    KeeperActions runActions = ProcessRunActions(mRun->OnTick(aNow), aNow);
    std::move(runActions.begin(), runActions.end(), std::back_inserter(aActions));
  }
}

void
GroupKeeper::Reconcile(TimePoint aNow, KeeperActions& aActions)
{
  const ReconcileInput input{ mInput.mMembers, mInput.mView, mInput.mRank };
  for (const ReconcileAction& action : mReconciler.OnTick(input, aNow)) {
    std::visit(
      Overloaded{
        [&](const StartFailover& aStart) {
          if (aNow >= mNextRunAllowedAt) {
            StartRun(aStart.mReason, std::max(aStart.mTerm, mInput.mView.mTerm), aNow);
          }
        },
        [&](const RecordView& aRecord) { mRecorder.RequestRecord(aRecord.mView); },
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
GroupKeeper::ProcessRunActions(const FailoverActions& aActions, TimePoint aNow)
{
  KeeperActions actions;
  for (const FailoverAction& action : aActions) {
    std::visit(
      Overloaded{
        [&](const Backoff& aBackoff) { mNextRunAllowedAt = aNow + aBackoff.mDelay; },
        [&](const RecordView& aRecord) { mRecorder.RequestRecord(aRecord.mView); },
        [](const FinishFailover&) {},
        [&](const auto& aOther) { actions.emplace_back(aOther); },
      },
      action);
  }
  if (mRun && mRun->Outcome()) {
    mLastOutcome = mRun->Outcome();
    if (mRun->Term() > 0) {
      mLastSummary = SummaryOf(*mRun);
    }
    mRun.reset();
  }
  return actions;
}

void
GroupKeeper::RecordAnswer(const MemberStatus& aStatus, TimePoint aNow)
{
  mSuspicion.OnAnswer(aStatus.mMember, aNow);
  mReconciler.OnStatus(aStatus);
  if (aStatus.mLeaving) {
    mMembersReportingLeaving.insert(aStatus.mMember);
  } else {
    mMembersReportingLeaving.erase(aStatus.mMember);
  }
}

KeeperActions
GroupKeeper::OnStatus(const MemberStatus& aStatus, TimePoint aNow)
{
  RecordAnswer(aStatus, aNow);
  return mRun ? ProcessRunActions(mRun->OnStatus(aStatus, aNow), aNow) : KeeperActions{};
}

KeeperActions
GroupKeeper::OnNoAnswer(const MemberId& aMember, PollFailure aFailure, TimePoint aNow)
{
  mSuspicion.OnFailure(aMember, aFailure, aNow);
  return mRun ? ProcessRunActions(mRun->OnNoAnswer(aMember, aNow), aNow)
              : KeeperActions{};
}

KeeperActions
GroupKeeper::OnConfirmation(const ConfirmationReply& aReply, TimePoint aNow)
{
  return mRun ? ProcessRunActions(mRun->OnConfirmation(aReply, aNow), aNow)
              : KeeperActions{};
}

KeeperActions
GroupKeeper::OnRaiseTermReply(const ControlReply& aReply, TimePoint aNow)
{
  RecordAnswer(aReply.mStatus, aNow);
  return mRun ? ProcessRunActions(mRun->OnRaiseTermReply(aReply, aNow), aNow)
              : KeeperActions{};
}

KeeperActions
GroupKeeper::OnPromoteReply(const ControlReply& aReply, TimePoint aNow)
{
  RecordAnswer(aReply.mStatus, aNow);
  return mRun ? ProcessRunActions(mRun->OnPromoteReply(aReply, aNow), aNow)
              : KeeperActions{};
}

KeeperActions
GroupKeeper::OnFollowReply(const ControlReply& aReply, TimePoint aNow)
{
  RecordAnswer(aReply.mStatus, aNow);
  return mRun ? ProcessRunActions(mRun->OnFollowReply(aReply, aNow), aNow)
              : KeeperActions{};
}

KeeperActions
GroupKeeper::OnRecordRow(const RecordedView& aRow, TimePoint aNow)
{
  mRecorder.OnRow(aRow, aNow);
  KeeperActions actions;
  if (const std::optional<GroupView> newer = mRecorder.NewerRecordedView()) {
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
GroupKeeper::AnswerConfirmation(const MemberId& aMember, TimePoint aNow)
{
  // After a pause of this instance, the time without an answer must be reset first:
  // answers that arrived during the pause have not been processed.
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

std::optional<FailoverOutcome>
GroupKeeper::LastOutcome() const
{
  return mLastOutcome;
}

FailoverSummary
GroupKeeper::Summary() const
{
  return mRun && mRun->Term() > 0 ? SummaryOf(*mRun) : mLastSummary;
}

Duration
GroupKeeper::Silence(const MemberId& aMember, TimePoint aNow) const
{
  return mSuspicion.Silence(aMember, aNow);
}

} // namespace papayaspindle
