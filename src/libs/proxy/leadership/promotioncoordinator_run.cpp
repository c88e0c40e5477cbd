#include "proxy/leadership/promotioncoordinator.h"

#include "proxy/leadership/leaserenewal.h"
#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

std::vector<TransferFollower>
PromotionCoordinator::FollowersOf(const std::string& aGroup,
                                  const GroupPromotion& aPromotion,
                                  TimePoint aNow) const
{
  const bool isSynchronous = mHooks.mSynchronousReplicas(aGroup) > 0;
  const std::vector<MemberEntry> members =
    NeedsTransfer(aGroup) ? mHooks.mMembers(aGroup) : mHooks.mReplicas(aGroup);
  const auto replaced =
    std::find_if(members.begin(), members.end(), [&](const MemberEntry& aMember) {
      return aMember.mId == aPromotion.mReplaced;
    });
  // Instances may also hold leases on the member that an unanswered call may promote.
  const bool isLeaderKnown =
    replaced != members.end() && aPromotion.mPendingMember == "-";
  std::vector<TransferFollower> followers;
  for (const MemberEntry& member : members) {
    if (member.mId == aPromotion.mReplaced) {
      continue;
    }
    const auto refused = aPromotion.mRefused.find(member.mId);
    TransferFollower follower;
    follower.mMember = member.mId;
    follower.mRenewsLeases =
      !isLeaderKnown || RenewsLeases(member.mZone, replaced->mZone);
    follower.mMayLead = refused == aPromotion.mRefused.end() || refused->second <= aNow;
    follower.mIsDraining = member.mDraining;
    follower.mStartedAtMs = member.mStartedAtMs;
    followers.push_back(std::move(follower));
  }
  if (isSynchronous) {
    for (const std::string& member : aPromotion.mRoster.Departed(members)) {
      if (member != aPromotion.mReplaced) {
        followers.push_back({ member, false, false, false });
      }
    }
  }
  return followers;
}

void
PromotionCoordinator::QueryCandidates(const std::string& aGroup, TimePoint aNow)
{
  GroupPromotion& promotion = mPromotions[aGroup];
  promotion.mPhase = Phase::Choosing;
  promotion.mCandidates.clear();
  promotion.mMayHaveCalled = false;
  promotion.mReplyDeadline = aNow + kCandidateReplyTimeout;
  for (const TransferFollower& follower : FollowersOf(aGroup, promotion, aNow)) {
    if (follower.mMayLead && !follower.mIsDraining) {
      promotion.mCandidates.push_back({ follower.mMember, std::nullopt, false });
    }
  }
  if (promotion.mCandidates.empty()) {
    mHooks.mLog(LogLevel::Warning, "no_replica_to_promote", { { "group", aGroup } });
    Abandon(promotion, kAbandonBackoff, aNow);
    return;
  }
  std::vector<std::string> members;
  for (const Candidate& candidate : promotion.mCandidates) {
    members.push_back(candidate.mMember);
  }
  for (const std::string& member : members) {
    const auto onReply = [this, aGroup, number = promotion.mAttempt, member](
                           const std::optional<MemberReply>& aReply) {
      GroupPromotion& current = mPromotions[aGroup];
      if (current.mAttempt != number || current.mPhase != Phase::Choosing) {
        return;
      }
      bool isComplete = true;
      for (Candidate& other : current.mCandidates) {
        if (other.mMember == member) {
          other.mIsAnswered = true;
          other.mStatus = aReply ? aReply->mStatus : std::nullopt;
        }
        isComplete = isComplete && other.mIsAnswered;
      }
      if (isComplete) {
        ChooseMember(aGroup, current, mHooks.mNow());
      }
    };
    mHooks.mSendCommand(
      member, { .mKind = CommandKind::Status }, kCandidateReplyTimeout, aNow, onReply);
  }
}

