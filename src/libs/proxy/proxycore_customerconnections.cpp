#include "proxy/proxycore.h"

#include <algorithm>

namespace papayaspindle::proxy {

ProxyCore::OpeningResult
ProxyCore::OpenForOperation(const Operation& aOperation,
                            Member& aMember,
                            const Group& aGroup,
                            TimePoint aNow)
{
  if (!HasCustomers()) {
    if (!aMember.mPool.NeedsConnection(aMember.mInFlight, aMember.Limit()) ||
        !MayOpen(aMember, aGroup, aNow)) {
      return OpeningResult::Unavailable;
    }
    OpenConnection(aMember, {}, aNow);
    return OpeningResult::Opening;
  }
  if (!IsUsable(aMember) || aMember.mPool.IsPaused(aNow)) {
    return OpeningResult::Unavailable;
  }
  OpeningRequest request;
  request.mCustomer = aOperation.mCustomer;
  request.mShare = ShareOf(aGroup);
  request.mWaiting =
    aGroup.mWaiting.CountOf(aOperation.mCustomer, aOperation.mNeedsPrimary);
  // A connection that is being opened to any member serves a read.
  request.mOpening = aOperation.mNeedsPrimary
                       ? aMember.mPool.Of(aOperation.mCustomer).mOpening
                       : OpeningCount(aGroup, aOperation.mCustomer);
  // Customers with waiting statements keep their idle connections, or connections would
  // be closed and opened again for each statement.
  if (aNow < aOperation.mArrivedAt + aOperation.mRoute.mLatencyObjective / 2) {
    request.mExcluded = aGroup.mWaiting.Customers();
  }
  request.mExcluded.insert(aOperation.mCustomer);
  request.mInFlight = aMember.mInFlight;
  request.mLimit = aMember.Limit();
  const OpeningPlan plan = aMember.mPool.PlanOpening(request, aNow);
  if (plan.mStep == ConnectionStep::Wait) {
    return request.mOpening > 0 ? OpeningResult::Opening : OpeningResult::Unavailable;
  }
  if (plan.mReplaced) {
    mHooks.mCount("connection_replaced");
    DiscardConnection(*plan.mReplaced);
  }
  OpenConnection(aMember, aOperation.mCustomer, aNow);
  return OpeningResult::Opening;
}

std::uint32_t
ProxyCore::OpeningCount(const Group& aGroup, std::string_view aCustomer) const
{
  std::uint32_t count = 0;
  for (const std::string& id : aGroup.mMembers) {
    count += mMembers.find(id)->second.mPool.Of(aCustomer).mOpening;
  }
  return count;
}

std::optional<ConnectionKey>
ProxyCore::TakeIdle(Member& aMember, std::string_view aCustomer, const Session& aSession)
{
  return aMember.mPool.TakeIdle(aCustomer, [&](ConnectionKey aKey) {
    const PoolConnection& connection = mConnections.at(aKey);
    return std::equal(connection.mValues.begin(),
                      connection.mValues.end(),
                      aSession.mValues.begin(),
                      aSession.mValues.end(),
                      [](const auto& aApplied, const auto& aValue) {
                        return aApplied.first == aValue.first &&
                               aApplied.second.Matches(aValue.second);
                      });
  });
}

} // namespace papayaspindle::proxy
