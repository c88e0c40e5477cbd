#include "proxy/proxycore.h"

#include <algorithm>

namespace papayaspindle::proxy {

Explanation
ProxyCore::Explain(const StatementInquiry& aInquiry, TimePoint aNow)
{
  Explanation result;
  result.mVersion = mConfiguration.mVersion;
  const Customer* customer = mConfiguration.mCustomers.FindByName(aInquiry.mCustomer);
  result.mIsCustomerKnown = customer != nullptr;
  result.mLimit = customer != nullptr ? customer->mLimit : std::nullopt;
  result.mAccess = CheckCustomerAccess(
    mConfiguration, aInquiry.mDatabase, customer, mSettings.mKeyPolicy);
  if (!HasConfiguration()) {
    result.mRefusals.emplace_back("BUSY", "no configuration yet");
  } else if (result.mAccess == AccessDecision::UnknownDatabase) {
    result.mRefusals.emplace_back("NODB", "no route for the database");
  } else if (result.mAccess == AccessDecision::NotAuthorized) {
    result.mRefusals.emplace_back("NOAUTH", "the route requires the key of a customer");
  }
  const auto route = mConfiguration.mRoutes.find(aInquiry.mDatabase);
  if (route == mConfiguration.mRoutes.end()) {
    return result;
  }
  result.mRoute = route->second;
  Operation operation;
  operation.mRoute = route->second;
  operation.mGroup = route->second.mGroup;
  operation.mCustomer = customer != nullptr ? customer->mName : std::string();
  operation.mWrites = aInquiry.mWrites;
  operation.mStatement.mKind =
    aInquiry.mWrites ? StatementKind::Write : StatementKind::Read;
  operation.mArrivedAt = aNow;
  PlanSingleStatement(operation);
  result.mNeedsPrimary = operation.mNeedsPrimary;
  const auto limits = mConfiguration.mGroups.find(operation.mGroup);
  result.mMaxConnections =
    limits == mConfiguration.mGroups.end() ? 0 : limits->second.mMaxConnections;
  if (NeedsToken(operation) && result.mLimit->mPerSecond <= 0) {
    result.mRefusals.emplace_back("TOOMANY", "the customer's rate limit is zero");
  }
  result.mIsServedHere = IsOwnHome(operation, aNow);
  result.mHome = result.mIsServedHere ? std::optional(mSettings.mInstance)
                                      : PickHome(operation, {}, aNow);
  if (result.mIsServedHere) {
    ExplainMembers(operation, result, aNow);
  } else if (!result.mHome) {
    result.mRefusals.emplace_back("BUSY", "no home of the group can be reached");
  }
  return result;
}

void
ProxyCore::ExplainMembers(const Operation& aOperation,
                          Explanation& aExplanation,
                          TimePoint aNow)
{
  const Group* group = FindGroup(aOperation.mGroup);
  if (group == nullptr) {
    aExplanation.mRefusals.emplace_back("BUSY", "no member of the group is known");
    return;
  }
  Operation operation = aOperation;
  if (!operation.mNeedsPrimary) {
    // A session that has committed nothing requires what a Bounded route does.
    operation.mRoute.mConsistency = Consistency::Bounded;
    static_cast<void>(
      RequiredPosition(operation, *group, aNow, aExplanation.mHasFreshnessProof));
    operation.mRoute.mConsistency = aOperation.mRoute.mConsistency;
  }
  const Member* primary = PrimaryMember(*group, aNow);
  std::vector<const Member*> order;
  if (!aExplanation.mHasFreshnessProof) {
    aExplanation.mPrimaryUse = UseOfPrimary(operation.mGroup, primary, aNow);
    if (aExplanation.mPrimaryUse == PrimaryUse::Usable) {
      order.push_back(primary);
    }
  } else {
    const std::vector<Member*> candidates = ReadCandidates(operation, *group, aNow);
    order.assign(candidates.begin(), candidates.end());
  }
  bool startsAtOnce = false;
  for (const std::string& id : group->mMembers) {
    const Member& member = mMembers.find(id)->second;
    MemberExplanation state;
    state.mEntry = member.mEntry;
    state.mIsPrimary = &member == primary;
    state.mIsUsable = IsUsable(member);
    state.mIsUnreachable = member.mUnreachableSince.has_value();
    state.mIsLagging = member.mLaggingUntil > aNow;
    const auto found = std::find(order.begin(), order.end(), &member);
    state.mRank =
      found == order.end() ? 0 : static_cast<std::size_t>(found - order.begin()) + 1;
    state.mConnections = member.mPool.Count();
    state.mIdle = member.mPool.IdleCount(operation.mCustomer);
    state.mInFlight = member.mInFlight;
    state.mWindow = member.Limit();
    state.mServiceTime = member.mServiceTime;
    startsAtOnce = startsAtOnce || (state.mRank > 0 && state.mIdle > 0 &&
                                    state.mInFlight < state.mWindow);
    aExplanation.mMembers.push_back(std::move(state));
  }
  aExplanation.mWaiting = group->mWaiting.Size();
  aExplanation.mPredictedWait = PredictedWait(operation, *group, aNow);
  if (order.empty()) {
    aExplanation.mRefusals.emplace_back("BUSY", "no member could run it in time");
  } else if (!startsAtOnce && aExplanation.mPredictedWait &&
             aNow + *aExplanation.mPredictedWait > ObjectiveLimit(operation)) {
    aExplanation.mRefusals.emplace_back("BUSY", "overloaded");
  }
}

} // namespace papayaspindle::proxy
