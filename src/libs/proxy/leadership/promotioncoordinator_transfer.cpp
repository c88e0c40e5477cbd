#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/promotioncoordinator.h"
#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

bool
PromotionCoordinator::RecoverAbandonedClaim(const std::string& aGroup,
                                            GroupPromotion& aPromotion,
                                            TimePoint aNow)
{
  const SeenRow* seen = FindRow(LeadershipKey(aGroup));
  const auto row = LeadershipOf(aGroup);
  if (!row || aPromotion.mRowBeingWritten) {
    return false;
  }
  const bool isOwn = row->mHolder == mInstance;
  const bool isRefused =
    isOwn && row->mState == LeadershipState::Calling && aPromotion.mNeedsLeader;
  // While a claim stands, no instance holds a lease on a leader, so an abandoned claim
  // has to be resolved.
  if (row->mState != LeadershipState::Claimed && !isRefused) {
    return false;
  }
  // No attempt is in progress here, so an own claim has ended or was written late.
  const Duration delay =
    isOwn ? Duration::zero() : kMinClaimInterval + ClaimJitter(aGroup);
  const TimePoint waitsUntil =
    isOwn && !aPromotion.mNeedsLeader ? aPromotion.mRowRetryAt : aPromotion.mClaimAfter;
  if (aNow < waitsUntil || aNow - seen->mSeenAt < delay) {
    return true;
  }
  const PrimaryHealth health = mHooks.mPrimaryHealth(aGroup, aNow);
  const std::string returned = std::exchange(aPromotion.mReturnedLeader, {});
  // The directory may not show yet that a member which has returned leads.
  const bool isShown = returned.empty() || returned == health.mMember;
  const bool hasReason = isShown && (health.mMember.empty() || !health.mIsListed ||
                                     health.mIsDraining || health.mDownSince);
  const bool isPlatformEnforcing = mEnforcer == LeadershipEnforcer::Platform;
  if (!returned.empty()) {
    aPromotion.mReplaced = returned;
  } else if (isPlatformEnforcing && !health.mMember.empty()) {
    // A member that leads there is the newest leader: the replaced one, possibly under
    // another id, or one that a claim without a transfer has promoted.
    aPromotion.mReplaced = health.mMember;
  } else {
    // Leases on a member whose promotion was refused have to expire like those on any
    // other.
    const std::string& replaced = isRefused ? row->mLeader : row->mMember;
    aPromotion.mReplaced = replaced == "-" ? std::string() : replaced;
  }
  const bool needsLeader = aPromotion.mNeedsLeader && !isPlatformEnforcing;
  if (row->mLeader != "-" || aPromotion.mReplaced.empty() || needsLeader || hasReason ||
      std::exchange(aPromotion.mIsLeaderLost, false)) {
    // A call of an earlier claim may still take effect, and is repeated until it is
    // answered; or the member still has to be replaced, so that a withdrawal would only
    // delay the next claim.
    aPromotion.mIsSwitchover = false;
    ClaimPromotion(aGroup, aPromotion, "claim_left", aNow);
    return true;
  }
  // No statement is sent to the primary during a claim, and a process that has just
  // started has not received any reply from it.
  if (!aPromotion.mLeaderConfirmedAt ||
      aNow - *aPromotion.mLeaderConfirmedAt > kMaxRefutingReplyAge) {
    ConfirmLeader(aGroup, aPromotion, aNow);
    return true;
  }
  mHooks.mLog(LogLevel::Info,
              "claim_withdrawn",
              { { "group", aGroup },
                { "holder", row->mHolder },
                { "member", aPromotion.mReplaced } });
  LeadershipRow settled = *row;
  // The holder of the abandoned claim must not mistake this row for its own.
  settled.mHolder = mInstance;
  settled.mState = LeadershipState::Settled;
  settled.mLeader = aPromotion.mReplaced;
  aPromotion.mRowVersion = seen->mRow.Version();
  aPromotion.mEndsPauses = true;
  WriteLeadership(aGroup, aPromotion, settled, aNow);
  return true;
}