void
PromotionCoordinator::ChooseMember(const std::string& aGroup,
                                   GroupPromotion& aPromotion,
                                   TimePoint aNow)
{
  std::vector<CandidateReport> reports;
  std::size_t answers = 0;
  for (const TransferFollower& follower : FollowersOf(aGroup, aPromotion, aNow)) {
    CandidateReport report;
    report.mMember = follower.mMember;
    report.mMayLead = follower.mMayLead;
    report.mIsDraining = follower.mIsDraining;
    for (const Candidate& candidate : aPromotion.mCandidates) {
      if (candidate.mMember == follower.mMember && candidate.mStatus) {
        report.mReceived = candidate.mStatus->mReceived;
        report.mTerm = candidate.mStatus->mTerm;
        report.mPausedTerm = candidate.mStatus->mPausedTerm;
        answers++;
      }
    }
    reports.push_back(std::move(report));
  }
  const auto chosen = ChooseCandidate(reports, 0);
  if (!chosen) {
    mHooks.mLog(LogLevel::Warning,
                "too_few_replicas_answered",
                { { "group", aGroup }, { "answers", std::to_string(answers) } });
    Abandon(aPromotion, kAbandonBackoff, aNow);
    return;
  }
  const auto best = std::find_if(
    aPromotion.mCandidates.begin(),
    aPromotion.mCandidates.end(),
    [&](const Candidate& aCandidate) { return aCandidate.mMember == *chosen; });
  if (aPromotion.mIsSwitchover && !IsSwitchoverUseful(aGroup, aPromotion, *best, aNow)) {
    return;
  }
  aPromotion.mTarget = best->mMember;
  mHooks.mLog(LogLevel::Info,
              "promotion_chosen",
              { { "group", aGroup },
                { "member", aPromotion.mTarget },
                { "received", ToString(best->mStatus->mReceived) },
                { "answers", std::to_string(answers) },
                { "token", std::to_string(aPromotion.mToken) } });
  aPromotion.mPhase = Phase::Promoting;
  aPromotion.mCalls = 0;
  CallPlatform(aGroup, aPromotion, aNow);
}

bool
PromotionCoordinator::IsSwitchoverUseful(const std::string& aGroup,
                                         GroupPromotion& aPromotion,
                                         const Candidate& aBest,
                                         TimePoint aNow)
{
  Duration leastLag = Duration::max();
  for (const Candidate& candidate : aPromotion.mCandidates) {
    if (candidate.mStatus) {
      leastLag = std::min(leastLag, candidate.mStatus->mLag);
    }
  }
  // Promoting a replica that lacks commits of the healthy primary would roll them back.
  const bool receivesAll = aBest.mStatus->mReceived >= aPromotion.mRequiredPosition;
  if (receivesAll && leastLag >= kMinSwitchoverLag) {
    return true;
  }
  mHooks.mLog(
    LogLevel::Info,
    "switchover_given_up",
    { { "group", aGroup },
      { "received", ToString(aBest.mStatus->mReceived) },
      { "needed", ToString(aPromotion.mRequiredPosition) },
      { "lag_ms",
        std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(leastLag).count()) } });
  Abandon(aPromotion, receivesAll ? kSwitchoverRetryDelay : kMinSwitchoverInterval, aNow);
  return false;
}

void
PromotionCoordinator::CallPlatform(const std::string& aGroup,
                                   GroupPromotion& aPromotion,
                                   TimePoint aNow)
{
  if (IsSuperseded(aGroup, aPromotion)) {
    mHooks.mLog(LogLevel::Info, "promotion_superseded", { { "group", aGroup } });
    Abandon(aPromotion, kAbandonBackoff, aNow);
    return;
  }
  // Another instance may claim the promotion soon, and its calls must come after all
  // calls of this claim.
  const bool isWindowOver =
    aPromotion.mTransfer && aNow - aPromotion.mRowSentAt > kCallWindow;
  // The configuration has added synchronous replicas to the group during the attempt.
  const bool isUnprotected = !aPromotion.mTransfer && NeedsTransfer(aGroup);
  if (isWindowOver || isUnprotected) {
    Abandon(aPromotion, kAbandonBackoff, aNow);
    return;
  }
  aPromotion.mIsCalling = true;
  aPromotion.mMayHaveCalled = true;
  aPromotion.mCalls++;
  mStore.mPromote({ aGroup, aPromotion.mTarget, mInstance, aPromotion.mToken },
                  [this, aGroup, number = aPromotion.mAttempt](PromotionAnswer aAnswer) {
                    OnCallAnswer(aGroup, number, aAnswer);
                  });
}

