#include "proxy/connections/memberpool.h"

#include "proxy/proxytimes.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Connections to a member that are opened at the same time, apart from those for waiting
// statements of customers.
constexpr std::uint32_t kMaxOpenings = 2;
// After a refusal, idle connections of other customers are replaced instead of opening
// more. Members count the connections of lost instances for some seconds.
constexpr Duration kRefusalMemory = std::chrono::milliseconds(500);
// Time until a replaced connection is closed at the member.
constexpr Duration kReplacementPause = std::chrono::milliseconds(20);
// Part of the share that stays open while unused where connections bear the names of
// customers: more than elsewhere, because few of them fit the next statement.
constexpr std::uint32_t kRetainedWithCustomers = 2;
constexpr std::uint32_t kRetainedDivisor = 3;

} // namespace

std::uint32_t
PoolShare::Retained() const
{
  const std::uint32_t retained = mHasCustomers
                                   ? mBase * kRetainedWithCustomers / kRetainedDivisor
                                   : mBase / kRetainedShareDivisor;
  return std::max(retained, 1U);
}

void
MemberPool::OnOpening(ConnectionKey aKey, std::string_view aCustomer)
{
  const auto [added, isNew] = mConnections.try_emplace(aKey);
  if (!isNew) {
    return;
  }
  added->second.mCustomer = aCustomer;
  CustomerConnections& own = mByCustomer[added->second.mCustomer];
  own.mOpen++;
  own.mOpening++;
  mOpeningCount++;
}

void
MemberPool::OnReady(ConnectionKey aKey)
{
  const auto found = mConnections.find(aKey);
  if (found != mConnections.end()) {
    EndOpening(found->second);
    mOpenBackoff = {};
  }
}

void
MemberPool::OnRefused(ConnectionKey aKey, const PoolShare& aShare, TimePoint aNow)
{
  if (!mConnections.contains(aKey)) {
    return;
  }
  if (Count() > aShare.mBase) {
    mBorrowAfter = aNow + kBorrowPause;
    // The refused connection is still counted.
    mIsReturnDue = Count() - 1 > aShare.mBase;
  } else {
    // The instance is entitled to this connection: the instance that borrowed the
    // connection returns it soon.
    mOpenAfter = aNow + (aShare.mHasCustomers ? kReplacementPause : kOpenBackoffMin);
  }
  Remove(aKey);
  mRefusedCount = Count();
  mRefusedUntil = aNow + kRefusalMemory;
}

void
MemberPool::OnOpeningFailed(TimePoint aNow)
{
  mOpenBackoff = std::clamp(mOpenBackoff * 2, kOpenBackoffMin, kOpenBackoffMax / 2);
  mOpenAfter = aNow + mOpenBackoff;
}

void
MemberPool::OnIdle(ConnectionKey aKey, TimePoint aNow)
{
  const auto found = mConnections.find(aKey);
  if (found == mConnections.end()) {
    return;
  }
  std::erase(mIdle, aKey);
  mIdle.push_back(aKey);
  found->second.mIdleSince = aNow;
}

void
MemberPool::OnUse(std::string_view aCustomer, TimePoint aNow)
{
  mByCustomer[std::string(aCustomer)].mUse.Add(aNow);
}

void
MemberPool::Remove(ConnectionKey aKey)
{
  const auto found = mConnections.find(aKey);
  if (found == mConnections.end()) {
    return;
  }
  EndOpening(found->second);
  mByCustomer.find(found->second.mCustomer)->second.mOpen--;
  std::erase(mIdle, aKey);
  mConnections.erase(found);
}

void
MemberPool::EndOpening(Connection& aConnection)
{
  if (aConnection.mIsOpening) {
    aConnection.mIsOpening = false;
    mByCustomer.find(aConnection.mCustomer)->second.mOpening--;
    mOpeningCount--;
  }
}

void
MemberPool::ResetBackoff(TimePoint aNow)
{
  mOpenAfter = aNow;
  mOpenBackoff = {};
}

std::optional<ConnectionKey>
MemberPool::TakeIdle()
{
  if (mIdle.empty()) {
    return std::nullopt;
  }
  const ConnectionKey key = mIdle.back();
  mIdle.pop_back();
  return key;
}

std::optional<ConnectionKey>
MemberPool::TakeIdle(std::string_view aCustomer, const MatchHook& aMatches)
{
  auto chosen = mIdle.end();
  bool isExact = false;
  for (auto idle = mIdle.begin(); idle != mIdle.end(); ++idle) {
    if (mConnections.at(*idle).mCustomer != aCustomer) {
      continue;
    }
    const bool matches = aMatches(*idle);
    if (matches || !isExact) {
      chosen = idle;
      isExact = matches;
    }
  }
  if (chosen == mIdle.end()) {
    return std::nullopt;
  }
  const ConnectionKey key = *chosen;
  mIdle.erase(chosen);
  return key;
}

