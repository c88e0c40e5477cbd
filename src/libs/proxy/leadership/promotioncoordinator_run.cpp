#include "proxy/leadership/promotioncoordinator.h"

#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

void
PromotionCoordinator::Choose(const std::string& aGroup, TimePoint aNow)
{
  GroupRun& run = mRuns[aGroup];
  run.mPhase = Phase::Choosing;
  run.mCandidates.clear();
  const bool mustBeSafe = mHooks.mSynchronousReplicas(aGroup) > 0;
  run.mChoiceDeadline = aNow + (mustBeSafe ? kSafeChoiceTime : kChoiceTime);
  for (const MemberEntry& replica : mHooks.mReplicas(aGroup)) {
    const auto refused = run.mRefused.find(replica.mId);
    const bool isRefused = refused != run.mRefused.end() && refused->second > aNow;
    if (!replica.mDraining && !isRefused) {
      run.mCandidates.push_back({ replica.mId, std::nullopt, false });
    }
  }
  if (run.mCandidates.empty()) {
    mHooks.mLog(LogLevel::Warning, "no_replica_to_promote", { { "group", aGroup } });
    Abandon(run, kAbandonPause, aNow);
    return;
  }
  MemberCommand command;
  // Where commits wait for a replica, what a paused replica lacks can't be acknowledged.
  command.mKind = mustBeSafe ? CommandKind::Pause : CommandKind::Status;
  command.mTerm = mustBeSafe ? mHooks.mNewestTerm(aGroup) + 1 : 0;
  run.mHasPaused = mustBeSafe;
  const std::vector<Candidate> asked = run.mCandidates;
  for (const Candidate& candidate : asked) {
    mHooks.mQueryStatus(candidate.mMember,
                        command,
                        run.mChoiceDeadline - aNow,
                        aNow,
                        [this, aGroup, number = run.mRun, member = candidate.mMember](
                          const std::optional<MemberReply>& aReply) {
                          GroupRun& current = mRuns[aGroup];
                          if (current.mRun != number ||
                              current.mPhase != Phase::Choosing) {
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
                            FinishChoice(aGroup, current, mHooks.mNow());
                          }
                        });
  }
}

void
PromotionCoordinator::FinishChoice(const std::string& aGroup,
                                   GroupRun& aRun,
                                   TimePoint aNow)
{
  const Candidate* best = nullptr;
  std::size_t answers = 0;
  for (const Candidate& candidate : aRun.mCandidates) {
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
  // Any so many replicas include one that received each acknowledged commit.
  const std::size_t needed =
    synchronous == 0 ? 1 : replicas - std::min<std::size_t>(synchronous, replicas) + 1;
  if (best == nullptr || answers < needed) {
    mHooks.mLog(LogLevel::Warning,
                "too_few_replicas_answered",
                { { "group", aGroup },
                  { "answers", std::to_string(answers) },
                  { "needed", std::to_string(needed) } });
    Abandon(aRun, kAbandonPause, aNow);
    return;
  }
  if (aRun.mIsSwitchover && !IsSwitchoverUseful(aGroup, aRun, *best, aNow)) {
    return;
  }
  aRun.mTarget = best->mMember;
  mHooks.mLog(LogLevel::Info,
              "promotion_chosen",
              { { "group", aGroup },
                { "member", aRun.mTarget },
                { "received", ToString(best->mStatus->mReceived) },
                { "answers", std::to_string(answers) },
                { "token", std::to_string(aRun.mToken) } });
  aRun.mPhase = Phase::Promoting;
  aRun.mCalls = 0;
  Call(aGroup, aRun, aNow);
}

bool
PromotionCoordinator::IsSwitchoverUseful(const std::string& aGroup,
                                         GroupRun& aRun,
                                         const Candidate& aBest,
                                         TimePoint aNow)
{
  Duration leastLag = Duration::max();
  for (const Candidate& candidate : aRun.mCandidates) {
    if (candidate.mStatus) {
      leastLag = std::min(leastLag, candidate.mStatus->mLag);
    }
  }
  // A replica that receives too little would roll commits of the living primary back.
  const bool receivesAll = aBest.mStatus->mReceived >= aRun.mMustHave;
  if (receivesAll && leastLag >= kSwitchoverLag) {
    return true;
  }
  mHooks.mLog(
    LogLevel::Info,
    "switchover_given_up",
    { { "group", aGroup },
      { "received", ToString(aBest.mStatus->mReceived) },
      { "needed", ToString(aRun.mMustHave) },
      { "lag_ms",
        std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(leastLag).count()) } });
  Abandon(aRun, receivesAll ? kSwitchoverPause : kSwitchoverSpacing, aNow);
  return false;
}