void
PromotionCoordinator::ConfirmLeader(const std::string& aGroup,
                                    GroupPromotion& aPromotion,
                                    TimePoint aNow)
{
  if (std::exchange(aPromotion.mIsConfirmingLeader, true)) {
    return;
  }
  mHooks.mSendCommand(aPromotion.mReplaced,
                      { .mKind = CommandKind::Status },
                      kDemoteTimeout,
                      aNow,
                      [this, aGroup](const std::optional<MemberReply>& aReply) {
                        GroupPromotion& promotion = mPromotions[aGroup];
                        promotion.mIsConfirmingLeader = false;
                        promotion.mIsLeaderLost =
                          !aReply || !aReply->mStatus ||
                          aReply->mStatus->mRole != MemberRole::Primary;
                        if (!promotion.mIsLeaderLost) {
                          promotion.mLeaderConfirmedAt = mHooks.mNow();
                        }
                        mNextCheck = mHooks.mNow();
                      });
}

void
PromotionCoordinator::StartTransfer(const std::string& aGroup,
                                    GroupPromotion& aPromotion,
                                    TimePoint aNow)
{
  const PrimaryHealth health = mHooks.mPrimaryHealth(aGroup, aNow);
  TransferRequest request;
  request.mReplaced = aPromotion.mReplaced;
  request.mIsReplacedReachable =
    health.mMember == aPromotion.mReplaced && health.mIsListed && !health.mDownSince;
  request.mIsSwitchover = aPromotion.mIsSwitchover;
  request.mRequiredPosition = aPromotion.mRequiredPosition;
  request.mNextTerm = mHooks.mNewestTerm(aGroup) + 1;
  request.mClaimedAt = aNow;
  request.mPendingMember =
    aPromotion.mPendingMember == "-" ? std::string() : aPromotion.mPendingMember;
  request.mIsPlatformEnforcing = mEnforcer == LeadershipEnforcer::Platform;
  request.mFollowers = FollowersOf(aGroup, aPromotion, aNow);
  request.mSynchronousReplicas = mHooks.mSynchronousReplicas(aGroup);
  const bool isSynchronous = request.mSynchronousReplicas > 0;
  const bool hasCandidate = std::any_of(
    request.mFollowers.begin(), request.mFollowers.end(), [&](const auto& aFollower) {
      return aFollower.mMayLead && (isSynchronous || !aFollower.mIsDraining);
    });
  if (!hasCandidate) {
    mHooks.mLog(LogLevel::Warning, "no_replica_to_promote", { { "group", aGroup } });
    Abandon(aPromotion, kAbandonBackoff, aNow);
    // RecoverAbandonedClaim doesn't wait for the next claim of this instance.
    aPromotion.mRowRetryAt = aPromotion.mClaimAfter;
    return;
  }
  aPromotion.mPhase = Phase::Choosing;
  aPromotion.mMayHaveCalled = false;
  aPromotion.mNeedsLeader = false;
  aPromotion.mIsLeaderLost = false;
  aPromotion.mTransfer.emplace(std::move(request));
  SendCommands(aGroup, aPromotion, aPromotion.mTransfer->Start(aNow), aNow);
  OnTransferProgress(aGroup, aPromotion, aNow);
}

void
PromotionCoordinator::SendCommands(const std::string& aGroup,
                                   GroupPromotion& aPromotion,
                                   const std::vector<TransferCommand>& aCommands,
                                   TimePoint aNow)
{
  for (const TransferCommand& command : aCommands) {
    mHooks.mSendCommand(command.mMember,
                        command.mCommand,
                        kDemoteTimeout,
                        aNow,
                        [this, aGroup, command, number = aPromotion.mAttempt](
                          const std::optional<MemberReply>& aReply) {
                          GroupPromotion& promotion = mPromotions[aGroup];
                          if (promotion.mAttempt != number || !promotion.mTransfer) {
                            return;
                          }
                          const TimePoint now = mHooks.mNow();
                          SendCommands(
                            aGroup,
                            promotion,
                            promotion.mTransfer->OnReply(
                              command.mMember, command.mCommand.mKind, aReply, now),
                            now);
                          OnTransferProgress(aGroup, promotion, now);
                        });
  }
}

