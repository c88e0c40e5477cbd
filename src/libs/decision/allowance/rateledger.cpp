#include "decision/allowance/rateledger.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace papayaspindle {

namespace {

// Wait that is reported for a customer whose limit is zero.
constexpr Duration kMaxWait = std::chrono::seconds(5);

} // namespace

RateLedger::RateLedger(double aInitialTokens)
  : mInitialTokens(aInitialTokens)
{
}

TokenGrant
RateLedger::Grant(const TokenRequest& aRequest,
                  const RateLimit& aPart,
                  TimePoint aInChargeSince,
                  TimePoint aNow)
{
  const auto [entry, isNew] = mBuckets.try_emplace(aRequest.mCustomer);
  Bucket& bucket = entry->second;
  if (isNew) {
    bucket.mTokens = mInitialTokens;
    bucket.mFilledAt = std::min(aInChargeSince, aNow);
  }
  const double seconds =
    std::max(std::chrono::duration<double>(aNow - bucket.mFilledAt).count(), 0.0);
  bucket.mTokens =
    std::min(bucket.mTokens + seconds * aPart.mPerSecond, aPart.mBurst + mInitialTokens);
  bucket.mFilledAt = std::max(bucket.mFilledAt, aNow);
  TokenGrant grant;
  grant.mGranted =
    std::min(aRequest.mCount, static_cast<std::uint32_t>(std::floor(bucket.mTokens)));
  bucket.mTokens -= grant.mGranted;
  if (grant.mGranted < aRequest.mCount) {
    const double missing = 1 - std::min(bucket.mTokens, 1.0);
    const double wait = aPart.mPerSecond > 0
                          ? missing / aPart.mPerSecond
                          : std::chrono::duration<double>(kMaxWait).count();
    grant.mWait =
      std::min(kMaxWait,
               std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)));
  }
  return grant;
}

void
RateLedger::RemoveIf(const std::function<bool(std::string_view aCustomer)>& aIsRemovable)
{
  std::erase_if(mBuckets, [&](const auto& aEntry) { return aIsRemovable(aEntry.first); });
}

} // namespace papayaspindle