bool
MemberPool::HasIdle(std::string_view aCustomer) const
{
  return std::any_of(mIdle.begin(), mIdle.end(), [&](ConnectionKey aKey) {
    return mConnections.at(aKey).mCustomer == aCustomer;
  });
}

std::uint32_t
MemberPool::IdleCount(std::string_view aCustomer) const
{
  return static_cast<std::uint32_t>(
    std::count_if(mIdle.begin(), mIdle.end(), [&](ConnectionKey aKey) {
      return mConnections.at(aKey).mCustomer == aCustomer;
    }));
}

std::vector<ConnectionKey>
MemberPool::Surplus(const std::optional<PoolShare>& aShare,
                    bool aIsDraining,
                    TimePoint aNow)
{
  std::vector<ConnectionKey> surplus;
  std::uint32_t connections = Count();
  for (const ConnectionKey key : mIdle) {
    const Duration unused = aNow - mConnections.at(key).mIdleSince;
    const bool isSurplus =
      aShare && connections > aShare->Retained() && unused > kSurplusIdleTimeout;
    const bool isLeaving = aIsDraining && unused > kDrainingIdleTimeout;
    const bool isReturned = aShare && mIsReturnDue && connections > aShare->mBase;
    if (!aShare || isSurplus || isLeaving || isReturned) {
      mIsReturnDue = false;
      surplus.push_back(key);
      connections--;
    }
  }
  return surplus;
}

CustomerConnections
MemberPool::Of(std::string_view aCustomer) const
{
  const auto found = mByCustomer.find(aCustomer);
  return found == mByCustomer.end() ? CustomerConnections{} : found->second;
}

bool
MemberPool::MayOpen(const PoolShare& aShare, TimePoint aNow) const
{
  if (mOpeningCount >= kMaxOpenings || IsPaused(aNow)) {
    return false;
  }
  if (Count() < aShare.mBase) {
    return true;
  }
  // An instance may borrow connections that other instances leave unused; the member
  // refuses connections beyond its limit. Where connections bear the names of customers,
  // idle ones are replaced instead.
  return !aShare.mHasCustomers && aNow >= mBorrowAfter &&
         Count() < std::min(aShare.mBase * kMaxBorrowFactor + 1, aShare.mMaxConnections);
}

OpeningPlan
MemberPool::PlanOpening(const OpeningRequest& aRequest, TimePoint aNow) const
{
  if (aRequest.mInFlight + mOpeningCount >= aRequest.mLimit) {
    return {};
  }
  ConnectionDemand demand;
  demand.mShare = aRequest.mShare.mBase;
  if (aNow < mRefusedUntil) {
    demand.mShare = std::min(demand.mShare, std::max(mRefusedCount, 1U));
  }
  demand.mCalmShare = std::min(demand.mShare, aRequest.mShare.Retained());
  demand.mOpen = Count();
  demand.mOwn = Of(aRequest.mCustomer);
  demand.mOwn.mOpening = aRequest.mOpening;
  demand.mWaiting = aRequest.mWaiting;
  // Below the calm share, no connection is replaced.
  const auto replaced = demand.mOpen < demand.mCalmShare
                          ? std::nullopt
                          : ChooseReplacedConnection(aRequest.mExcluded, aNow);
  demand.mHasReplaceable = replaced.has_value();
  const ConnectionStep step = NextConnectionStep(demand);
  return { step, step == ConnectionStep::Replace ? replaced : std::nullopt };
}

std::optional<ConnectionKey>
MemberPool::ChooseReplacedConnection(const std::set<std::string_view>& aExcluded,
                                     TimePoint aNow) const
{
  std::map<std::string_view, std::uint32_t> idleOf;
  for (const ConnectionKey key : mIdle) {
    idleOf[mConnections.at(key).mCustomer]++;
  }
  std::vector<IdleConnection> idle;
  for (const ConnectionKey key : mIdle) {
    const std::string_view customer = mConnections.at(key).mCustomer;
    const double uses = mByCustomer.find(customer)->second.mUse.At(aNow);
    idle.push_back({ idleOf.at(customer), uses, !aExcluded.contains(customer) });
  }
  const std::size_t chosen = ChooseReplaced(idle);
  return chosen < idle.size() ? std::optional(mIdle[chosen]) : std::nullopt;
}

} // namespace papayaspindle::proxy