void
PromotionCoordinator::OnTransferProgress(const std::string& aGroup,
                                         GroupPromotion& aPromotion,
                                         TimePoint aNow)
{
  if (!aPromotion.mTransfer || aPromotion.mPhase != Phase::Choosing) {
    return;
  }
  const auto outcome = aPromotion.mTransfer->State();
  if (outcome == LeadershipTransfer::Outcome::Pending) {
    return;
  }
  if (outcome != LeadershipTransfer::Outcome::Ready) {
    const bool isNotUseful = outcome == LeadershipTransfer::Outcome::NotUseful;
    const bool isReturned = outcome == LeadershipTransfer::Outcome::LeaderReturned;
    mHooks.mLog(LogLevel::Warning,
                isNotUseful  ? "switchover_given_up"
                : isReturned ? "replaced_primary_returned"
                             : "too_few_replicas_answered",
                { { "group", aGroup },
                  { "answers", std::to_string(aPromotion.mTransfer->Reports()) },
                  { "needed", std::to_string(aPromotion.mTransfer->NeededReports()) } });
    if (isReturned) {
      aPromotion.mReturnedLeader = aPromotion.mTransfer->ReturnedLeader();
      aPromotion.mLeaderConfirmedAt = aNow;
      aPromotion.mIsLeaderLost = false;
    }
    Abandon(aPromotion, isNotUseful ? kSwitchoverRetryDelay : kAbandonBackoff, aNow);
    return;
  }
  aPromotion.mTarget = aPromotion.mTransfer->Target();
  aPromotion.mIsTargetLeading = aPromotion.mTransfer->IsTargetLeading();
  mHooks.mLog(LogLevel::Info,
              "promotion_chosen",
              { { "group", aGroup },
                { "member", aPromotion.mTarget },
                { "received", ToString(aPromotion.mTransfer->TargetPosition()) },
                { "token", std::to_string(aPromotion.mToken) } });
  aPromotion.mPhase = Phase::Announcing;
  aPromotion.mRowRetryAt = aNow;
  OnTransferTimer(aGroup, aPromotion, aNow);
}

void
PromotionCoordinator::OnTransferTimer(const std::string& aGroup,
                                      GroupPromotion& aPromotion,
                                      TimePoint aNow)
{
  if (aPromotion.mPhase == Phase::Choosing) {
    aPromotion.mTransfer->SetFollowers(FollowersOf(aGroup, aPromotion, aNow));
    SendCommands(aGroup, aPromotion, aPromotion.mTransfer->OnTimer(aNow), aNow);
    OnTransferProgress(aGroup, aPromotion, aNow);
  }
  if (!aPromotion.mTransfer || aPromotion.mRowBeingWritten ||
      aNow < aPromotion.mRowRetryAt) {
    return;
  }
  LeadershipRow row;
  row.mToken = aPromotion.mLastToken;
  row.mHolder = mInstance;
  row.mMember = aPromotion.mReplaced.empty() ? "-" : aPromotion.mReplaced;
  row.mLeader = aPromotion.mPendingMember;
  if (aPromotion.mPhase == Phase::Choosing &&
      aNow - aPromotion.mRowAt >= kClaimRenewalInterval) {
    WriteLeadership(aGroup, aPromotion, row, aNow);
  } else if (aPromotion.mPhase == Phase::Announcing) {
    row.mState = LeadershipState::Calling;
    row.mLeader = aPromotion.mTarget;
    WriteLeadership(aGroup, aPromotion, row, aNow);
  }
}

void
PromotionCoordinator::WriteLeadership(const std::string& aGroup,
                                      GroupPromotion& aPromotion,
                                      const LeadershipRow& aRow,
                                      TimePoint aNow)
{
  aPromotion.mRowBeingWritten = aRow;
  aPromotion.mRowSentAt = aNow;
  StoredRow row;
  row.mTable = kCoordinationTable;
  row.mKey = LeadershipKey(aGroup);
  row.mValue = Encode(aRow);
  row.mRevision = aPromotion.mRowVersion.mRevision;
  row.mIncarnation = aPromotion.mRowVersion.mIncarnation;
  mStore.mWrite({ row }, [this, aGroup, aRow](const WriteResult& aResult) {
    const GroupPromotion& promotion = mPromotions[aGroup];
    // Otherwise the feed has delivered the row already, or a newer write is in progress.
    if (promotion.mRowBeingWritten &&
        Encode(*promotion.mRowBeingWritten) == Encode(aRow)) {
      OnLeadershipWritten(aGroup, aRow, aResult, mHooks.mNow());
    }
  });
}

