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

/** @return the term's primary, as reported by itself or by one of its replicas */
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

/** @return whether the member's own status reports another role than primary */
bool
HasLostPrimaryRole(const MemberId& aPrimary,
                   const std::vector<const MemberStatus*>& aFresh)
{
  return std::any_of(aFresh.begin(), aFresh.end(), [&](const MemberStatus* aStatus) {
    return aStatus->mMember == aPrimary && aStatus->mRole != MemberRole::Primary;
  });
}

bool
IsFollowing(const MemberId& aMember,
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
  MemberStatus& current = mStatuses.try_emplace(aStatus.mMember, aStatus).first->second;
  // Replies may arrive out of order.
  if (aStatus.mRequestedAt >= current.mRequestedAt) {
    current = aStatus;
  }
}

ReconcileActions
GroupReconciler::OnTick(const ReconcileInput& aInput, TimePoint aNow)
{
  ReconcileActions actions;
  const FreshStatuses fresh = CollectFreshStatuses(aInput, aNow);
  CheckPrimary(aInput, fresh, aNow, actions);
  for (const MemberStatus* status : fresh) {
    CheckFollower(aInput, *status, aNow, actions);
  }
  return actions;
}

GroupReconciler::FreshStatuses
GroupReconciler::CollectFreshStatuses(const ReconcileInput& aInput, TimePoint aNow) const
{
  FreshStatuses fresh;
  for (const FailoverMember& member : aInput.mMembers) {
    const auto found = mStatuses.find(member.mMember);
    if (found != mStatuses.end() &&
        aNow - found->second.mRequestedAt <= mSettings.mMaxStatusAge) {
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
                              const FreshStatuses& aFresh,
                              TimePoint aNow,
                              ReconcileActions& aActions)
{
  const std::size_t members = aInput.mMembers.size();
  const std::uint64_t term = HighestTerm(aFresh);
  const GroupView& view = aInput.mView;
  if (members == 0 || aFresh.size() < members / 2 + 1 || term < view.mTerm) {
    mPrimaryMissingSince.reset();
    return;
  }
  const Duration rankWait = aInput.mRank * mSettings.mDelayPerRank;
  if (term == 0) {
    const bool allNew = aFresh.size() == members;
    if (allNew && IsDue(mPrimaryMissingSince, rankWait, aNow)) {
      aActions.emplace_back(StartFailover{ FailoverReason::FirstStart, 0 });
    }
    return;
  }
  const MemberId primary = PrimaryOf(term, aFresh);
  if (primary.IsEmpty() || HasLostPrimaryRole(primary, aFresh)) {
    if (IsDue(mPrimaryMissingSince, mSettings.mLeaderlessTimeout + rankWait, aNow)) {
      mPrimaryMissingSince.reset();
      aActions.emplace_back(StartFailover{ FailoverReason::Leaderless, term });
    }
    return;
  }
  mPrimaryMissingSince.reset();
  if (term > view.mTerm || view.mPrimary.IsEmpty()) {
    const GroupView reportedView{ view.mGroup, term, primary };
    aActions.emplace_back(AnnounceView{ reportedView });
    aActions.emplace_back(RecordView{ reportedView });
    return;
  }
  CheckLeavingPrimary(aInput, aFresh, aNow, aActions);
}

void
GroupReconciler::CheckLeavingPrimary(const ReconcileInput& aInput,
                                     const FreshStatuses& aFresh,
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
      return !aMember.mLeaving && IsFollowing(aMember.mMember, view, aFresh);
    });
  if (!leaving || static_cast<std::size_t>(followers) < members.size() / 2 + 1) {
    mLeavingSince.reset();
    return;
  }
  const bool mayRetry =
    !mLastReplacementAt || aNow - *mLastReplacementAt >= mSettings.mReplaceInterval;
  if (mayRetry && IsDue(mLeavingSince, aInput.mRank * mSettings.mDelayPerRank, aNow)) {
    mLastReplacementAt = aNow;
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
  FollowState& state = mFollowStates[aStatus.mMember];
  const bool follows =
    aStatus.mRole == MemberRole::Replica && aStatus.mPrimary == view.mPrimary;
  const bool needed =
    aStatus.mTerm < view.mTerm || (aStatus.mTerm == view.mTerm && !follows);
  if (!needed || view.mPrimary.IsEmpty() || aStatus.mMember == view.mPrimary) {
    state.mNeededSince.reset();
    return;
  }
  if (!IsDue(state.mNeededSince, aInput.mRank * mSettings.mDelayPerRank, aNow)) {
    return;
  }
  // Act on each status only once.
  const bool isNew = !state.mLastSentAt || aStatus.mRequestedAt > *state.mLastSentAt;
  if (isNew &&
      (!state.mLastSentAt || aNow - *state.mLastSentAt >= mSettings.mFollowInterval)) {
    state.mLastSentAt = aNow;
    aActions.emplace_back(SendFollow{ aStatus.mMember, view.mTerm, view.mPrimary });
  }
}

} // namespace papayaspindle
