#include "proxy/leadership/leadershiptransfer.h"
#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

std::vector<TransferCommand>
LeadershipTransfer::EvaluateSwitchover(TimePoint aNow)
{
  if (!HaveAllFollowersReplied() && aNow - mStepStartedAt < kCandidateReplyTimeout) {
    return {};
  }
  Duration leastLag = Duration::max();
  std::optional<LogPosition> mostReceived;
  for (const auto& [member, follower] : mFollowers) {
    if (!follower.mStatus) {
      continue;
    }
    leastLag = std::min(leastLag, follower.mStatus->mLag);
    if (follower.mDescription.mMayLead && !follower.mDescription.mIsDraining) {
      mostReceived =
        std::max(mostReceived.value_or(LogPosition()), follower.mStatus->mReceived);
    }
  }
  // A replica that catches up soon helps as much as a switchover, and the promotion of a
  // replica that lacks commits would roll them back.
  if (!mostReceived || *mostReceived < mRequest.mRequiredPosition ||
      leastLag < kMinSwitchoverLag) {
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

bool
LeadershipTransfer::IsOldLeadershipOver(TimePoint aNow) const
{
  const std::string& pending = mRequest.mPendingMember;
  if (!pending.empty() && !mRequest.mIsPlatformEnforcing &&
      !mFollowers.at(pending).mStatus && aNow - mRequest.mClaimedAt < kLateCallWindow) {
    return false;
  }
  TimePoint pausedSince = mRequest.mClaimedAt;
  bool areAllPaused = true;
  for (const auto& [member, follower] : mFollowers) {
    // With synchronous replicas, a member is only dropped from the list when its proofs
    // have expired.
    const bool isDropped = IsSynchronous() && !follower.mIsListed;
    if (member == mRequest.mReplaced || isDropped ||
        !follower.mDescription.mRenewsLeases) {
      continue;
    }
    areAllPaused = areAllPaused && follower.mPausedAt;
    pausedSince = std::max(pausedSince, follower.mPausedAt.value_or(pausedSince));
  }
  // A leader that has stepped down serves no instance, so there is no need to wait for
  // leases to expire.
  if (mIsDemoted) {
    return areAllPaused || aNow - mStepStartedAt >= kCandidateReplyTimeout;
  }
  return (areAllPaused && aNow - pausedSince > kLeaderLease) ||
         aNow - mRequest.mClaimedAt >
           FollowerProofLimit(mRequest.mSynchronousReplicas) + kStoreContactError;
}

void
LeadershipTransfer::EvaluateReports(TimePoint aNow)
{
  if (!ChooseTarget() && aNow - mRequest.mClaimedAt >
                           kFollowerProofLimit + kStoreContactError + kTransferTimeout) {
    mOutcome = Outcome::Failed;
  }
}

bool
LeadershipTransfer::HavePausedFollowersReported() const
{
  return std::all_of(mFollowers.begin(), mFollowers.end(), [](const auto& aFollower) {
    return !aFollower.second.mPausedAt || aFollower.second.mFinalPosition;
  });
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
  std::vector<CandidateReport> reports;
  for (auto follower = mFollowers.begin(); follower != mFollowers.end(); ++follower) {
    const auto& [member, state] = *follower;
    const TransferFollower& described = state.mDescription;
    const bool follows = state.mStatus && state.mStatus->mRole == MemberRole::Replica;
    const bool mayLead = described.mMayLead && !described.mIsDraining;
    // Where the platform checks tokens, another member may be promoted in place of the
    // pending one.
    const bool isPreferred =
      !follows || (mayLead && !(mRequest.mIsPlatformEnforcing && IsSynchronous()));
    if (member == mRequest.mPendingMember && state.mStatus && isPreferred) {
      return follower;
    }
    if (member == mRequest.mReplaced || !state.mIsListed) {
      continue;
    }
    // A member that still leads an older term would answer as the new leader immediately,
    // with data from before its promotion.
    CandidateReport report;
    report.mMember = member;
    report.mMayLead = described.mMayLead;
    report.mIsDraining = described.mIsDraining;
    if (follows) {
      report.mTerm = state.mStatus->mTerm;
      report.mPausedTerm = state.mStatus->mPausedTerm;
      report.mReceived =
        IsSynchronous() ? state.mFinalPosition : std::optional(state.mStatus->mReceived);
    }
    // A member with all commits of a leader that has stepped down needs no comparison.
    if (IsSynchronous() && mIsDemoted && mayLead && report.mReceived &&
        *report.mReceived >= mFinalPosition) {
      return follower;
    }
    reports.push_back(std::move(report));
  }
  const auto chosen = ChooseCandidate(reports, mRequest.mSynchronousReplicas);
  return chosen ? mFollowers.find(*chosen) : mFollowers.end();
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

bool
LeadershipTransfer::IsTargetLeading() const
{
  const auto target = mFollowers.find(mTarget);
  return target != mFollowers.end() && target->second.mStatus &&
         target->second.mStatus->mRole == MemberRole::Primary;
}

std::size_t
LeadershipTransfer::Reports() const
{
  return static_cast<std::size_t>(
    std::count_if(mFollowers.begin(), mFollowers.end(), [this](const auto& aFollower) {
      const auto& [member, state] = aFollower;
      const bool hasReported =
        IsSynchronous() ? state.mFinalPosition.has_value() : state.mStatus.has_value();
      return member != mRequest.mReplaced && state.mIsListed && hasReported;
    }));
}

std::size_t
LeadershipTransfer::NeededReports() const
{
  const auto members =
    std::count_if(mFollowers.begin(), mFollowers.end(), [this](const auto& aFollower) {
      return aFollower.first != mRequest.mReplaced && aFollower.second.mIsListed;
    });
  return IsSynchronous() ? RequiredReports(static_cast<std::size_t>(members),
                                           mRequest.mSynchronousReplicas)
                         : 1;
}

LogPosition
LeadershipTransfer::TargetPosition() const
{
  const auto target = mFollowers.find(mTarget);
  return target == mFollowers.end() || !target->second.mStatus
           ? LogPosition()
           : target->second.mStatus->mReceived;
}

} // namespace papayaspindle::proxy