void
PromotionCoordinator::OnLeadershipWritten(const std::string& aGroup,
                                          const LeadershipRow& aRow,
                                          const WriteResult& aResult,
                                          TimePoint aNow)
{
  GroupPromotion& promotion = mPromotions[aGroup];
  promotion.mRowBeingWritten.reset();
  TrackStoreAvailability(promotion, aResult, aNow);
  const bool endsPauses = std::exchange(promotion.mEndsPauses, false);
  if (const auto* written = std::get_if<Written>(&aResult)) {
    promotion.mRowVersion = { written->mIncarnation, written->mRevision };
    promotion.mRowAt = aNow;
    if (endsPauses && aNow - promotion.mRowSentAt <= kCallWindow) {
      // No instance claims a promotion soon after the row has changed.
      std::vector<std::string> members = AllMembers(aGroup, promotion);
      std::erase(members, aRow.mLeader);
      ResumeMembers(members, aNow);
    }
    if (aRow.mState == LeadershipState::Calling &&
        promotion.mPhase == Phase::Announcing) {
      promotion.mPhase = Phase::Promoting;
      promotion.mCalls = 0;
      CallPlatform(aGroup, promotion, aNow);
    }
    return;
  }
  promotion.mRowRetryAt = aNow + kRowRetryDelay;
  if (std::holds_alternative<RowConflict>(aResult) && promotion.mTransfer) {
    // If an unanswered write of this promotion has caused the conflict, the feed delivers
    // its row.
    const auto current = LeadershipOf(aGroup);
    const bool isOwn = current && current->mHolder == mInstance;
    if (!isOwn || current->mToken != promotion.mLastToken) {
      mHooks.mLog(LogLevel::Info, "promotion_superseded", { { "group", aGroup } });
      Abandon(promotion, kAbandonBackoff, aNow);
    }
  }
}

void
PromotionCoordinator::ConfirmOwnWrites(TimePoint aNow)
{
  for (auto& [group, promotion] : mPromotions) {
    const SeenRow* seen = FindRow(LeadershipKey(group));
    if (seen == nullptr || seen->mRow.Version() <= promotion.mRowVersion) {
      continue;
    }
    const auto row = LeadershipOf(group);
    const bool isOwn =
      row && row->mHolder == mInstance && row->mToken == promotion.mLastToken;
    if (promotion.mRowBeingWritten &&
        Encode(*promotion.mRowBeingWritten) == seen->mRow.mValue) {
      const LeadershipRow awaited = *promotion.mRowBeingWritten;
      const Written written{ seen->mRow.mRevision, 0, seen->mRow.mIncarnation };
      if (promotion.mPhase == Phase::Claiming) {
        OnClaimWritten(group, awaited.mState, awaited, written);
      } else {
        OnLeadershipWritten(group, awaited, written, aNow);
      }
    } else if (isOwn) {
      // The row of an earlier write that was not answered.
      promotion.mRowVersion = seen->mRow.Version();
    }
  }
}

void
PromotionCoordinator::CancelTransfer(GroupPromotion& aPromotion)
{
  // A claim whose write was not confirmed may still be written; see
  // RecoverAbandonedClaim.
  if (aPromotion.mPhase == Phase::Claiming) {
    aPromotion.mRowBeingWritten.reset();
  }
  if (!aPromotion.mTransfer) {
    return;
  }
  aPromotion.mNeedsLeader =
    aPromotion.mNeedsLeader ||
    (!aPromotion.mMayHaveCalled && aPromotion.mTransfer->MayHaveDemoted());
  aPromotion.mTransfer.reset();
  aPromotion.mRowBeingWritten.reset();
}

} // namespace papayaspindle::proxy
