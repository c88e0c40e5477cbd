#include "proxy/leadership/promotioncoordinator.h"

#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

void
PromotionCoordinator::QueryCandidates(const std::string& aGroup, TimePoint aNow)
{
  GroupPromotion& promotion = mPromotions[aGroup];
  promotion.mPhase = Phase::Choosing;
  promotion.mCandidates.clear();
  const bool mustBeSafe = mHooks.mSynchronousReplicas(aGroup) > 0;
  promotion.mReplyDeadline =
    aNow + (mustBeSafe ? kSynchronousReplyTimeout : kCandidateReplyTimeout);
  for (const MemberEntry& replica : mHooks.mReplicas(aGroup)) {
    const auto refused = promotion.mRefused.find(replica.mId);
    const bool isRefused = refused != promotion.mRefused.end() && refused->second > aNow;
    if (!replica.mDraining && !isRefused) {
      promotion.mCandidates.push_back({ replica.mId, std::nullopt, false });
    }
  }
  if (promotion.mCandidates.empty()) {
    mHooks.mLog(LogLevel::Warning, "no_replica_to_promote", { { "group", aGroup } });
    Abandon(promotion, kAbandonBackoff, aNow);
    return;
  }
  MemberCommand command;
  // With synchronous replicas, commits that the paused replicas have not received can't
  // be acknowledged any more.
  command.mKind = mustBeSafe ? CommandKind::Pause : CommandKind::Status;
  command.mTerm = mustBeSafe ? mHooks.mNewestTerm(aGroup) + 1 : 0;
  promotion.mHasPausedCandidates = mustBeSafe;
  const std::vector<Candidate> candidates = promotion.mCandidates;
  for (const Candidate& candidate : candidates) {
    mHooks.mSendCommand(
      candidate.mMember,
      command,
      promotion.mReplyDeadline - aNow,
      aNow,
      [this, aGroup, number = promotion.mAttempt, member = candidate.mMember](
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
          ChooseCandidate(aGroup, current, mHooks.mNow());
        }
      });
  }
}

void
PromotionCoordinator::ChooseCandidate(const std::string& aGroup,
                                      GroupPromotion& aPromotion,
                                      TimePoint aNow)
{
  const Candidate* best = nullptr;
  std::size_t answers = 0;
  for (const Candidate& candidate : aPromotion.mCandidates) {
    if (!candidate.mStatus) {
      continue;
    }
    answers++;
    if (best == nullptr || candidate.mStatus->mReceived > best->mStatus->mReceived) {
      best = &candidate;
    }
  }
  const std::size_t replicas = mHooks.mReplicas(aGroup).size();
  const std::uint32_t synchronous = mHooks.mSynchronousReplicas(aGroup);
  // Any set of this many replicas includes one that has all acknowledged commits.
  const std::size_t needed =
    synchronous == 0 ? 1 : replicas - std::min<std::size_t>(synchronous, replicas) + 1;
  if (best == nullptr || answers < needed) {
    mHooks.mLog(LogLevel::Warning,
                "too_few_replicas_answered",
                { { "group", aGroup },
                  { "answers", std::to_string(answers) },
                  { "needed", std::to_string(needed) } });
    Abandon(aPromotion, kAbandonBackoff, aNow);
    return;
  }
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
  const SeenRow* seen = FindRow(LeadershipKey(aGroup));
  const auto current =
    seen == nullptr ? std::nullopt : DecodeLeadership(seen->mRow.mValue);
  if (current && current->mToken > aPromotion.mLastToken) {
    mHooks.mLog(LogLevel::Info,
                "promotion_superseded",
                { { "group", aGroup }, { "holder", current->mHolder } });
    Abandon(aPromotion, kAbandonBackoff, aNow);
    return;
  }
  if (NeedsTransfer() && aNow - aPromotion.mRowSentAt > kCallWindow) {
    // Another instance may claim the promotion soon, and its calls must come after all
    // calls of this claim.
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
    promotion.mHasPausedCandidates = false;
    promotion.mTransfer.reset();
    if (NeedsTransfer()) {
      LeadershipRow settled;
      settled.mToken = promotion.mLastToken;
      settled.mHolder = mInstance;
      settled.mMember = promotion.mReplaced.empty() ? "-" : promotion.mReplaced;
      settled.mState = LeadershipState::Settled;
      settled.mLeader = promotion.mTarget;
      WriteLeadership(aGroup, promotion, settled, now);
    } else if (promotion.mIsSwitchover) {
      DemoteOldPrimary(aGroup, promotion, now);
    }
    Abandon(promotion, kMinClaimInterval, now);
  } else if (aAnswer == PromotionAnswer::Refused) {
    promotion.mRefused[promotion.mTarget] = now + kRefusedMemberExclusion;
    promotion.mMayHaveCalled = false;
    promotion.mNeedsLeader = NeedsTransfer();
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

void
PromotionCoordinator::ResumeCandidates(GroupPromotion& aPromotion, TimePoint aNow)
{
  if (!std::exchange(aPromotion.mHasPausedCandidates, false)) {
    return;
  }
  MemberCommand resume;
  resume.mKind = CommandKind::Resume;
  for (const Candidate& candidate : aPromotion.mCandidates) {
    // A replica that doesn't receive the command is resumed by the next promotion or when
    // it restarts.
    mHooks.mSendCommand(candidate.mMember,
                        resume,
                        kCandidateReplyTimeout,
                        aNow,
                        [](const std::optional<MemberReply>&) {});
  }
}

void
PromotionCoordinator::Abandon(GroupPromotion& aPromotion,
                              Duration aClaimDelay,
                              TimePoint aNow)
{
  ResumeCandidates(aPromotion, aNow);
  CancelTransfer(aPromotion, aNow);
  aPromotion.mPhase = Phase::Monitoring;
  aPromotion.mIsCalling = false;
  aPromotion.mNextCallAt = TimePoint::max();
  aPromotion.mAttempt++;
  aPromotion.mClaimAfter = aNow + aClaimDelay;
  aPromotion.mReasonSince.reset();
}

} // namespace papayaspindle::proxy