void
PromotionCoordinator::Call(const std::string& aGroup, GroupRun& aRun, TimePoint aNow)
{
  const SeenRow* seen = Find(LeadershipKey(aGroup));
  const auto current =
    seen == nullptr ? std::nullopt : DecodeLeadership(seen->mRow.mValue);
  if (current && current->mToken > aRun.mLastToken) {
    mHooks.mLog(LogLevel::Info,
                "promotion_superseded",
                { { "group", aGroup }, { "holder", current->mHolder } });
    Abandon(aRun, kAbandonPause, aNow);
    return;
  }
  if (NeedsTransfer() && aNow - aRun.mRowSentAt > kCallValidity) {
    // Another instance may claim soon, and its call must come after all of these.
    Abandon(aRun, kAbandonPause, aNow);
    return;
  }
  aRun.mIsCalling = true;
  aRun.mMayHaveCalled = true;
  aRun.mCalls++;
  mStore.mPromote({ aGroup, aRun.mTarget, mInstance, aRun.mToken },
                  [this, aGroup, number = aRun.mRun](PromotionAnswer aAnswer) {
                    OnCallAnswer(aGroup, number, aAnswer);
                  });
}

void
PromotionCoordinator::OnCallAnswer(const std::string& aGroup,
                                   std::uint64_t aRun,
                                   PromotionAnswer aAnswer)
{
  GroupRun& run = mRuns[aGroup];
  const TimePoint now = mHooks.mNow();
  if (run.mRun != aRun || run.mPhase != Phase::Promoting) {
    return;
  }
  run.mIsCalling = false;
  mHooks.mLog(LogLevel::Info,
              "promotion_answered",
              { { "group", aGroup },
                { "member", run.mTarget },
                { "token", std::to_string(run.mToken) },
                { "answer", std::to_string(static_cast<int>(aAnswer)) } });
  if (aAnswer == PromotionAnswer::Accepted) {
    mHooks.mExpect(aGroup, run.mTarget, now);
    // The promotion itself resumes the replicas.
    run.mHasPaused = false;
    run.mTransfer.reset();
    if (NeedsTransfer()) {
      LeadershipRow settled;
      settled.mToken = run.mLastToken;
      settled.mHolder = mInstance;
      settled.mMember = run.mReplaced.empty() ? "-" : run.mReplaced;
      settled.mState = LeadershipState::Settled;
      settled.mLeader = run.mTarget;
      WriteLeadership(aGroup, run, settled, now);
    } else if (run.mIsSwitchover) {
      DemoteReplaced(aGroup, run, now);
    }
    Abandon(run, kClaimSpacing, now);
  } else if (aAnswer == PromotionAnswer::Refused) {
    run.mRefused[run.mTarget] = now + kRefusedPause;
    run.mMayHaveCalled = false;
    run.mNeedsLeader = NeedsTransfer();
    // Another instance may have used a newer token; the reserve would be refused, too.
    run.mLastToken = run.mToken;
    Abandon(run, kAbandonPause, now);
  } else if (run.mCalls < kMaxCalls) {
    run.mCallAt = now + kCallPause;
    mNextCheck = std::min(mNextCheck, run.mCallAt);
  } else {
    Abandon(run, kAbandonPause, now);
  }
}

void
PromotionCoordinator::DemoteReplaced(const std::string& aGroup,
                                     const GroupRun& aRun,
                                     TimePoint aNow)
{
  MemberCommand demote;
  demote.mKind = CommandKind::Demote;
  demote.mTerm = mHooks.mNewestTerm(aGroup) + 1;
  mHooks.mQueryStatus(
    aRun.mReplaced,
    demote,
    kChoiceTime,
    aNow,
    [this, aGroup, member = aRun.mReplaced](const std::optional<MemberReply>& aReply) {
      // Without it, the last commits before the change may be lost.
      mHooks.mLog(LogLevel::Info,
                  "primary_demoted",
                  { { "group", aGroup },
                    { "member", member },
                    { "answered", aReply ? "yes" : "no" } });
    });
}

void
PromotionCoordinator::ResumeCandidates(GroupRun& aRun, TimePoint aNow)
{
  if (!std::exchange(aRun.mHasPaused, false)) {
    return;
  }
  MemberCommand resume;
  resume.mKind = CommandKind::Resume;
  for (const Candidate& candidate : aRun.mCandidates) {
    // A replica that misses it is resumed by the next promotion or its restart.
    mHooks.mQueryStatus(candidate.mMember,
                        resume,
                        kChoiceTime,
                        aNow,
                        [](const std::optional<MemberReply>&) {});
  }
}

void
PromotionCoordinator::Abandon(GroupRun& aRun, Duration aPause, TimePoint aNow)
{
  ResumeCandidates(aRun, aNow);
  GiveUpTransfer(aRun, aNow);
  aRun.mPhase = Phase::Watching;
  aRun.mIsCalling = false;
  aRun.mCallAt = TimePoint::max();
  aRun.mRun++;
  aRun.mClaimAfter = aNow + aPause;
  aRun.mReasonSince.reset();
}

} // namespace papayaspindle::proxy
