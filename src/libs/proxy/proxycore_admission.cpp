#include "proxy/proxycore.h"

#include "decision/capacity/readorder.h"
#include "proxy/proxytimes.h"

#include <algorithm>

namespace papayaspindle::proxy {

TimePoint
ProxyCore::WaitLimit(const Operation& aOperation) const
{
  return aOperation.mArrivedAt + std::chrono::duration_cast<Duration>(
                                   aOperation.mRoute.mStatementTimeout * kMaxWaitShare);
}

TimePoint
ProxyCore::ObjectiveLimit(const Operation& aOperation) const
{
  return aOperation.mArrivedAt + std::chrono::duration_cast<Duration>(
                                   aOperation.mRoute.mLatencyObjective * kObjectiveShare);
}

std::size_t
ProxyCore::WaitingAhead(const Operation& aOperation, const Group& aGroup, TimePoint aNow)
{
  return HasCustomers() ? AheadByCustomer(aOperation, aNow)
                        : aGroup.mWaiting.CountAhead(
                            aOperation.mKey, aOperation.Class(), mWorkEstimates);
}

std::optional<Duration>
ProxyCore::PredictedWait(const Operation& aOperation, const Group& aGroup, TimePoint aNow)
{
  std::vector<MemberThroughput> candidates;
  const auto add = [&](const Member& aMember) {
    candidates.push_back(aMember.Throughput());
  };
  if (aOperation.mNeedsPrimary || aOperation.mNeedsLeadershipProof) {
    if (const Member* primary = PrimaryMember(aGroup, aNow)) {
      add(*primary);
    }
  } else {
    for (const Member* member : ReadCandidates(aOperation, aGroup, aNow)) {
      add(*member);
    }
  }
  return PredictWait(WaitingAhead(aOperation, aGroup, aNow), candidates);
}

void
ProxyCore::RefuseIfOverloaded(OperationKey aKey, Group& aGroup, TimePoint aNow)
{
  const auto found = mOperations.find(aKey);
  if (found == mOperations.end() || found->second.mStage != OperationStage::Waiting) {
    return;
  }
  if (HasCustomers()) {
    RefuseByCustomer(aKey, aGroup, aNow);
    return;
  }
  const auto wait = PredictedWait(found->second, aGroup, aNow);
  if (wait && aNow + *wait > ObjectiveLimit(found->second)) {
    aGroup.mOverloadedAt = aNow;
    FailOperation(aKey, AnswerCode::Busy, "overloaded", aNow);
  }
}

std::optional<LogPosition>
ProxyCore::RequiredPosition(const Operation& aOperation,
                            const Group& aGroup,
                            TimePoint aNow,
                            bool& aIsProven) const
{
  const std::optional<LogPosition> proof =
    aGroup.mSamples.ProofOfFreshness(aNow - aOperation.mRoute.mMaxStaleness);
  aIsProven = proof.has_value();
  if (!proof || aOperation.mRoute.mConsistency != Consistency::ReadYourWrites) {
    return proof;
  }
  const Session& session = mSessions.at(aOperation.mSession);
  if (!session.mLastCommit) {
    return proof;
  }
  // A commit of an older term either precedes the first position of the newer term, or
  // was rolled back by the promotion.
  const std::optional<LogPosition> newerTerm =
    aGroup.mSamples.FirstAfterTerm(session.mLastCommit->mTerm);
  return std::max(*proof, newerTerm.value_or(*session.mLastCommit));
}

std::vector<Member*>
ProxyCore::ReadCandidates(const Operation& aOperation,
                          const Group& aGroup,
                          TimePoint aNow)
{
  const Member* primary = PrimaryMember(aGroup, aNow);
  const Duration usual = mWorkEstimates.Of(aOperation.Class().mWork).Mean();
  std::vector<Member*> members;
  std::vector<ReadOption> options;
  for (const std::string& id : aGroup.mMembers) {
    Member& member = mMembers.find(id)->second;
    if (!IsUsable(member) || member.mEntry.mDraining || member.mUnreachableSince ||
        member.mLaggingUntil > aNow || aOperation.mRefusingMembers.contains(id)) {
      continue;
    }
    Duration fixed{};
    if (member.mEntry.mZone != mSettings.mZone) {
      fixed += kRemoteZoneCost;
    }
    if (&member == primary) {
      fixed += kPrimaryReadCost;
    }
    Duration cost = member.mServiceTime * (member.mInFlight + 1) / member.Limit() + fixed;
    if (HasCustomers() && !member.mPool.HasIdle(aOperation.mCustomer)) {
      cost += kOpeningCost;
    }
    const auto runs =
      std::chrono::duration_cast<Duration>(usual * member.mCapacity.RelativeCost());
    options.push_back({ cost,
                        fixed,
                        runs,
                        member.mInFlight,
                        member.Limit(),
                        member.mCapacity.NeedsProbe(aNow),
                        member.mSharing.LeavesReads(mSettings.mInstance, aNow) });
    members.push_back(&member);
  }
  std::vector<Member*> candidates;
  const auto ahead = [&] { return WaitingAhead(aOperation, aGroup, aNow); };
  for (const std::size_t index :
       OrderReadOptions(options, aNow - aOperation.mArrivedAt, ahead)) {
    candidates.push_back(members[index]);
  }
  return candidates;
}

void
ProxyCore::OnWaitingTimer(OperationKey aKey, Operation& aOperation, TimePoint aNow)
{
  if (aNow >= WaitLimit(aOperation)) {
    FailOperation(aKey, AnswerCode::Busy, "no member could run it in time", aNow);
    return;
  }
  if (aOperation.mConnection) {
    if (aOperation.mRetryAt <= aNow) {
      ScheduleOperation(aKey, aOperation.mDeadline);
      SendStatement(aOperation, std::nullopt, false, aNow);
    }
    return;
  }
  Group& group = mGroups[aOperation.mGroup];
  const TimePoint objective = ObjectiveLimit(aOperation);
  if (!aOperation.mIsPastObjective && aNow >= objective) {
    aOperation.mIsPastObjective = true;
    group.mWaiting.MarkPastObjective(aKey);
    // While other statements can still be answered within their objective, statements
    // that have missed theirs are refused.
    if (!HasCustomers() && WaitingAhead(aOperation, group, aNow) > 0 &&
        PredictedWait(aOperation, group, aNow)) {
      group.mOverloadedAt = aNow;
      FailOperation(aKey, AnswerCode::Busy, "overloaded", aNow);
      return;
    }
  }
  if (HasCustomers() && RefuseWaitingByCustomer(aKey, group, aNow)) {
    return;
  }
  ScheduleOperation(aKey,
                    aOperation.mIsPastObjective
                      ? WaitLimit(aOperation)
                      : std::min(objective, WaitLimit(aOperation)));
  if (aOperation.mRetryAt <= aNow) {
    DispatchWaiting(group, aNow);
  }
}

} // namespace papayaspindle::proxy
