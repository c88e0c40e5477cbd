#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/promotioncoordinator.h"
#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

bool
PromotionCoordinator::WatchLeftClaim(const std::string& aGroup,
                                     GroupRun& aRun,
                                     TimePoint aNow)
{
  const SeenRow* seen = Find(LeadershipKey(aGroup));
  const auto row = Leadership(aGroup);
  if (!row || aRun.mAwaited) {
    return false;
  }
  const bool isOwn = row->mHolder == mInstance;
  const bool isRefused =
    isOwn && row->mState == LeadershipState::Calling && aRun.mNeedsLeader;
  // While a claim stands, nobody is permitted to use the leader.
  if (row->mState != LeadershipState::Claimed && !isRefused) {
    return false;
  }
  // A claim of this instance that it doesn't pursue has ended, or was written late.
  const Duration patience =
    isOwn ? Duration::zero() : kClaimSpacing + ClaimSpread(aGroup);
  const TimePoint waitsUntil =
    isOwn && !aRun.mNeedsLeader ? aRun.mRowRetryAt : aRun.mClaimAfter;
  if (aNow < waitsUntil || aNow - seen->mSeenAt < patience) {
    return true;
  }
  // Permissions for a member that can't lead have to end like those for any other.
  const std::string& replaced = isRefused ? row->mLeader : row->mMember;
  aRun.mReplaced = replaced == "-" ? std::string() : replaced;
  if (row->mLeader != "-" || aRun.mReplaced.empty() || aRun.mNeedsLeader) {
    // A call of an earlier claim may still be done: it is repeated until it is answered.
    aRun.mIsSwitchover = false;
    Claim(aGroup, aRun, "claim_left", aNow);
    return true;
  }
  mHooks.mLog(
    LogLevel::Info,
    "claim_withdrawn",
    { { "group", aGroup }, { "holder", row->mHolder }, { "member", aRun.mReplaced } });
  LeadershipRow settled = *row;
  // The holder must not take it for a row of its own.
  settled.mHolder = mInstance;
  settled.mState = LeadershipState::Settled;
  settled.mLeader = row->mMember;
  aRun.mRowRevision = seen->mRow.mRevision;
  WriteLeadership(aGroup, aRun, settled, aNow);
  return true;
}

void
PromotionCoordinator::StartTransfer(const std::string& aGroup,
                                    GroupRun& aRun,
                                    TimePoint aNow)
{
  const PrimaryHealth health = mHooks.mPrimary(aGroup, aNow);
  TransferRequest request;
  request.mReplaced = aRun.mReplaced;
  request.mIsReplacedReachable =
    health.mMember == aRun.mReplaced && health.mIsListed && !health.mDownSince;
  request.mIsSwitchover = aRun.mIsSwitchover;
  request.mMustHave = aRun.mMustHave;
  request.mNextTerm = mHooks.mNewestTerm(aGroup) + 1;
  request.mClaimedAt = aNow;
  request.mPending = aRun.mPending == "-" ? std::string() : aRun.mPending;
  for (const MemberEntry& replica : mHooks.mMembers(aGroup)) {
    if (replica.mId == aRun.mReplaced) {
      continue;
    }
    request.mFollowers.push_back(replica.mId);
    const auto refused = aRun.mRefused.find(replica.mId);
    const bool isRefused = refused != aRun.mRefused.end() && refused->second > aNow;
    if (!replica.mDraining && !isRefused) {
      request.mCandidates.push_back(replica.mId);
    }
  }
  if (request.mCandidates.empty()) {
    mHooks.mLog(LogLevel::Warning, "no_replica_to_promote", { { "group", aGroup } });
    Abandon(aRun, kAbandonPause, aNow);
    return;
  }
  aRun.mPhase = Phase::Choosing;
  aRun.mMayHaveCalled = false;
  aRun.mNeedsLeader = false;
  aRun.mTransfer.emplace(std::move(request));
  SendAll(aGroup, aRun, aRun.mTransfer->Start(aNow), aNow);
  FollowTransfer(aGroup, aRun, aNow);
}

void
PromotionCoordinator::SendAll(const std::string& aGroup,
                              GroupRun& aRun,
                              const std::vector<TransferCommand>& aCommands,
                              TimePoint aNow)
{
  for (const TransferCommand& command : aCommands) {
    mHooks.mQueryStatus(command.mMember,
                        command.mCommand,
                        kDemoteTimeout,
                        aNow,
                        [this, aGroup, command, number = aRun.mRun](
                          const std::optional<MemberReply>& aReply) {
                          GroupRun& run = mRuns[aGroup];
                          if (run.mRun != number || !run.mTransfer) {
                            return;
                          }
                          const TimePoint now = mHooks.mNow();
                          SendAll(aGroup,
                                  run,
                                  run.mTransfer->OnReply(
                                    command.mMember, command.mCommand.mKind, aReply, now),
                                  now);
                          FollowTransfer(aGroup, run, now);
                        });
  }
}

void
PromotionCoordinator::FollowTransfer(const std::string& aGroup,
                                     GroupRun& aRun,
                                     TimePoint aNow)
{
  if (!aRun.mTransfer || aRun.mPhase != Phase::Choosing) {
    return;
  }
  const auto outcome = aRun.mTransfer->State();
  if (outcome == LeadershipTransfer::Outcome::Pending) {
    return;
  }
  if (outcome != LeadershipTransfer::Outcome::Ready) {
    const bool isUseless = outcome == LeadershipTransfer::Outcome::Useless;
    mHooks.mLog(LogLevel::Warning,
                isUseless ? "switchover_given_up" : "too_few_replicas_answered",
                { { "group", aGroup } });
    Abandon(aRun, isUseless ? kSwitchoverPause : kAbandonPause, aNow);
    return;
  }
  aRun.mTarget = aRun.mTransfer->Target();
  mHooks.mLog(LogLevel::Info,
              "promotion_chosen",
              { { "group", aGroup },
                { "member", aRun.mTarget },
                { "received", ToString(aRun.mTransfer->TargetPosition()) },
                { "token", std::to_string(aRun.mToken) } });
  aRun.mPhase = Phase::Announcing;
  aRun.mRowRetryAt = aNow;
  OnTransferTimer(aGroup, aRun, aNow);
}

