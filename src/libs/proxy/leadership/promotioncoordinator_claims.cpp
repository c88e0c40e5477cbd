#include "core/stablehash.h"
#include "proxy/leadership/promotioncoordinator.h"
#include "proxy/leadership/promotiontimes.h"

#include <algorithm>

namespace papayaspindle::proxy {

void
PromotionCoordinator::TrackStoreAvailability(GroupPromotion& aPromotion,
                                             const WriteResult& aResult,
                                             TimePoint aNow)
{
  if (!std::holds_alternative<StoreFailure>(aResult)) {
    aPromotion.mStoreUnavailableSince.reset();
  } else if (!aPromotion.mStoreUnavailableSince) {
    aPromotion.mStoreUnavailableSince = aNow;
  }
}

void
PromotionCoordinator::WriteClaim(const std::string& aGroup,
                                 GroupPromotion& aPromotion,
                                 LeadershipState aState,
                                 TimePoint aNow)
{
  const std::string key = LeadershipKey(aGroup);
  const SeenRow* seen = FindRow(key);
  LeadershipRow claim;
  if (seen != nullptr) {
    const auto current = DecodeLeadership(seen->mRow.mValue);
    if (!current) {
      mHooks.mLog(LogLevel::Error, "leadership_unreadable", { { "group", aGroup } });
      Abandon(aPromotion, kMinClaimInterval, aNow);
      return;
    }
    const bool isCalled = current->mState == LeadershipState::Calling ||
                          current->mState == LeadershipState::Claimed;
    claim.mLeader = isCalled ? current->mLeader : "-";
  }
  const std::uint64_t first = NewestToken(aGroup) + 1;
  claim.mToken = first + kReservedTokens;
  claim.mHolder = mInstance;
  claim.mMember = aPromotion.mReplaced.empty() ? "-" : aPromotion.mReplaced;
  claim.mState = aState;
  aPromotion.mAttempt++;
  const bool isPromotion = aState == LeadershipState::Claimed;
  if (isPromotion) {
    aPromotion.mRowSentAt = aNow;
  }
  if (isPromotion && NeedsTransfer(aGroup)) {
    aPromotion.mRowBeingWritten = claim;
  }
  mHooks.mLog(LogLevel::Info,
              isPromotion ? "promotion_claimed" : "tokens_reserved",
              { { "group", aGroup },
                { "reason", isPromotion ? aPromotion.mReason : "none" },
                { "replaces", claim.mMember },
                { "token", std::to_string(first) },
                { "last_token", std::to_string(claim.mToken) } });
  StoredRow row;
  row.mTable = kCoordinationTable;
  row.mKey = key;
  row.mValue = Encode(claim);
  row.mRevision = seen == nullptr ? 0 : seen->mRow.mRevision;
  row.mIncarnation = seen == nullptr ? mIncarnation : seen->mRow.mIncarnation;
  mStore.mWrite({ row },
                [this, aGroup, aState, claim, number = aPromotion.mAttempt](
                  const WriteResult& aResult) {
                  // Tokens of an abandoned claim are never used, so its answer is
                  // ignored.
                  if (mPromotions[aGroup].mAttempt == number) {
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
  GroupPromotion& promotion = mPromotions[aGroup];
  const TimePoint now = mHooks.mNow();
  TrackStoreAvailability(promotion, aResult, now);
  const auto* written = std::get_if<Written>(&aResult);
  if (written != nullptr && written->mIncarnation > mIncarnation) {
    // The store may lose the row again, or have lost it.
    OnIncarnation(written->mIncarnation, now);
    return;
  }
  if (written != nullptr) {
    promotion.mToken = aClaim.mToken - kReservedTokens;
    promotion.mLastToken = aClaim.mToken;
  }
  if (aState == LeadershipState::Reserved || promotion.mPhase != Phase::Claiming) {
    return;
  }
  if (written != nullptr) {
    promotion.mRowBeingWritten.reset();
    promotion.mPendingMember = aClaim.mLeader;
    promotion.mRowVersion = { written->mIncarnation, written->mRevision };
    promotion.mRowAt = now;
    if (NeedsTransfer(aGroup)) {
      StartTransfer(aGroup, promotion, now);
    } else {
      QueryCandidates(aGroup, now);
    }
  } else if (!NeedsTransfer(aGroup) && std::holds_alternative<StoreFailure>(aResult) &&
             HasReservedToken(aGroup, promotion)) {
    PromoteWithReservedToken(aGroup, promotion, promotion.mReason, now);
  } else {
    // Another instance was faster, or the claim may still be written. The feed delivers
    // the row before the next claim.
    Abandon(promotion, kAbandonBackoff, now);
  }
}

void
PromotionCoordinator::MonitorReservation(const std::string& aGroup,
                                         GroupPromotion& aPromotion,
                                         TimePoint aNow)
{
  if (HasReservedToken(aGroup, aPromotion) || aNow < aPromotion.mClaimAfter ||
      !mHooks.mIsStandby(aGroup, mInstance)) {
    aPromotion.mReservationAt.reset();
    return;
  }
  const SeenRow* seen = FindRow(LeadershipKey(aGroup));
  if (seen != nullptr) {
    const auto row = DecodeLeadership(seen->mRow.mValue);
    const bool isReservedElsewhere =
      row && row->mHolder != mInstance && mHooks.mIsStandby(aGroup, row->mHolder);
    if (isReservedElsewhere || aNow - seen->mSeenAt < kReservationDelay) {
      aPromotion.mReservationAt.reset();
      return;
    }
  }
  const auto jitter = std::chrono::milliseconds(
    StableHash({ mInstance, aGroup, "reservation" }) % kMaxReservationJitterMs);
  if (!aPromotion.mReservationAt) {
    aPromotion.mReservationAt = aNow + jitter;
  }
  if (aNow < *aPromotion.mReservationAt) {
    return;
  }
  aPromotion.mReservationAt.reset();
  aPromotion.mClaimAfter = aNow + kReservationDelay;
  aPromotion.mReplaced.clear();
  WriteClaim(aGroup, aPromotion, LeadershipState::Reserved, aNow);
}

std::uint64_t
PromotionCoordinator::NewestToken(const std::string& aGroup) const
{
  const auto row = LeadershipOf(aGroup);
  const std::uint64_t newest = row ? row->mToken : 0;
  const SeenRow* seen = FindRow(LeadershipKey(aGroup));
  if (mIncarnation == 0) {
    return newest;
  }
  // The store may have lost the rows with the newest tokens of earlier incarnations, and
  // a late write of an earlier one may have replaced a row of this one. Within an
  // incarnation, each claim replaces a row of a higher revision.
  const std::uint64_t revision =
    std::min(VersionOf(seen).mRevision, kMaxTokenRevision) * kTokensPerRevision;
  return std::max(newest, FirstTokenBound(mIncarnation) + revision);
}

bool
PromotionCoordinator::HasReservedToken(const std::string& aGroup,
                                       const GroupPromotion& aPromotion) const
{
  // Without a claim in the store, instances keep their leases on the old leader.
  if (NeedsTransfer(aGroup)) {
    return false;
  }
  const auto row = LeadershipOf(aGroup);
  // The feed may not have delivered this process's own claim yet.
  const bool isNewest = !row || row->mToken <= aPromotion.mLastToken;
  return aPromotion.mToken < aPromotion.mLastToken && isNewest;
}

void
PromotionCoordinator::PromoteWithReservedToken(const std::string& aGroup,
                                               GroupPromotion& aPromotion,
                                               const std::string& aReason,
                                               TimePoint aNow)
{
  aPromotion.mToken++;
  aPromotion.mAttempt++;
  mHooks.mLog(LogLevel::Warning,
              "promotion_without_store",
              { { "group", aGroup },
                { "reason", aReason },
                { "replaces", aPromotion.mReplaced },
                { "token", std::to_string(aPromotion.mToken) },
                { "last_token", std::to_string(aPromotion.mLastToken) } });
  QueryCandidates(aGroup, aNow);
}

} // namespace papayaspindle::proxy
