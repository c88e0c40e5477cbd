#include "proxy/promotioncoordinator.h"

#include "core/stablehash.h"
#include "proxy/proxytimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

/** Interval of the checks while nothing is wrong, and during a promotion. */
constexpr Duration kWatchInterval = 100ms;
constexpr Duration kActiveInterval = 20ms;

/** A primary that leaves or is gone from the directory may be a passing state of it. */
constexpr Duration kGonePatience = 300ms;
/** Time for other instances to object to a doubt: two calls to the store and a feed. */
constexpr Duration kObjectionTime = 200ms;
/** The same when no other instance shares the doubt. */
constexpr Duration kLonelyObjectionTime = 900ms;
/** An opinion counts this long, and is renewed in half of it. */
constexpr Duration kOpinionLasts = 3s;
/** An instance that had an answer from the primary within this time objects to doubts. */
constexpr Duration kAliveEvidence = 400ms;

/** After a claim by any instance, no other one follows for this long: the promotion needs
 * about a second. */
constexpr Duration kClaimSpacing = 2500ms;
/** Instances wait up to this long, each another time, so that mostly one claims. */
constexpr std::uint64_t kClaimSpreadMs = 60;

/** Time for the replicas to say what they received. */
constexpr Duration kChoiceTime = 300ms;
/** The same where acknowledged commits must not be missed. */
constexpr Duration kSafeChoiceTime = 2s;
/** Pause before a promotion call without an answer is repeated with its token. */
constexpr Duration kCallPause = 100ms;
constexpr std::uint32_t kMaxCalls = 6;
/** A member that refused a promotion is left out for this long. */
constexpr Duration kRefusedPause = 1500ms;
constexpr Duration kAbandonPause = 300ms;

} // namespace

PromotionCoordinator::PromotionCoordinator(std::string aInstance,
                                           SharedStore aStore,
                                           PromotionHooks aHooks)
  : mInstance(std::move(aInstance))
  , mStore(std::move(aStore))
  , mHooks(std::move(aHooks))
{
}

void
PromotionCoordinator::OnRows(std::span<const StoredRow> aRows, TimePoint aNow)
{
  for (const StoredRow& row : aRows) {
    SeenRow& seen = mRows[row.mKey];
    if (seen.mRow.mRevision != row.mRevision) {
      // The age of rows that were there before this process is not known.
      seen.mSeenAt = mHasRows ? aNow : TimePoint();
      seen.mRow = row;
    }
  }
  mHasRows = true;
  ObjectToDoubts(aNow);
  mNextCheck = aNow;
}

const PromotionCoordinator::SeenRow*
PromotionCoordinator::Find(const std::string& aKey) const
{
  const auto found = mRows.find(aKey);
  return found == mRows.end() ? nullptr : &found->second;
}

void
PromotionCoordinator::OnTimer(TimePoint aNow)
{
  if (aNow < mNextCheck) {
    return;
  }
  bool isActive = false;
  for (const std::string& group : mHooks.mGroups()) {
    GroupRun& run = mRuns[group];
    if (run.mPhase == Phase::Watching) {
      Watch(group, run, aNow);
    } else if (run.mPhase == Phase::Choosing && aNow >= run.mChoiceDeadline) {
      FinishChoice(group, run, aNow);
    } else if (run.mPhase == Phase::Promoting && !run.mIsCalling && aNow >= run.mCallAt) {
      Call(group, run, aNow);
    }
    isActive = isActive || run.mPhase != Phase::Watching || run.mReasonSince;
  }
  mNextCheck = aNow + (isActive ? kActiveInterval : kWatchInterval);
}

