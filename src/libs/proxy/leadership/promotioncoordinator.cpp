#include "proxy/leadership/promotioncoordinator.h"

#include "core/stablehash.h"
#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

PromotionCoordinator::PromotionCoordinator(std::string aInstance,
                                           LeadershipEnforcer aEnforcer,
                                           SharedStore aStore,
                                           PromotionHooks aHooks)
  : mInstance(std::move(aInstance))
  , mEnforcer(aEnforcer)
  , mStore(std::move(aStore))
  , mHooks(std::move(aHooks))
{
}

void
PromotionCoordinator::OnIncarnation(std::uint64_t aIncarnation, TimePoint aNow)
{
  if (aIncarnation <= mIncarnation) {
    return;
  }
  mIncarnation = aIncarnation;
  for (const auto& [key, seen] : mRows) {
    if (const auto group = GroupOfReplicaRoster(key)) {
      mPromotions[std::string(*group)].mEarlierRosters.insert(seen.mRow.mValue);
    }
  }
  mRows.clear();
  mHasRows = false;
  for (auto& [group, promotion] : mPromotions) {
    if (promotion.mPhase != Phase::Monitoring) {
      mHooks.mLog(LogLevel::Warning,
                  "promotion_ended_by_store",
                  { { "group", group },
                    { "token", std::to_string(promotion.mToken) },
                    { "incarnation", std::to_string(aIncarnation) } });
    }
    // Members that the attempt has paused are found once the rows are known again
    // (CheckPauses). Its answers are ignored from now on, also those of a reservation.
    const TimePoint claimAfter = promotion.mClaimAfter;
    Abandon(promotion, kAbandonBackoff, aNow);
    promotion.mClaimAfter = std::max(promotion.mClaimAfter, claimAfter);
    promotion.mToken = 0;
    promotion.mLastToken = 0;
    promotion.mRowVersion = {};
    promotion.mRowBeingWritten.reset();
    promotion.mEndsPauses = false;
    promotion.mPauseCheck = PauseCheck();
    promotion.mRosterWriteAt = {};
    promotion.mEarlierRostersUntil = aNow + kDepartedMemberRetention;
    promotion.mReservationAt.reset();
    // The rows no longer have this instance's report.
    promotion.mReportedAt = {};
    promotion.mHasReportedSuspicion = false;
  }
  mNextCheck = aNow;
}

void
PromotionCoordinator::OnRows(std::span<const StoredRow> aRows,
                             TimePoint aNow,
                             const ReceivedAtHook& aReceivedAt)
{
  for (const StoredRow& row : aRows) {
    OnIncarnation(row.mIncarnation, aNow);
  }
  for (const StoredRow& row : aRows) {
    if (row.mIncarnation < mIncarnation) {
      continue;
    }
    SeenRow& seen = mRows[row.mKey];
    if (seen.mRow.Version() != row.Version()) {
      seen.mSeenAt = aNow;
      const auto group = GroupOfLeadership(row.mKey);
      if (!mHasRows && group && NeedsTransfer(std::string(*group))) {
        // Where a claim relies on pauses, a leadership row of unknown age is treated as
        // new, because it may have been written just before.
        seen.mSeenAt = aReceivedAt ? aReceivedAt(row.mKey).value_or(aNow) : aNow;
      } else if (!mHasRows) {
        seen.mSeenAt = {};
      }
      seen.mRow = row;
    }
  }
  mHasRows = true;
  ConfirmOwnWrites(aNow);
  RefuteSuspicions(aNow);
  mNextCheck = aNow;
}

const PromotionCoordinator::SeenRow*
PromotionCoordinator::FindRow(const std::string& aKey) const
{
  const auto found = mRows.find(aKey);
  return found == mRows.end() ? nullptr : &found->second;
}

std::optional<LeadershipRow>
PromotionCoordinator::LeadershipOf(const std::string& aGroup) const
{
  const SeenRow* seen = FindRow(LeadershipKey(aGroup));
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
    GroupPromotion& promotion = mPromotions[group];
    if (mHooks.mSynchronousReplicas(group) > 0 && mHasRows) {
      UpdateRoster(group, promotion, aNow);
    }
    if (promotion.mPhase == Phase::Monitoring) {
      MonitorPrimary(group, promotion, aNow);
    } else if (promotion.mTransfer) {
      OnTransferTimer(group, promotion, aNow);
    } else if (promotion.mPhase == Phase::Choosing && aNow >= promotion.mReplyDeadline) {
      ChooseMember(group, promotion, aNow);
    }
    if (promotion.mPhase == Phase::Promoting && !promotion.mIsCalling &&
        aNow >= promotion.mNextCallAt) {
      CallPlatform(group, promotion, aNow);
    }
    isActive =
      isActive || promotion.mPhase != Phase::Monitoring || promotion.mReasonSince;
  }
  mNextCheck = aNow + (isActive ? kActiveCheckInterval : kIdleCheckInterval);
}

