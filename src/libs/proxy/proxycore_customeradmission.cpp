#include "proxy/proxycore.h"

#include <algorithm>
#include <map>

namespace papayaspindle::proxy {

namespace {

/** @return text of the refusal for the caller */
std::string_view
TextOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::ShareExceeded:
      return "the customer exceeds its share";
    case RefusalReason::WaitLimitPassed:
      return "no member could run it in time";
    default:
      return "overloaded";
  }
}

} // namespace

double
ProxyCore::WeightOf(const std::string& aCustomer, const Group& aGroup) const
{
  const Customer* customer = mConfiguration.mCustomers.FindByName(aCustomer);
  if (customer == nullptr || !customer->mLimit) {
    return 0;
  }
  // A large customer sends only a part of its statements to each of its homes.
  return customer->mLimit->mPerSecond / HomesOf(aCustomer, aGroup.mLimits.mName);
}

CompletionRates
ProxyCore::RatesOf(const Group& aGroup, TimePoint aNow) const
{
  CompletionRates rates;
  if (const Member* primary = PrimaryMember(aGroup, aNow)) {
    rates.mPrimaryPerS = primary->Throughput().PerSecond();
  }
  for (const std::string& id : aGroup.mMembers) {
    const Member& member = mMembers.find(id)->second;
    if (IsUsable(member) && !member.mEntry.mDraining && !member.mUnreachableSince &&
        member.mLaggingUntil <= aNow) {
      rates.mReadsPerS += member.Throughput().PerSecond();
    }
  }
  return rates;
}

AdmissionPlan
ProxyCore::PlanByCustomer(Group& aGroup, const Operation* aNew, TimePoint aNow)
{
  std::vector<CustomerLoad> loads;
  std::map<std::string_view, std::size_t> indices;
  const auto indexOf = [&](const std::string& aCustomer) {
    const auto [found, isNew] = indices.emplace(aCustomer, loads.size());
    if (isNew) {
      loads.push_back({ aCustomer, WeightOf(aCustomer, aGroup), 0 });
    }
    return found->second;
  };
  std::vector<WaitingStatement> waiting;
  const auto add = [&](const Operation& aOperation) {
    waiting.push_back({ aOperation.mKey,
                        indexOf(aOperation.mCustomer),
                        aOperation.mRoute.mPriority,
                        NeedsPrimaryNow(aOperation),
                        &aOperation == aNew,
                        aOperation.mIsPastObjective,
                        aOperation.mArrivedAt,
                        ObjectiveLimit(aOperation),
                        WaitLimit(aOperation),
                        mWorkEstimates.Of(aOperation.Class().mWork).LowerQuartile() });
  };
  bool isQueued = aNew == nullptr;
  for (const OperationKey key : aGroup.mWaiting.Keys()) {
    const Operation& operation = mOperations.at(key);
    isQueued = isQueued || &operation == aNew;
    add(operation);
  }
  if (!isQueued) {
    add(*aNew);
  }
  for (const auto& [key, operation] : mOperations) {
    if (operation.mIsInFlight && operation.mGroup == aGroup.mLimits.mName) {
      loads[indexOf(operation.mCustomer)].mRunning++;
    }
  }
  return aGroup.mAdmission.Plan({ waiting, loads, RatesOf(aGroup, aNow), aNow });
}

std::vector<OperationKey>
ProxyCore::OrderByCustomer(Group& aGroup, TimePoint aNow)
{
  aGroup.mPlan = PlanByCustomer(aGroup, nullptr, aNow);
  std::vector<OperationKey> keys;
  for (const PlannedStatement& planned : aGroup.mPlan) {
    keys.push_back(planned.mKey);
  }
  return keys;
}

std::size_t
ProxyCore::AheadByCustomer(const Operation& aOperation, TimePoint aNow)
{
  Group& group = mGroups[aOperation.mGroup];
  const auto isWanted = [&](const PlannedStatement& aPlanned) {
    return aPlanned.mKey == aOperation.mKey;
  };
  const auto planned = std::find_if(group.mPlan.begin(), group.mPlan.end(), isWanted);
  if (planned == group.mPlan.end()) {
    const AdmissionPlan plan = PlanByCustomer(group, &aOperation, aNow);
    return std::find_if(plan.begin(), plan.end(), isWanted)->mAhead;
  }
  // A new plan for each attempt to start an operation would cost too much. Those that
  // were started since the latest one no longer wait.
  return static_cast<std::size_t>(
    std::count_if(group.mPlan.begin(), planned, [&](const PlannedStatement& aPlanned) {
      const auto found = mOperations.find(aPlanned.mKey);
      return found != mOperations.end() && !aPlanned.mRefusal &&
             !aPlanned.mMissesObjective &&
             found->second.mStage == OperationStage::Waiting &&
             NeedsPrimaryNow(found->second) == NeedsPrimaryNow(aOperation);
    }));
}

void
ProxyCore::RefuseByCustomer(OperationKey aKey, Group& aGroup, TimePoint aNow)
{
  std::optional<RefusalReason> refusal;
  for (const PlannedStatement& planned :
       PlanByCustomer(aGroup, &mOperations.at(aKey), aNow)) {
    mOperations.at(planned.mKey).mIsPastObjective = planned.mMissesObjective;
    if (planned.mKey == aKey) {
      refusal = planned.mRefusal;
    } else if (planned.mRefusal) {
      // Callers may hold references to the sessions of other operations.
      ScheduleOperation(planned.mKey, aNow);
    }
  }
  if (refusal) {
    aGroup.mOverloadedAt = aNow;
    FailOperation(aKey, AnswerCode::Busy, TextOf(*refusal), aNow);
  }
}

bool
ProxyCore::RefuseWaitingByCustomer(OperationKey aKey, Group& aGroup, TimePoint aNow)
{
  for (const PlannedStatement& planned : PlanByCustomer(aGroup, nullptr, aNow)) {
    if (planned.mKey == aKey && planned.mRefusal) {
      aGroup.mOverloadedAt = aNow;
      FailOperation(aKey, AnswerCode::Busy, TextOf(*planned.mRefusal), aNow);
      return true;
    }
  }
  return false;
}

} // namespace papayaspindle::proxy
