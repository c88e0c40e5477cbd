#include "proxy/proxycore.h"

#include "proxy/proxytimes.h"

#include <algorithm>
#include <map>
#include <set>

namespace papayaspindle::proxy {

ProxyCore::OpeningResult
ProxyCore::OpenForOperation(const Operation& aOperation,
                            Member& aMember,
                            const Group& aGroup,
                            TimePoint aNow)
{
  if (!HasCustomers()) {
    if (!NeedsConnection(aMember) || !MayOpen(aMember, aGroup, aNow)) {
      return OpeningResult::Unavailable;
    }
    OpenConnection(aMember, {}, aNow);
    return OpeningResult::Opening;
  }
  if (!IsUsable(aMember) || aNow < aMember.mOpenAfter) {
    return OpeningResult::Unavailable;
  }
  ConnectionDemand demand;
  demand.mShare = BaseShare(aGroup);
  if (aNow < aMember.mRefusedUntil) {
    demand.mShare = std::min(demand.mShare, std::max(aMember.mRefusedCount, 1U));
  }
  demand.mCalmShare = std::min(demand.mShare, RetainedShare(aGroup));
  demand.mOpen = aMember.mConnectionCount;
  const auto own = aMember.mByCustomer.find(aOperation.mCustomer);
  demand.mOwn = own == aMember.mByCustomer.end() ? CustomerConnections{} : own->second;
  // Customers with waiting statements keep their idle connections, or connections would
  // be closed and opened again for each statement.
  std::set<std::string_view> waiting;
  if (aNow < aOperation.mArrivedAt + aOperation.mRoute.mLatencyObjective / 2) {
    waiting = aGroup.mWaiting.Customers();
  }
  waiting.insert(aOperation.mCustomer);
  demand.mWaiting =
    aGroup.mWaiting.CountOf(aOperation.mCustomer, aOperation.mNeedsPrimary);
  if (!aOperation.mNeedsPrimary) {
    // A connection that is being opened to any member serves the read.
    demand.mOwn.mOpening = OpeningCount(aGroup, aOperation.mCustomer);
  }
  const OpeningResult otherwise =
    demand.mOwn.mOpening > 0 ? OpeningResult::Opening : OpeningResult::Unavailable;
  if (aMember.mInFlight + aMember.mOpeningCount >= aMember.Limit()) {
    return otherwise;
  }
  // Below the calm share, no connection is replaced.
  const auto replaced = demand.mOpen < demand.mCalmShare
                          ? std::nullopt
                          : ChooseReplacedConnection(aMember, waiting, aNow);
  demand.mHasReplaceable = replaced.has_value();
  const ConnectionStep step = NextConnectionStep(demand);
  if (step == ConnectionStep::Wait) {
    return otherwise;
  }
  if (step == ConnectionStep::Replace) {
    mHooks.mCount("connection_replaced");
    DiscardConnection(*replaced);
  }
  OpenConnection(aMember, aOperation.mCustomer, aNow);
  return OpeningResult::Opening;
}

std::uint32_t
ProxyCore::OpeningCount(const Group& aGroup, std::string_view aCustomer) const
{
  std::uint32_t count = 0;
  for (const std::string& id : aGroup.mMembers) {
    const Member& member = mMembers.find(id)->second;
    const auto own = member.mByCustomer.find(aCustomer);
    count += own == member.mByCustomer.end() ? 0 : own->second.mOpening;
  }
  return count;
}

std::optional<ConnectionKey>
ProxyCore::ChooseReplacedConnection(const Member& aMember,
                                    const std::set<std::string_view>& aExcluded,
                                    TimePoint aNow) const
{
  std::map<std::string_view, std::uint32_t> idleOf;
  for (const ConnectionKey key : aMember.mIdleConnections) {
    idleOf[mConnections.at(key).mCustomer]++;
  }
  std::vector<IdleConnection> idle;
  for (const ConnectionKey key : aMember.mIdleConnections) {
    const std::string_view customer = mConnections.at(key).mCustomer;
    const double uses = aMember.mByCustomer.find(customer)->second.mUse.At(aNow);
    idle.push_back({ idleOf.at(customer), uses, !aExcluded.contains(customer) });
  }
  const std::size_t chosen = ChooseReplaced(idle);
  return chosen < idle.size() ? std::optional(aMember.mIdleConnections[chosen])
                              : std::nullopt;
}

bool
ProxyCore::HasIdle(const Member& aMember, std::string_view aCustomer) const
{
  return std::any_of(
    aMember.mIdleConnections.begin(),
    aMember.mIdleConnections.end(),
    [&](ConnectionKey aKey) { return mConnections.at(aKey).mCustomer == aCustomer; });
}

std::optional<ConnectionKey>
ProxyCore::TakeIdle(Member& aMember, std::string_view aCustomer, const Session& aSession)
{
  auto chosen = aMember.mIdleConnections.end();
  bool isExact = false;
  for (auto idle = aMember.mIdleConnections.begin();
       idle != aMember.mIdleConnections.end();
       ++idle) {
    const PoolConnection& connection = mConnections.at(*idle);
    const bool hasValues = std::equal(connection.mValues.begin(),
                                      connection.mValues.end(),
                                      aSession.mValues.begin(),
                                      aSession.mValues.end(),
                                      [](const auto& aApplied, const auto& aValue) {
                                        return aApplied.first == aValue.first &&
                                               aApplied.second.Matches(aValue.second);
                                      });
    if (connection.mCustomer == aCustomer && (hasValues || !isExact)) {
      chosen = idle;
      isExact = hasValues;
    }
  }
  if (chosen == aMember.mIdleConnections.end()) {
    return std::nullopt;
  }
  const ConnectionKey key = *chosen;
  aMember.mIdleConnections.erase(chosen);
  return key;
}

} // namespace papayaspindle::proxy