void
PromotionCoordinator::MonitorPrimary(const std::string& aGroup,
                                     GroupPromotion& aPromotion,
                                     TimePoint aNow)
{
  const PrimaryHealth health = mHooks.mPrimaryHealth(aGroup, aNow);
  const bool isCutOff = mHooks.mIsCutOff();
  if (isCutOff) {
    // After a partition, the directory and refutations have to be received before a
    // claim.
    aPromotion.mClaimAfter =
      std::max(aPromotion.mClaimAfter, aNow + kPartitionRecoveryDelay);
  }
  const bool isGone = health.mMember.empty() || !health.mIsListed;
  const bool hasReason = isGone || health.mIsDraining || health.mDownSince;
  // A promotion requires the coordination rows and a replica, and must not be started on
  // the smaller side of a partition.
  const bool canPromote = mHasRows && !isCutOff && !mHooks.mReplicas(aGroup).empty();
  if (canPromote && NeedsTransfer(aGroup) &&
      RecoverAbandonedClaim(aGroup, aPromotion, aNow)) {
    return;
  }
  if (!hasReason) {
    CheckPauses(aGroup, aPromotion, aNow);
  }
  if (!hasReason || !canPromote) {
    aPromotion.mReasonSince.reset();
    if (canPromote) {
      MonitorReplicaLag(aGroup, aPromotion, health, aNow);
      if (!NeedsTransfer(aGroup)) {
        MonitorReservation(aGroup, aPromotion, aNow);
      }
    }
    return;
  }
  aPromotion.mOverloadedSince.reset();
  aPromotion.mIsSwitchover = false;
  if (!aPromotion.mReasonSince) {
    aPromotion.mReasonSince = aNow;
  }
  if (aNow < aPromotion.mClaimAfter) {
    return;
  }
  if (IsPromotionRecent(aGroup, kMinClaimInterval, aNow)) {
    return;
  }
  const Duration jitter = ClaimJitter(aGroup);
  if (isGone || health.mIsDraining) {
    const Duration delay = health.mIsDraining ? Duration::zero() : kUnlistedPrimaryDelay;
    if (aNow - *aPromotion.mReasonSince >= delay + jitter) {
      aPromotion.mReplaced = health.mMember;
      ClaimPromotion(aGroup, aPromotion, health.mIsDraining ? "draining" : "gone", aNow);
    }
    return;
  }
  if (aNow - aPromotion.mReportedAt > kSuspicionReportLifetime / 2 ||
      !aPromotion.mHasReportedSuspicion) {
    WriteSuspicionReport(aGroup, aPromotion, health.mMember, false, aNow);
  }
  if (aNow - *aPromotion.mReasonSince >= jitter &&
      IsConfirmedDown(aGroup, aPromotion, health, aNow)) {
    aPromotion.mReplaced = health.mMember;
    ClaimPromotion(aGroup, aPromotion, "unreachable", aNow);
  } else if (!NeedsTransfer(aGroup) && aPromotion.mStoreUnavailableSince &&
             aNow - *aPromotion.mReasonSince >= kStoreUnavailableDelay &&
             HasReservedToken(aGroup, aPromotion)) {
    // While the store is unavailable, no refutation can be read and no other instance can
    // take a token.
    aPromotion.mReplaced = health.mMember;
    PromoteWithReservedToken(aGroup, aPromotion, "unreachable", aNow);
  }
}

bool
PromotionCoordinator::IsPromotionRecent(const std::string& aGroup,
                                        Duration aInterval,
                                        TimePoint aNow) const
{
  const SeenRow* seen = FindRow(LeadershipKey(aGroup));
  if (seen == nullptr || aNow - seen->mSeenAt >= aInterval) {
    return false;
  }
  const auto row = DecodeLeadership(seen->mRow.mValue);
  return !row || row->mState != LeadershipState::Reserved;
}

Duration
PromotionCoordinator::ClaimJitter(const std::string& aGroup) const
{
  return std::chrono::milliseconds(StableHash({ mInstance, aGroup }) % kMaxClaimJitterMs);
}

void
PromotionCoordinator::MonitorReplicaLag(const std::string& aGroup,
                                        GroupPromotion& aPromotion,
                                        const PrimaryHealth& aHealth,
                                        TimePoint aNow)
{
  if (!aHealth.mIsOverloadedByLag || !aHealth.mPosition) {
    aPromotion.mOverloadedSince.reset();
    return;
  }
  if (!aPromotion.mOverloadedSince) {
    aPromotion.mOverloadedSince = aNow;
  }
  if (IsPromotionRecent(aGroup, kMinSwitchoverInterval, aNow) ||
      aNow < aPromotion.mClaimAfter ||
      aNow - *aPromotion.mOverloadedSince < kMinOverloadTime + ClaimJitter(aGroup)) {
    return;
  }
  aPromotion.mOverloadedSince.reset();
  aPromotion.mIsSwitchover = true;
  aPromotion.mRequiredPosition = *aHealth.mPosition;
  aPromotion.mReplaced = aHealth.mMember;
  ClaimPromotion(aGroup, aPromotion, "replicas_lag", aNow);
}

