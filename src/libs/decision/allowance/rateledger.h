#pragma once

#include "core/timetypes.h"
#include "decision/allowance/ratelimit.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace papayaspindle {

/** An instance's request for tokens, each of which permits one operation of a customer.
 */
struct TokenRequest
{
  std::string mCustomer;
  std::uint32_t mCount = 0;
};

/** A limiter's answer to a request for tokens. */
struct TokenGrant
{
  std::uint32_t mGranted = 0;
  /** Time until a further token may be available; only meaningful when fewer tokens were
   * granted than requested. */
  Duration mWait{};
};

/**
 * Token buckets of a limiter: its part of each customer's rate limit.
 *
 * Several limiters share a customer, and none knows what the others grant, so the sum of
 * their parts is the limit. All times are on a clock that also counts while the machine
 * is suspended.
 */
class RateLedger
{
public:
  /** @param aInitialTokens tokens in a new bucket. They are few, because the limiter that
   * held the part before may have granted a whole burst just now. */
  explicit RateLedger(double aInitialTokens);

  /**
   * Grants as many of the requested tokens as the customer's bucket holds.
   *
   * @param aPart this limiter's part of the customer's limit
   * @param aInChargeSince since when this process has been a limiter of the customer
   */
  TokenGrant Grant(const TokenRequest& aRequest,
                   const RateLimit& aPart,
                   TimePoint aInChargeSince,
                   TimePoint aNow);

  /** Removes the buckets of customers of which this instance is no limiter any more. */
  void RemoveIf(const std::function<bool(std::string_view aCustomer)>& aIsRemovable);

  /** @return number of customers with a bucket */
  [[nodiscard]] std::size_t size() const { return mBuckets.size(); }

private:
  struct Bucket
  {
    double mTokens = 0;
    TimePoint mFilledAt;
  };

  double mInitialTokens;
  std::map<std::string, Bucket, std::less<>> mBuckets;
};

} // namespace papayaspindle