void
PromotionCoordinator::OnCallAnswer(const std::string& aGroup,
                                   std::uint64_t aAttempt,
                                   PromotionAnswer aAnswer)
{
  GroupPromotion& promotion = mPromotions[aGroup];
  const TimePoint now = mHooks.mNow();
  if (promotion.mAttempt != aAttempt || promotion.mPhase != Phase::Promoting) {
    return;
  }
  promotion.mIsCalling = false;
  mHooks.mLog(LogLevel::Info,
              "promotion_answered",
              { { "group", aGroup },
                { "member", promotion.mTarget },
                { "token", std::to_string(promotion.mToken) },
                { "answer", std::to_string(static_cast<int>(aAnswer)) } });
  if (aAnswer == PromotionAnswer::Accepted) {
    mHooks.mOnPromotionAccepted(aGroup, promotion.mTarget, now);
    // The promotion itself resumes replication on the paused replicas.
    const bool wasTransferred = promotion.mTransfer.has_value();
    promotion.mTransfer.reset();
    if (wasTransferred) {
      LeadershipRow settled;
      settled.mToken = promotion.mLastToken;
      settled.mHolder = mInstance;
      settled.mMember = promotion.mReplaced.empty() ? "-" : promotion.mReplaced;
      settled.mState = LeadershipState::Settled;
      settled.mLeader = promotion.mTarget;
      promotion.mEndsPauses = promotion.mIsTargetLeading;
      WriteLeadership(aGroup, promotion, settled, now);
    } else if (promotion.mIsSwitchover) {
      DemoteOldPrimary(aGroup, promotion, now);
    }
    Abandon(promotion, kMinClaimInterval, now);
  } else if (aAnswer == PromotionAnswer::Refused) {
    promotion.mRefused[promotion.mTarget] = now + kRefusedMemberExclusion;
    promotion.mMayHaveCalled = false;
    promotion.mNeedsLeader = promotion.mTransfer.has_value();
    // Another instance may have used a newer token, in which case the platform would
    // refuse the reserved tokens as well.
    promotion.mLastToken = promotion.mToken;
    Abandon(promotion, kAbandonBackoff, now);
  } else if (promotion.mCalls < kMaxCalls) {
    promotion.mNextCallAt = now + kCallRetryDelay;
    mNextCheck = std::min(mNextCheck, promotion.mNextCallAt);
  } else {
    Abandon(promotion, kAbandonBackoff, now);
  }
}

void
PromotionCoordinator::DemoteOldPrimary(const std::string& aGroup,
                                       const GroupPromotion& aPromotion,
                                       TimePoint aNow)
{
  MemberCommand demote;
  demote.mKind = CommandKind::Demote;
  demote.mTerm = mHooks.mNewestTerm(aGroup) + 1;
  mHooks.mSendCommand(aPromotion.mReplaced,
                      demote,
                      kCandidateReplyTimeout,
                      aNow,
                      [this, aGroup, member = aPromotion.mReplaced](
                        const std::optional<MemberReply>& aReply) {
                        // If the primary isn't demoted, the last commits before the
                        // switchover may be lost.
                        mHooks.mLog(LogLevel::Info,
                                    "primary_demoted",
                                    { { "group", aGroup },
                                      { "member", member },
                                      { "answered", aReply ? "yes" : "no" } });
                      });
}

bool
PromotionCoordinator::IsSuperseded(const std::string& aGroup,
                                   const GroupPromotion& aPromotion) const
{
  const auto row = LeadershipOf(aGroup);
  return row && row->mToken > aPromotion.mLastToken;
}

void
PromotionCoordinator::Abandon(GroupPromotion& aPromotion,
                              Duration aClaimDelay,
                              TimePoint aNow)
{
  CancelTransfer(aPromotion);
  aPromotion.mPhase = Phase::Monitoring;
  aPromotion.mIsCalling = false;
  aPromotion.mNextCallAt = TimePoint::max();
  aPromotion.mAttempt++;
  aPromotion.mClaimAfter = aNow + aClaimDelay;
  aPromotion.mReasonSince.reset();
}

} // namespace papayaspindle::proxy