void
PromotionCoordinator::Watch(const std::string& aGroup, GroupRun& aRun, TimePoint aNow)
{
  const PrimaryHealth health = mHooks.mPrimary(aGroup, aNow);
  const bool isGone = health.mMember.empty() || !health.mIsListed;
  const bool hasReason = isGone || health.mIsDraining || health.mDownSince;
  // Without a member to promote, or before the rows are read, nothing can be done.
  if (!hasReason || !mHasRows || mHooks.mReplicas(aGroup).empty()) {
    aRun.mReasonSince.reset();
    return;
  }
  if (!aRun.mReasonSince) {
    aRun.mReasonSince = aNow;
  }
  if (aNow < aRun.mClaimAfter) {
    return;
  }
  const SeenRow* leadership = Find(LeadershipKey(aGroup));
  if (leadership != nullptr && aNow - leadership->mSeenAt < kClaimSpacing) {
    return;
  }
  const Duration spread =
    std::chrono::milliseconds(StableHash({ mInstance, aGroup }) % kClaimSpreadMs);
  if (isGone || health.mIsDraining) {
    const Duration patience = health.mIsDraining ? Duration::zero() : kGonePatience;
    if (aNow - *aRun.mReasonSince >= patience + spread) {
      aRun.mReplaced = health.mMember;
      Claim(aGroup, aRun, health.mIsDraining ? "draining" : "gone", aNow);
    }
    return;
  }
  if (aNow - aRun.mOpinionAt > kOpinionLasts / 2 || !aRun.mHasDoubted) {
    WriteOpinion(aGroup, aRun, health.mMember, false, aNow);
  }
  if (aNow - *aRun.mReasonSince >= spread &&
      IsConfirmedDown(aGroup, aRun, health, aNow)) {
    aRun.mReplaced = health.mMember;
    Claim(aGroup, aRun, "unreachable", aNow);
  }
}

bool
PromotionCoordinator::IsConfirmedDown(const std::string& aGroup,
                                      const GroupRun& aRun,
                                      const PrimaryHealth& aHealth,
                                      TimePoint aNow) const
{
  std::size_t doubts = 0;
  std::size_t objections = 0;
  Duration doubted{};
  for (const auto& [key, seen] : mRows) {
    if (GroupOfOpinion(key) != aGroup || aNow - seen.mSeenAt > kOpinionLasts) {
      continue;
    }
    const auto opinion = DecodeOpinion(seen.mRow.mValue);
    if (!opinion || opinion->mMember != aHealth.mMember) {
      continue;
    }
    (opinion->mIsAlive ? objections : doubts)++;
    // Reading its own doubt back shows that others can have read it, too.
    if (!opinion->mIsAlive && key == OpinionKey(aGroup, mInstance)) {
      doubted = aNow - std::max(seen.mSeenAt, *aRun.mReasonSince);
    }
  }
  if (doubted < kObjectionTime || doubts <= objections) {
    return false;
  }
  return doubts > 1 || doubted >= kLonelyObjectionTime;
}

void
PromotionCoordinator::WriteOpinion(const std::string& aGroup,
                                   GroupRun& aRun,
                                   const std::string& aMember,
                                   bool aIsAlive,
                                   TimePoint aNow)
{
  aRun.mOpinionAt = aNow;
  aRun.mHasDoubted = !aIsAlive;
  const std::string key = OpinionKey(aGroup, mInstance);
  const SeenRow* seen = Find(key);
  StoredRow row;
  row.mTable = kCoordinationTable;
  row.mKey = key;
  row.mValue = Encode(PrimaryOpinion{ aMember, aIsAlive });
  row.mRevision = seen == nullptr ? 0 : seen->mRow.mRevision;
  mHooks.mLog(LogLevel::Info,
              aIsAlive ? "primary_vouched_for" : "primary_doubted",
              { { "group", aGroup }, { "member", aMember } });
  mStore.mWrite({ row }, [this, aGroup](const WriteResult& aResult) {
    if (!std::holds_alternative<Written>(aResult)) {
      // Tried again with the row's revision from the feed.
      mRuns[aGroup].mOpinionAt = mHooks.mNow() - kOpinionLasts / 2 + kAbandonPause;
    }
  });
}

