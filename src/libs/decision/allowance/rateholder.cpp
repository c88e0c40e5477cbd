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

} // namespace

RateHolder::RateHolder(RateHolderHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

TokenDecision
RateHolder::Take(std::string_view aCustomer, std::uint64_t aOperation, TimePoint aNow)
{
  const std::string customer(aCustomer);
  Account& account = mAccounts[customer];
  if (account.mWaiting.empty()) {
    if (const auto expiresAt = TakeToken(account, aNow)) {
      return { TokenOutcome::Granted, {}, *expiresAt };
    }
  }
  account.mWaiting.push_back(aOperation);
  if (account.mRequest == 0 && !account.mIsAdvancing) {
    mTaking = aOperation;
    Advance(customer, aNow);
    mTaking = 0;
  }
  return std::exchange(mTaken, std::nullopt).value_or(TokenDecision{});
}

std::optional<TimePoint>
RateHolder::TakeToken(Account& aAccount, TimePoint aNow)
{
  while (!aAccount.mTokens.empty()) {
    Tokens& oldest = aAccount.mTokens.front();
    if (oldest.mExpiresAt <= aNow || oldest.mCount == 0) {
      aAccount.mTokens.pop_front();
      continue;
    }
    oldest.mCount--;
    return oldest.mExpiresAt;
  }
  return std::nullopt;
}

void
RateHolder::Return(std::string_view aCustomer, TimePoint aExpiresAt, TimePoint aNow)
{
  const auto found = mAccounts.find(aCustomer);
  if (found != mAccounts.end() && aExpiresAt > aNow) {
    found->second.mTokens.push_back({ 1, aExpiresAt });
  }
}

void
RateHolder::Cancel(std::string_view aCustomer, std::uint64_t aOperation)
{
  const auto found = mAccounts.find(aCustomer);
  if (found != mAccounts.end()) {
    std::erase(found->second.mWaiting, aOperation);
  }
}

void
RateHolder::Decide(Account& aAccount, const TokenDecision& aDecision)
{
  const std::uint64_t operation = aAccount.mWaiting.front();
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
    aAccount.mTokens.push_back({ aGrant.mGranted, expiresAt });
  }
  // Operations that arrived after the request say nothing about the limiter.
  if (aGrant.mGranted < aAccount.mRequestedCount) {
    aAccount.mExhausted[aAccount.mRequestedFrom] = { aNow + kExhaustedPause,
                                                     aNow + aGrant.mWait };
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

void
RateHolder::Advance(const std::string& aCustomer, TimePoint aNow)
{
  Account& account = mAccounts[aCustomer];
  account.mIsAdvancing = true;
  while (account.mRequest == 0 && !account.mWaiting.empty()) {
    if (const auto expiresAt = TakeToken(account, aNow)) {
      Decide(account, { TokenOutcome::Granted, {}, *expiresAt });
      continue;
    }
    const std::vector<std::string> limiters = mHooks.mLimiters(aCustomer, aNow);
    const auto next =
      std::find_if(limiters.begin(), limiters.end(), [&](const std::string& aLimiter) {
        const auto exhausted = account.mExhausted.find(aLimiter);
        const auto lost = mLostAt.find(aLimiter);
        const bool isLost = account.mLost.contains(aLimiter) ||
                            (lost != mLostAt.end() && aNow - lost->second < kLostPause);
        return !isLost && (exhausted == account.mExhausted.end() ||
                           exhausted->second.mPausedUntil <= aNow);
      });
    if (next == limiters.end()) {
      Decide(account, RefusalFor(account, limiters, aNow));
      if (account.mWaiting.empty()) {
        account.mLost.clear();
      }
      continue;
    }
    const std::uint64_t request = mNextRequest++;
    account.mRequest = request;
    account.mRequestedFrom = *next;
    account.mRequestedAt = aNow;
    account.mRequestedCount = static_cast<std::uint32_t>(account.mWaiting.size());
    const TokenRequest message{ aCustomer, account.mRequestedCount };
    if (const auto grant = mHooks.mRequest(*next, message, request, aNow)) {
      AddGrant(account, *grant, aNow);
    } else {
      mRequests[request] = aCustomer;
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