bool
PromotionCoordinator::IsConfirmedDown(const std::string& aGroup,
                                      const GroupPromotion& aPromotion,
                                      const PrimaryHealth& aHealth,
                                      TimePoint aNow) const
{
  std::size_t suspicions = 0;
  std::size_t refutations = 0;
  Duration reportedFor{};
  for (const auto& [key, seen] : mRows) {
    if (GroupOfSuspicionReport(key) != aGroup ||
        aNow - seen.mSeenAt > kSuspicionReportLifetime) {
      continue;
    }
    const auto report = DecodeSuspicionReport(seen.mRow.mValue);
    if (!report || report->mMember != aHealth.mMember) {
      continue;
    }
    (report->mIsAlive ? refutations : suspicions)++;
    // The time for refutations starts when this instance reads its own report back: from
    // then on, the other instances can read the report as well.
    if (!report->mIsAlive && key == SuspicionReportKey(aGroup, mInstance)) {
      reportedFor = aNow - std::max(seen.mSeenAt, *aPromotion.mReasonSince);
    }
  }
  if (reportedFor < kRefutationTime || suspicions <= refutations) {
    return false;
  }
  return suspicions > 1 || reportedFor >= kSoleReporterRefutationTime;
}

void
PromotionCoordinator::WriteSuspicionReport(const std::string& aGroup,
                                           GroupPromotion& aPromotion,
                                           const std::string& aMember,
                                           bool aIsAlive,
                                           TimePoint aNow)
{
  aPromotion.mReportedAt = aNow;
  aPromotion.mHasReportedSuspicion = !aIsAlive;
  const std::string key = SuspicionReportKey(aGroup, mInstance);
  const SeenRow* seen = FindRow(key);
  StoredRow row;
  row.mTable = kCoordinationTable;
  row.mKey = key;
  row.mValue = Encode(SuspicionReport{ aMember, aIsAlive });
  row.mRevision = seen == nullptr ? 0 : seen->mRow.mRevision;
  row.mIncarnation = seen == nullptr ? mIncarnation : seen->mRow.mIncarnation;
  mHooks.mLog(LogLevel::Info,
              aIsAlive ? "primary_vouched_for" : "primary_doubted",
              { { "group", aGroup }, { "member", aMember } });
  mStore.mWrite({ row }, [this, aGroup](const WriteResult& aResult) {
    GroupPromotion& promotion = mPromotions[aGroup];
    TrackStoreAvailability(promotion, aResult, mHooks.mNow());
    if (!std::holds_alternative<Written>(aResult)) {
      // The write is repeated with the revision of the row that the feed delivers.
      promotion.mReportedAt =
        mHooks.mNow() - kSuspicionReportLifetime / 2 + kAbandonBackoff;
    }
  });
}

void
PromotionCoordinator::RefuteSuspicions(TimePoint aNow)
{
  for (const auto& [key, seen] : mRows) {
    const auto group = GroupOfSuspicionReport(key);
    if (!group || aNow - seen.mSeenAt > kSuspicionReportLifetime) {
      continue;
    }
    const auto report = DecodeSuspicionReport(seen.mRow.mValue);
    if (!report || report->mIsAlive) {
      continue;
    }
    const std::string name(*group);
    const PrimaryHealth health = mHooks.mPrimaryHealth(name, aNow);
    GroupPromotion& promotion = mPromotions[name];
    // If another member is a healthy primary by now, the suspected one needs no
    // replacement either.
    const bool isAlive =
      !health.mDownSince && aNow - health.mLastReply < kMaxRefutingReplyAge;
    if (isAlive && (promotion.mHasReportedSuspicion ||
                    aNow - promotion.mReportedAt > kSuspicionReportLifetime / 2)) {
      WriteSuspicionReport(name, promotion, report->mMember, true, aNow);
    }
  }
}

void
PromotionCoordinator::ClaimPromotion(const std::string& aGroup,
                                     GroupPromotion& aPromotion,
                                     const std::string& aReason,
                                     TimePoint aNow)
{
  aPromotion.mPhase = Phase::Claiming;
  aPromotion.mReason = aReason;
  WriteClaim(aGroup, aPromotion, LeadershipState::Claimed, aNow);
}

} // namespace papayaspindle::proxy