void
PromotionCoordinator::ObjectToDoubts(TimePoint aNow)
{
  for (const auto& [key, seen] : mRows) {
    const auto group = GroupOfOpinion(key);
    if (!group || aNow - seen.mSeenAt > kOpinionLasts) {
      continue;
    }
    const auto opinion = DecodeOpinion(seen.mRow.mValue);
    if (!opinion || opinion->mIsAlive) {
      continue;
    }
    const std::string name(*group);
    const PrimaryHealth health = mHooks.mPrimary(name, aNow);
    GroupRun& run = mRuns[name];
    const bool isAlive = health.mMember == opinion->mMember && !health.mDownSince &&
                         aNow - health.mLastReply < kAliveEvidence;
    if (isAlive && (run.mHasDoubted || aNow - run.mOpinionAt > kOpinionLasts / 2)) {
      WriteOpinion(name, run, opinion->mMember, true, aNow);
    }
  }
}

void
PromotionCoordinator::Claim(const std::string& aGroup,
                            GroupRun& aRun,
                            const std::string& aReason,
                            TimePoint aNow)
{
  const std::string key = LeadershipKey(aGroup);
  const SeenRow* seen = Find(key);
  LeadershipRow claim;
  if (seen != nullptr) {
    const auto current = DecodeLeadership(seen->mRow.mValue);
    if (!current) {
      mHooks.mLog(LogLevel::Error, "leadership_unreadable", { { "group", aGroup } });
      aRun.mClaimAfter = aNow + kClaimSpacing;
      return;
    }
    claim.mToken = current->mToken;
  }
  claim.mToken++;
  claim.mHolder = mInstance;
  claim.mMember = aRun.mReplaced.empty() ? "-" : aRun.mReplaced;
  aRun.mPhase = Phase::Claiming;
  aRun.mRun++;
  aRun.mToken = claim.mToken;
  mHooks.mLog(LogLevel::Info,
              "promotion_claimed",
              { { "group", aGroup },
                { "reason", aReason },
                { "replaces", claim.mMember },
                { "token", std::to_string(claim.mToken) } });
  StoredRow row;
  row.mTable = kCoordinationTable;
  row.mKey = key;
  row.mValue = Encode(claim);
  row.mRevision = seen == nullptr ? 0 : seen->mRow.mRevision;
  mStore.mWrite({ row }, [this, aGroup, number = aRun.mRun](const WriteResult& aResult) {
    GroupRun& run = mRuns[aGroup];
    const TimePoint now = mHooks.mNow();
    if (run.mRun != number || run.mPhase != Phase::Claiming) {
      return;
    }
    if (!std::holds_alternative<Written>(aResult)) {
      // Another instance was first, or the claim may still be written: its token is
      // never used, as the feed brings the row before the next claim.
      Abandon(run, kAbandonPause, now);
      return;
    }
    Choose(aGroup, now);
  });
}

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

void
PromotionCoordinator::Call(const std::string& aGroup, GroupRun& aRun, TimePoint aNow)
{
  const SeenRow* seen = Find(LeadershipKey(aGroup));
  const auto current =
    seen == nullptr ? std::nullopt : DecodeLeadership(seen->mRow.mValue);
  if (current && current->mToken > aRun.mToken) {
    mHooks.mLog(LogLevel::Info,
                "promotion_superseded",
                { { "group", aGroup }, { "holder", current->mHolder } });
    Abandon(aRun, kAbandonPause, aNow);
    return;
  }
  aRun.mIsCalling = true;
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
    Abandon(run, kClaimSpacing, now);
  } else if (aAnswer == PromotionAnswer::Refused) {
    run.mRefused[run.mTarget] = now + kRefusedPause;
    Abandon(run, kAbandonPause, now);
  } else if (run.mCalls < kMaxCalls) {
    run.mCallAt = now + kCallPause;
    mNextCheck = std::min(mNextCheck, run.mCallAt);
  } else {
    Abandon(run, kAbandonPause, now);
  }
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
  aRun.mPhase = Phase::Watching;
  aRun.mIsCalling = false;
  aRun.mRun++;
  aRun.mClaimAfter = aNow + aPause;
  aRun.mReasonSince.reset();
}

} // namespace papayaspindle::proxy
