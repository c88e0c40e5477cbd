#include "proxy/leadership/promotioncoordinator.h"

#include "core/stablehash.h"
#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

PromotionCoordinator::PromotionCoordinator(std::string aInstance,
                                           LeadEndedBy aEndedBy,
                                           SharedStore aStore,
                                           PromotionHooks aHooks)
  : mInstance(std::move(aInstance))
  , mEndedBy(aEndedBy)
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
      // The age of rows that were there before this process is not known. The newest
      // change of leadership may be as young as the process.
      const bool mayBeYoung = NeedsTransfer() && GroupOfLeadership(row.mKey);
      seen.mSeenAt = mHasRows || mayBeYoung ? aNow : TimePoint();
      seen.mRow = row;
    }
  }
  mHasRows = true;
  AdoptOwnRows(aNow);
  ObjectToDoubts(aNow);
  mNextCheck = aNow;
}

const PromotionCoordinator::SeenRow*
PromotionCoordinator::Find(const std::string& aKey) const
{
  const auto found = mRows.find(aKey);
  return found == mRows.end() ? nullptr : &found->second;
}

std::optional<LeadershipRow>
PromotionCoordinator::Leadership(const std::string& aGroup) const
{
  const SeenRow* seen = Find(LeadershipKey(aGroup));
  return seen == nullptr ? std::nullopt : DecodeLeadership(seen->mRow.mValue);
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
    } else if (run.mTransfer) {
      OnTransferTimer(group, run, aNow);
    } else if (run.mPhase == Phase::Choosing && aNow >= run.mChoiceDeadline) {
      FinishChoice(group, run, aNow);
    }
    if (run.mPhase == Phase::Promoting && !run.mIsCalling && aNow >= run.mCallAt) {
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
  const bool isCutOff = mHooks.mIsCutOff();
  if (isCutOff) {
    // After the return, the directory and objections come first.
    aRun.mClaimAfter = std::max(aRun.mClaimAfter, aNow + kReturnPause);
  }
  const bool isGone = health.mMember.empty() || !health.mIsListed;
  const bool hasReason = isGone || health.mIsDraining || health.mDownSince;
  // Without a member to promote, before the rows are read, or on the smaller side of a
  // partition, nothing can be done.
  const bool canPromote = mHasRows && !isCutOff && !mHooks.mReplicas(aGroup).empty();
  if (canPromote && NeedsTransfer() && WatchLeftClaim(aGroup, aRun, aNow)) {
    return;
  }
  if (!hasReason || !canPromote) {
    aRun.mReasonSince.reset();
    if (canPromote) {
      WatchLag(aGroup, aRun, health, aNow);
      if (!NeedsTransfer()) {
        WatchReservation(aGroup, aRun, aNow);
      }
    }
    return;
  }
  aRun.mOverloadedSince.reset();
  aRun.mIsSwitchover = false;
  if (!aRun.mReasonSince) {
    aRun.mReasonSince = aNow;
  }
  if (aNow < aRun.mClaimAfter) {
    return;
  }
  if (IsPromotionRecent(aGroup, kClaimSpacing, aNow)) {
    return;
  }
  const Duration spread = ClaimSpread(aGroup);
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
  } else if (!NeedsTransfer() && aRun.mStoreAwaySince &&
             aNow - *aRun.mReasonSince >= kStoreAwayPatience &&
             HasReservedToken(aGroup, aRun)) {
    // Nobody's objections can be read, and nobody else can take a token.
    aRun.mReplaced = health.mMember;
    PromoteReserved(aGroup, aRun, "unreachable", aNow);
  }
}

bool
PromotionCoordinator::IsPromotionRecent(const std::string& aGroup,
                                        Duration aSpacing,
                                        TimePoint aNow) const
{
  const SeenRow* seen = Find(LeadershipKey(aGroup));
  if (seen == nullptr || aNow - seen->mSeenAt >= aSpacing) {
    return false;
  }
  const auto row = DecodeLeadership(seen->mRow.mValue);
  return !row || row->mState != LeadershipState::Reserved;
}

Duration
PromotionCoordinator::ClaimSpread(const std::string& aGroup) const
{
  return std::chrono::milliseconds(StableHash({ mInstance, aGroup }) % kClaimSpreadMs);
}

void
PromotionCoordinator::WatchLag(const std::string& aGroup,
                               GroupRun& aRun,
                               const PrimaryHealth& aHealth,
                               TimePoint aNow)
{
  if (!aHealth.mIsOverloadedByLag || !aHealth.mPosition) {
    aRun.mOverloadedSince.reset();
    return;
  }
  if (!aRun.mOverloadedSince) {
    aRun.mOverloadedSince = aNow;
  }
  if (IsPromotionRecent(aGroup, kSwitchoverSpacing, aNow) || aNow < aRun.mClaimAfter ||
      aNow - *aRun.mOverloadedSince < kSwitchoverPatience + ClaimSpread(aGroup)) {
    return;
  }
  aRun.mOverloadedSince.reset();
  aRun.mIsSwitchover = true;
  aRun.mMustHave = *aHealth.mPosition;
  aRun.mReplaced = aHealth.mMember;
  Claim(aGroup, aRun, "replicas_lag", aNow);
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
    GroupRun& run = mRuns[aGroup];
    NoteStore(run, aResult, mHooks.mNow());
    if (!std::holds_alternative<Written>(aResult)) {
      // Tried again with the row's revision from the feed.
      run.mOpinionAt = mHooks.mNow() - kOpinionLasts / 2 + kAbandonPause;
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
    // Another primary that is alive also shows that the doubted one needs no replacement.
    const bool isAlive = !health.mDownSince && aNow - health.mLastReply < kAliveEvidence;
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
  aRun.mPhase = Phase::Claiming;
  aRun.mReason = aReason;
  WriteClaim(aGroup, aRun, LeadershipState::Claimed, aNow);
}

} // namespace papayaspindle::proxy