void
PromotionCoordinator::OnTransferTimer(const std::string& aGroup,
                                      GroupRun& aRun,
                                      TimePoint aNow)
{
  if (aRun.mPhase == Phase::Choosing) {
    SendAll(aGroup, aRun, aRun.mTransfer->OnTimer(aNow), aNow);
    FollowTransfer(aGroup, aRun, aNow);
  }
  if (!aRun.mTransfer || aRun.mAwaited || aNow < aRun.mRowRetryAt) {
    return;
  }
  LeadershipRow row;
  row.mToken = aRun.mLastToken;
  row.mHolder = mInstance;
  row.mMember = aRun.mReplaced.empty() ? "-" : aRun.mReplaced;
  row.mLeader = aRun.mPending;
  if (aRun.mPhase == Phase::Choosing && aNow - aRun.mRowAt >= kClaimRenewal) {
    WriteLeadership(aGroup, aRun, row, aNow);
  } else if (aRun.mPhase == Phase::Announcing) {
    row.mState = LeadershipState::Calling;
    row.mLeader = aRun.mTarget;
    WriteLeadership(aGroup, aRun, row, aNow);
  }
}

void
PromotionCoordinator::WriteLeadership(const std::string& aGroup,
                                      GroupRun& aRun,
                                      const LeadershipRow& aRow,
                                      TimePoint aNow)
{
  aRun.mAwaited = aRow;
  aRun.mRowSentAt = aNow;
  StoredRow row;
  row.mTable = kCoordinationTable;
  row.mKey = LeadershipKey(aGroup);
  row.mValue = Encode(aRow);
  row.mRevision = aRun.mRowRevision;
  mStore.mWrite({ row }, [this, aGroup, aRow](const WriteResult& aResult) {
    const GroupRun& run = mRuns[aGroup];
    // Otherwise the feed was faster, or something newer is written.
    if (run.mAwaited && Encode(*run.mAwaited) == Encode(aRow)) {
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
  GroupRun& run = mRuns[aGroup];
  run.mAwaited.reset();
  NoteStore(run, aResult, aNow);
  if (const auto* written = std::get_if<Written>(&aResult)) {
    run.mRowRevision = written->mRevision;
    run.mRowAt = aNow;
    if (aRow.mState == LeadershipState::Calling && run.mPhase == Phase::Announcing) {
      run.mPhase = Phase::Promoting;
      run.mCalls = 0;
      Call(aGroup, run, aNow);
    }
    return;
  }
  run.mRowRetryAt = aNow + kRowRetry;
  if (std::holds_alternative<RowConflict>(aResult) && run.mTransfer) {
    // The feed brings this run's own row if it was written without an answer.
    const auto current = Leadership(aGroup);
    const bool isOwn = current && current->mHolder == mInstance;
    if (!isOwn || current->mToken != run.mLastToken) {
      mHooks.mLog(LogLevel::Info, "promotion_superseded", { { "group", aGroup } });
      Abandon(run, kAbandonPause, aNow);
    }
  }
}

void
PromotionCoordinator::AdoptOwnRows(TimePoint aNow)
{
  for (auto& [group, run] : mRuns) {
    const SeenRow* seen = Find(LeadershipKey(group));
    if (seen == nullptr || seen->mRow.mRevision <= run.mRowRevision) {
      continue;
    }
    const auto row = Leadership(group);
    const bool isOwn = row && row->mHolder == mInstance && row->mToken == run.mLastToken;
    if (run.mAwaited && Encode(*run.mAwaited) == seen->mRow.mValue) {
      const LeadershipRow awaited = *run.mAwaited;
      const Written written{ seen->mRow.mRevision, 0 };
      if (run.mPhase == Phase::Claiming) {
        OnClaimWritten(group, awaited.mState, awaited, written);
      } else {
        OnLeadershipWritten(group, awaited, written, aNow);
      }
    } else if (isOwn) {
      // An earlier write that was not answered.
      run.mRowRevision = seen->mRow.mRevision;
    }
  }
}

void
PromotionCoordinator::GiveUpTransfer(GroupRun& aRun, TimePoint aNow)
{
  // The row of a claim that was not written may still come; see WatchLeftClaim.
  if (aRun.mPhase == Phase::Claiming) {
    aRun.mAwaited.reset();
  }
  if (!aRun.mTransfer) {
    return;
  }
  // A call that was not answered resumes the followers when it is done.
  if (!aRun.mMayHaveCalled) {
    for (const TransferCommand& command : aRun.mTransfer->Undo()) {
      mHooks.mQueryStatus(command.mMember,
                          command.mCommand,
                          kDemoteTimeout,
                          aNow,
                          [](const std::optional<MemberReply>&) {});
    }
  }
  aRun.mNeedsLeader =
    aRun.mNeedsLeader || (!aRun.mMayHaveCalled && aRun.mTransfer->MayHaveDemoted());
  aRun.mTransfer.reset();
  aRun.mAwaited.reset();
}

} // namespace papayaspindle::proxy
