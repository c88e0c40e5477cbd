#include "core/stablehash.h"
#include "proxy/leadership/promotioncoordinator.h"
#include "proxy/leadership/promotiontimes.h"

namespace papayaspindle::proxy {

void
PromotionCoordinator::NoteStore(GroupRun& aRun,
                                const WriteResult& aResult,
                                TimePoint aNow)
{
  if (!std::holds_alternative<StoreFailure>(aResult)) {
    aRun.mStoreAwaySince.reset();
  } else if (!aRun.mStoreAwaySince) {
    aRun.mStoreAwaySince = aNow;
  }
}

void
PromotionCoordinator::WriteClaim(const std::string& aGroup,
                                 GroupRun& aRun,
                                 LeadershipState aState,
                                 TimePoint aNow)
{
  const std::string key = LeadershipKey(aGroup);
  const SeenRow* seen = Find(key);
  LeadershipRow claim;
  if (seen != nullptr) {
    const auto current = DecodeLeadership(seen->mRow.mValue);
    if (!current) {
      mHooks.mLog(LogLevel::Error, "leadership_unreadable", { { "group", aGroup } });
      Abandon(aRun, kClaimSpacing, aNow);
      return;
    }
    claim.mToken = current->mToken;
    const bool isCalled = current->mState == LeadershipState::Calling ||
                          current->mState == LeadershipState::Claimed;
    claim.mLeader = isCalled ? current->mLeader : "-";
  }
  const std::uint64_t first = claim.mToken + 1;
  claim.mToken = first + kReservedTokens;
  claim.mHolder = mInstance;
  claim.mMember = aRun.mReplaced.empty() ? "-" : aRun.mReplaced;
  claim.mState = aState;
  aRun.mRun++;
  const bool isPromotion = aState == LeadershipState::Claimed;
  if (isPromotion && NeedsTransfer()) {
    aRun.mAwaited = claim;
    aRun.mRowSentAt = aNow;
  }
  mHooks.mLog(LogLevel::Info,
              isPromotion ? "promotion_claimed" : "tokens_reserved",
              { { "group", aGroup },
                { "reason", isPromotion ? aRun.mReason : "none" },
                { "replaces", claim.mMember },
                { "token", std::to_string(first) },
                { "last_token", std::to_string(claim.mToken) } });
  StoredRow row;
  row.mTable = kCoordinationTable;
  row.mKey = key;
  row.mValue = Encode(claim);
  row.mRevision = seen == nullptr ? 0 : seen->mRow.mRevision;
  mStore.mWrite(
    { row },
    [this, aGroup, aState, claim, number = aRun.mRun](const WriteResult& aResult) {
      // An answer to an abandoned claim gives nothing: its tokens are never used.
      if (mRuns[aGroup].mRun == number) {
        OnClaimWritten(aGroup, aState, claim, aResult);
      }
    });
}

void
PromotionCoordinator::OnClaimWritten(const std::string& aGroup,
                                     LeadershipState aState,
                                     const LeadershipRow& aClaim,
                                     const WriteResult& aResult)
{
  GroupRun& run = mRuns[aGroup];
  const TimePoint now = mHooks.mNow();
  NoteStore(run, aResult, now);
  if (std::holds_alternative<Written>(aResult)) {
    run.mToken = aClaim.mToken - kReservedTokens;
    run.mLastToken = aClaim.mToken;
  }
  if (aState == LeadershipState::Reserved || run.mPhase != Phase::Claiming) {
    return;
  }
  if (const auto* written = std::get_if<Written>(&aResult)) {
    run.mAwaited.reset();
    run.mPending = aClaim.mLeader;
    run.mRowRevision = written->mRevision;
    run.mRowAt = now;
    if (NeedsTransfer()) {
      StartTransfer(aGroup, run, now);
    } else {
      Choose(aGroup, now);
    }
  } else if (!NeedsTransfer() && std::holds_alternative<StoreFailure>(aResult) &&
             HasReservedToken(aGroup, run)) {
    PromoteReserved(aGroup, run, run.mReason, now);
  } else {
    // Another instance was first, or the claim may still be written: the feed brings the
    // row before the next claim.
    Abandon(run, kAbandonPause, now);
  }
}

void
PromotionCoordinator::WatchReservation(const std::string& aGroup,
                                       GroupRun& aRun,
                                       TimePoint aNow)
{
  if (HasReservedToken(aGroup, aRun) || aNow < aRun.mClaimAfter ||
      !mHooks.mIsStandby(aGroup, mInstance)) {
    aRun.mReservationAt.reset();
    return;
  }
  const SeenRow* seen = Find(LeadershipKey(aGroup));
  if (seen != nullptr) {
    const auto row = DecodeLeadership(seen->mRow.mValue);
    const bool isHeld =
      row && row->mHolder != mInstance && mHooks.mIsStandby(aGroup, row->mHolder);
    if (isHeld || aNow - seen->mSeenAt < kReservationDelay) {
      aRun.mReservationAt.reset();
      return;
    }
  }
  const auto spread = std::chrono::milliseconds(
    StableHash({ mInstance, aGroup, "reservation" }) % kReservationSpreadMs);
  if (!aRun.mReservationAt) {
    aRun.mReservationAt = aNow + spread;
  }
  if (aNow < *aRun.mReservationAt) {
    return;
  }
  aRun.mReservationAt.reset();
  aRun.mClaimAfter = aNow + kReservationDelay;
  aRun.mReplaced.clear();
  WriteClaim(aGroup, aRun, LeadershipState::Reserved, aNow);
}

bool
PromotionCoordinator::HasReservedToken(const std::string& aGroup,
                                       const GroupRun& aRun) const
{
  const SeenRow* seen = Find(LeadershipKey(aGroup));
  const auto row = seen == nullptr ? std::nullopt : DecodeLeadership(seen->mRow.mValue);
  // The feed may not have brought this process's own claim yet.
  const bool isNewest = !row || row->mToken <= aRun.mLastToken;
  return aRun.mToken < aRun.mLastToken && isNewest;
}

void
PromotionCoordinator::PromoteReserved(const std::string& aGroup,
                                      GroupRun& aRun,
                                      const std::string& aReason,
                                      TimePoint aNow)
{
  aRun.mToken++;
  aRun.mRun++;
  mHooks.mLog(LogLevel::Warning,
              "promotion_without_store",
              { { "group", aGroup },
                { "reason", aReason },
                { "replaces", aRun.mReplaced },
                { "token", std::to_string(aRun.mToken) },
                { "last_token", std::to_string(aRun.mLastToken) } });
  Choose(aGroup, aNow);
}

} // namespace papayaspindle::proxy
