#include "proxy/proxycore.h"

#include "proxy/proxytimes.h"

#include <set>
#include <utility>
#include <vector>

namespace papayaspindle::proxy {

void
ProxyCore::DispatchWaiting(Group& aGroup, TimePoint aNow)
{
  RecordInFlight(aGroup, aNow);
  if (aGroup.mWaiting.IsEmpty()) {
    return;
  }
  // An operation that finds no connection blocks later ones of the same kind only.
  // Where connections bear the names of customers, it blocks those of its customer only.
  std::set<std::pair<std::string_view, bool>> blocked;
  const std::vector<OperationKey> waiting =
    HasCustomers() ? OrderByCustomer(aGroup, aNow)
                   : aGroup.mWaiting.DispatchOrder(mWorkEstimates);
  for (const OperationKey key : waiting) {
    const auto found = mOperations.find(key);
    if (found == mOperations.end()) {
      continue;
    }
    Operation& operation = found->second;
    const bool needsPrimary = operation.mNeedsPrimary;
    if (operation.mStage != OperationStage::Waiting || operation.mRetryAt > aNow ||
        blocked.contains({ operation.mCustomer, needsPrimary })) {
      continue;
    }
    if (TryStartOperation(key, operation, aGroup, aNow)) {
      if (HasCustomers()) {
        aGroup.mAdmission.OnStarted(
          operation.mCustomer, NeedsPrimaryNow(operation), aNow);
      }
      aGroup.mWaiting.Remove(key);
    } else if (operation.mRefusingMembers.empty()) {
      blocked.emplace(operation.mCustomer, needsPrimary);
    }
  }
}

bool
ProxyCore::TryStartOperation(OperationKey aKey,
                             Operation& aOperation,
                             Group& aGroup,
                             TimePoint aNow)
{
  if (aOperation.mNeedsPrimary) {
    return TryStartOnPrimary(aKey, aOperation, aGroup, aNow);
  }
  bool isProven = false;
  const std::optional<LogPosition> after =
    RequiredPosition(aOperation, aGroup, aNow, isProven);
  // Without a recent enough sample, only a read that proves leadership is fresh.
  aOperation.mNeedsLeadershipProof = !isProven;
  if (!isProven) {
    return TryStartOnPrimary(aKey, aOperation, aGroup, aNow);
  }
  const std::vector<Member*> candidates = ReadCandidates(aOperation, aGroup, aNow);
  for (Member* member : candidates) {
    if (StartOnIdleConnection(aKey, aOperation, *member, after, aNow)) {
      return true;
    }
    // The cost of a candidate includes an opening, so a cheaper one than those that have
    // idle connections is worth it.
    if (HasCustomers() && !member->mPool.HasIdle(aOperation.mCustomer) &&
        OpenForOperation(aOperation, *member, aGroup, aNow) == OpeningResult::Opening) {
      return false;
    }
  }
  if (!HasCustomers()) {
    for (Member* member : candidates) {
      if (OpenForOperation(aOperation, *member, aGroup, aNow) == OpeningResult::Opening) {
        break;
      }
    }
  }
  if (candidates.empty() && !aOperation.mRefusingMembers.empty()) {
    aOperation.mRefusingMembers.clear();
    aOperation.mRetryAt = aNow + kRetryPause;
    ScheduleOperation(aKey, aOperation.mRetryAt);
  }
  return false;
}

bool
ProxyCore::TryStartOnPrimary(OperationKey aKey,
                             Operation& aOperation,
                             Group& aGroup,
                             TimePoint aNow)
{
  const Member* known = PrimaryMember(aGroup, aNow);
  const PrimaryUse use = UseOfPrimary(aOperation.mGroup, known, aNow);
  if (use == PrimaryUse::Unknown) {
    SearchLeader(aGroup, aNow);
  }
  if (use != PrimaryUse::Usable) {
    return false;
  }
  Member& primary = mMembers.find(known->mEntry.mId)->second;
  if (StartOnIdleConnection(aKey, aOperation, primary, std::nullopt, aNow)) {
    return true;
  }
  if (!primary.mPool.HasIdle(aOperation.mCustomer)) {
    OpenForOperation(aOperation, primary, aGroup, aNow);
  }
  return false;
}

bool
ProxyCore::StartOnIdleConnection(OperationKey aKey,
                                 Operation& aOperation,
                                 Member& aMember,
                                 const std::optional<LogPosition>& aAfter,
                                 TimePoint aNow)
{
  if (aMember.mInFlight >= aMember.Limit()) {
    return false;
  }
  const auto connection =
    TakeIdle(aMember, aOperation.mCustomer, mSessions.at(aOperation.mSession));
  if (!connection) {
    return false;
  }
  aMember.mPool.OnUse(aOperation.mCustomer, aNow);
  aMember.mInFlight++;
  aOperation.mIsInFlight = true;
  StartOnConnection(aKey, aOperation, *connection, aAfter, aNow);
  return true;
}

} // namespace papayaspindle::proxy
