#include "decision/failover/groupreconciler.h"

#include <algorithm>

namespace papayaspindle {

namespace {

std::uint64_t
HighestTerm(const std::vector<const MemberStatus*>& aFresh)
{
  std::uint64_t term = 0;
  for (const MemberStatus* status : aFresh) {
    term = std::max(term, status->mTerm);
  }
  return term;
}

/** @return the primary of a term, by its own word or by that of a follower */
MemberId
PrimaryOf(std::uint64_t aTerm, const std::vector<const MemberStatus*>& aFresh)
{
  MemberId primary;
  for (const MemberStatus* status : aFresh) {
    if (status->mTerm != aTerm) {
      continue;
    }
    if (status->mRole == MemberRole::Primary) {
      return status->mMember;
    }
    if (status->mRole == MemberRole::Replica) {
      primary = status->mPrimary;
    }
  }
  return primary;
}

/** @return whether a member that should lead says that it does not */
bool
LostItsRole(const MemberId& aPrimary, const std::vector<const MemberStatus*>& aFresh)
{
  return std::any_of(aFresh.begin(), aFresh.end(), [&](const MemberStatus* aStatus) {
    return aStatus->mMember == aPrimary && aStatus->mRole != MemberRole::Primary;
  });
}

bool
Follows(const MemberId& aMember,
        const GroupView& aView,
        const std::vector<const MemberStatus*>& aFresh)
{
  return std::any_of(aFresh.begin(), aFresh.end(), [&](const MemberStatus* aStatus) {
    return aStatus->mMember == aMember && aStatus->mTerm == aView.mTerm &&
           aStatus->mRole == MemberRole::Replica && aStatus->mPrimary == aView.mPrimary;
  });
}

} // namespace

GroupReconciler::GroupReconciler(const ReconcileSettings& aSettings)
  : mSettings(aSettings)
{
}

void
GroupReconciler::OnStatus(const MemberStatus& aStatus)
{
  MemberStatus& known = mStatuses.try_emplace(aStatus.mMember, aStatus).first->second;
  // Replies may arrive out of order.
  if (aStatus.mAskedAt >= known.mAskedAt) {
    known = aStatus;
  }
}

ReconcileActions
GroupReconciler::OnTick(const ReconcileInput& aInput, TimePoint aNow)
{
  ReconcileActions actions;
  const Fresh fresh = FreshOf(aInput, aNow);
  CheckPrimary(aInput, fresh, aNow, actions);
  for (const MemberStatus* status : fresh) {
    CheckFollower(aInput, *status, aNow, actions);
  }
  return actions;
}

GroupReconciler::Fresh
GroupReconciler::FreshOf(const ReconcileInput& aInput, TimePoint aNow) const
{
  Fresh fresh;
  for (const FailoverMember& member : aInput.mMembers) {
    const auto found = mStatuses.find(member.mMember);
    if (found != mStatuses.end() && aNow - found->second.mAskedAt <= mSettings.mFresh) {
      fresh.push_back(&found->second);
    }
  }
  return fresh;
}

bool
GroupReconciler::IsDue(std::optional<TimePoint>& aSince,
                       Duration aWait,
                       TimePoint aNow) const
{
  if (!aSince) {
    aSince = aNow;
  }
  return aNow - *aSince >= aWait;
}

void
GroupReconciler::CheckPrimary(const ReconcileInput& aInput,
                              const Fresh& aFresh,
                              TimePoint aNow,
                              ReconcileActions& aActions)
{
  const std::size_t members = aInput.mMembers.size();
  const std::uint64_t term = HighestTerm(aFresh);
  const GroupView& view = aInput.mView;
  if (members == 0 || aFresh.size() < members / 2 + 1 || term < view.mTerm) {
    mNoPrimarySince.reset();
    return;
  }
  const Duration rankWait = aInput.mRank * mSettings.mPerRank;
  if (term == 0) {
    const bool allNew = aFresh.size() == members;
    if (allNew && IsDue(mNoPrimarySince, rankWait, aNow)) {
      aActions.emplace_back(StartFailover{ FailoverReason::FirstStart, 0 });
    }
    return;
  }
  const MemberId primary = PrimaryOf(term, aFresh);
  if (primary.IsEmpty() || LostItsRole(primary, aFresh)) {
    if (IsDue(mNoPrimarySince, mSettings.mLeaderless + rankWait, aNow)) {
      mNoPrimarySince.reset();
      aActions.emplace_back(StartFailover{ FailoverReason::Leaderless, term });
    }
    return;
  }
  mNoPrimarySince.reset();
  if (term > view.mTerm || view.mPrimary.IsEmpty()) {
    const GroupView learned{ view.mGroup, term, primary };
    aActions.emplace_back(AnnounceView{ learned });
    aActions.emplace_back(RecordView{ learned });
    return;
  }
  CheckLeaving(aInput, aFresh, aNow, aActions);
}

void
GroupReconciler::CheckLeaving(const ReconcileInput& aInput,
                              const Fresh& aFresh,
                              TimePoint aNow,
                              ReconcileActions& aActions)
{
  const GroupView& view = aInput.mView;
  const auto& members = aInput.mMembers;
  const bool leaving =
    std::any_of(members.begin(), members.end(), [&](const FailoverMember& aMember) {
      return aMember.mLeaving && aMember.mMember == view.mPrimary;
    });
  const auto followers =
    std::count_if(members.begin(), members.end(), [&](const FailoverMember& aMember) {
      return !aMember.mLeaving && Follows(aMember.mMember, view, aFresh);
    });
  if (!leaving || static_cast<std::size_t>(followers) < members.size() / 2 + 1) {
    mLeavingSince.reset();
    return;
  }
  const bool again = !mReplacedAt || aNow - *mReplacedAt >= mSettings.mReplaceAgain;
  if (again && IsDue(mLeavingSince, aInput.mRank * mSettings.mPerRank, aNow)) {
    mReplacedAt = aNow;
    aActions.emplace_back(StartFailover{ FailoverReason::PrimaryLeaving, view.mTerm });
  }
}

void
GroupReconciler::CheckFollower(const ReconcileInput& aInput,
                               const MemberStatus& aStatus,
                               TimePoint aNow,
                               ReconcileActions& aActions)
{
  const GroupView& view = aInput.mView;
  FollowState& state = mFollows[aStatus.mMember];
  const bool follows =
    aStatus.mRole == MemberRole::Replica && aStatus.mPrimary == view.mPrimary;
  const bool needed =
    aStatus.mTerm < view.mTerm || (aStatus.mTerm == view.mTerm && !follows);
  if (!needed || view.mPrimary.IsEmpty() || aStatus.mMember == view.mPrimary) {
    state.mSince.reset();
    return;
  }
  if (!IsDue(state.mSince, aInput.mRank * mSettings.mPerRank, aNow)) {
    return;
  }
  // Each status is acted on once.
  const bool isNew = !state.mSentAt || aStatus.mAskedAt > *state.mSentAt;
  if (isNew && (!state.mSentAt || aNow - *state.mSentAt >= mSettings.mFollowAgain)) {
    state.mSentAt = aNow;
    aActions.emplace_back(SendFollow{ aStatus.mMember, view.mTerm, view.mPrimary });
  }
}

} // namespace papayaspindle
