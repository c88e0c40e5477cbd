#include "decision/allowance/rateholder.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace papayaspindle {

namespace {

// Time for which a limiter that had too few tokens is not asked again. It bounds the
// requests of an instance for a customer far over its limit to ten a second and limiter.
constexpr Duration kExhaustedPause = std::chrono::milliseconds(100);
// Time for which a limiter that did not answer is not asked again: the operations that
// find all others exhausted must not wait for it one after the other.
constexpr Duration kLostPause = std::chrono::milliseconds(500);
// The part of an operation's wait that remains for the request for a token in advance and
// its answer, which cross zones.
constexpr Duration kAdvanceMargin = std::chrono::milliseconds(10);

} // namespace

RateHolder::RateHolder(RateHolderHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

TokenDecision
RateHolder::Take(std::string_view aCustomer,
                 std::uint64_t aOperation,
                 TimePoint aNow,
                 Duration aMaxWait)
{
  const std::string customer(aCustomer);
  Account& account = mAccounts[customer];
  const TimePoint usableBy = aNow + std::max(aMaxWait, Duration());
  if (account.mWaiting.empty()) {
    if (const auto granted = TakeToken(account, usableBy, aNow)) {
      return *granted;
    }
  }
  account.mWaiting.push_back({ aOperation, usableBy });
  if (account.mRequest == 0 && !account.mIsAdvancing) {
    mTaking = aOperation;
    Advance(customer, aNow);
    mTaking = 0;
  }
  return std::exchange(mTaken, std::nullopt).value_or(TokenDecision{});
}

std::optional<TokenDecision>
RateHolder::TakeToken(Account& aAccount, TimePoint aUsableBy, TimePoint aNow)
{
  std::erase_if(aAccount.mTokens, [&](const Tokens& aTokens) {
    return aTokens.mExpiresAt <= aNow || aTokens.mCount == 0;
  });
  const auto first = std::min_element(aAccount.mTokens.begin(),
                                      aAccount.mTokens.end(),
                                      [&](const Tokens& aLeft, const Tokens& aRight) {
                                        return std::max(aLeft.mUsableAt, aNow) <
                                               std::max(aRight.mUsableAt, aNow);
                                      });
  if (first == aAccount.mTokens.end() || first->mUsableAt > std::max(aUsableBy, aNow)) {
    return std::nullopt;
  }
  first->mCount--;
  return TokenDecision{ TokenOutcome::Granted, {}, first->mExpiresAt, first->mUsableAt };
}

void
RateHolder::Return(std::string_view aCustomer, TimePoint aExpiresAt, TimePoint aNow)
{
  const auto found = mAccounts.find(aCustomer);
  if (found != mAccounts.end() && aExpiresAt > aNow) {
    found->second.mTokens.push_back({ 1, aExpiresAt, aNow });
  }
}

void
RateHolder::Cancel(std::string_view aCustomer, std::uint64_t aOperation)
{
  const auto found = mAccounts.find(aCustomer);
  if (found != mAccounts.end()) {
    std::erase_if(found->second.mWaiting, [&](const Waiting& aWaiting) {
      return aWaiting.mOperation == aOperation;
    });
  }
}

void
RateHolder::Decide(Account& aAccount, const TokenDecision& aDecision)
{
  const std::uint64_t operation = aAccount.mWaiting.front().mOperation;
  aAccount.mWaiting.pop_front();
  if (operation == mTaking) {
    mTaken = aDecision;
  } else {
    mHooks.mDecided(operation, aDecision);
  }
}

void
RateHolder::AddGrant(Account& aAccount, const TokenGrant& aGrant, TimePoint aNow)
{
  const TimePoint expiresAt = aAccount.mRequestedAt + kTokenLifetime;
  if (aGrant.mGranted > 0 && expiresAt > aNow) {
    aAccount.mTokens.push_back({ aGrant.mGranted, expiresAt, aNow });
  }
  if (aGrant.mAdvanced > 0 && expiresAt > aNow + aGrant.mWait) {
    aAccount.mTokens.push_back({ aGrant.mAdvanced, expiresAt, aNow + aGrant.mWait });
  }
  // Operations that arrived after the request say nothing about the limiter.
  if (aGrant.mGranted + aGrant.mAdvanced < aAccount.mRequestedCount) {
    Exhaustion& exhausted = aAccount.mExhausted[aAccount.mRequestedFrom];
    exhausted.mPausedUntil = aNow + kExhaustedPause;
    exhausted.mNextTokenAt = aNow + aGrant.mWait;
    if (aAccount.mIsRequestedInAdvance) {
      exhausted.mAdvancePausedUntil = aNow + kExhaustedPause;
    }
  }
  aAccount.mRequest = 0;
}

TokenDecision
RateHolder::RefusalFor(const Account& aAccount,
                       const std::vector<std::string>& aLimiters,
                       TimePoint aNow)
{
  std::optional<TimePoint> nextToken;
  for (const std::string& limiter : aLimiters) {
    const auto exhausted = aAccount.mExhausted.find(limiter);
    if (exhausted != aAccount.mExhausted.end() && exhausted->second.mPausedUntil > aNow) {
      const TimePoint at = exhausted->second.mNextTokenAt;
      nextToken = std::min(nextToken.value_or(at), at);
    }
  }
  TokenDecision refusal;
  refusal.mOutcome = nextToken ? TokenOutcome::Refused : TokenOutcome::Unavailable;
  refusal.mRetryAfter = std::max(nextToken.value_or(aNow) - aNow, kExhaustedPause);
  return refusal;
}

bool
RateHolder::IsLost(const Account& aAccount,
                   const std::string& aLimiter,
                   TimePoint aNow) const
{
  const auto lost = mLostAt.find(aLimiter);
  return aAccount.mLost.contains(aLimiter) ||
         (lost != mLostAt.end() && aNow - lost->second < kLostPause);
}

std::optional<RateHolder::Choice>
RateHolder::ChooseLimiter(const Account& aAccount,
                          const std::vector<std::string>& aLimiters,
                          TimePoint aNow) const
{
  // Tokens that are requested in advance have to be usable for all operations.
  TimePoint usableBy = TimePoint::max();
  for (const Waiting& waiting : aAccount.mWaiting) {
    usableBy = std::min(usableBy, waiting.mUsableBy);
  }
  const Duration maxWait = usableBy - aNow - kAdvanceMargin;
  std::optional<std::string> advancing;
  TimePoint nextTokenAt = aNow + maxWait;
  for (const std::string& limiter : aLimiters) {
    if (IsLost(aAccount, limiter, aNow)) {
      continue;
    }
    const auto found = aAccount.mExhausted.find(limiter);
    if (found == aAccount.mExhausted.end() || found->second.mPausedUntil <= aNow) {
      return Choice{ limiter, {} };
    }
    const Exhaustion& exhausted = found->second;
    if (exhausted.mAdvancePausedUntil <= aNow && exhausted.mNextTokenAt <= nextTokenAt) {
      advancing = limiter;
      nextTokenAt = exhausted.mNextTokenAt;
    }
  }
  if (!advancing || maxWait <= Duration()) {
    return std::nullopt;
  }
  return Choice{ *advancing, maxWait };
}

void
RateHolder::Request(const std::string& aCustomer,
                    Account& aAccount,
                    const Choice& aChoice,
                    TimePoint aNow)
{
  const std::uint64_t request = mNextRequest++;
  aAccount.mRequest = request;
  aAccount.mRequestedFrom = aChoice.mLimiter;
  aAccount.mRequestedAt = aNow;
  aAccount.mRequestedCount = static_cast<std::uint32_t>(aAccount.mWaiting.size());
  aAccount.mIsRequestedInAdvance = aChoice.mMaxWait > Duration();
  const TokenRequest message{ aCustomer, aAccount.mRequestedCount, aChoice.mMaxWait };
  if (const auto grant = mHooks.mRequest(aChoice.mLimiter, message, request, aNow)) {
    AddGrant(aAccount, *grant, aNow);
  } else {
    mRequests[request] = aCustomer;
  }
}

void
RateHolder::Advance(const std::string& aCustomer, TimePoint aNow)
{
  Account& account = mAccounts[aCustomer];
  account.mIsAdvancing = true;
  while (account.mRequest == 0 && !account.mWaiting.empty()) {
    if (const auto granted =
          TakeToken(account, account.mWaiting.front().mUsableBy, aNow)) {
      Decide(account, *granted);
      continue;
    }
    const std::vector<std::string> limiters = mHooks.mLimiters(aCustomer, aNow);
    if (const auto choice = ChooseLimiter(account, limiters, aNow)) {
      Request(aCustomer, account, *choice, aNow);
      continue;
    }
    Decide(account, RefusalFor(account, limiters, aNow));
    if (account.mWaiting.empty()) {
      account.mLost.clear();
    }
  }
  account.mIsAdvancing = false;
  if (account.mWaiting.empty()) {
    account.mLost.clear();
  }
}

void
RateHolder::OnGrant(std::uint64_t aRequest, const TokenGrant& aGrant, TimePoint aNow)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  const std::string customer = found->second;
  mRequests.erase(found);
  mLostAt.erase(mAccounts[customer].mRequestedFrom);
  AddGrant(mAccounts[customer], aGrant, aNow);
  Advance(customer, aNow);
}

void
RateHolder::OnNoAnswer(std::uint64_t aRequest, TimePoint aNow)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  const std::string customer = found->second;
  mRequests.erase(found);
  Account& account = mAccounts[customer];
  account.mLost.insert(account.mRequestedFrom);
  mLostAt[account.mRequestedFrom] = aNow;
  account.mRequest = 0;
  Advance(customer, aNow);
}

} // namespace papayaspindle
