#pragma once

#include "decision/allowance/rateledger.h"
#include "decision/allowance/ratewindow.h"
#include "proxy/customers/limitertable.h"

#include <optional>

namespace papayaspindle::proxy {

/** Limiter state of an instance. */
struct LimiterState
{
  LimiterTable& mLimiters;
  RateLedger& mLedger;
};

/**
 * Decides on a request for tokens at a limiter.
 *
 * @param aLimit the customer's rate limit; nothing for an unknown or unlimited customer
 * @return grant from this limiter's part of the limit; nothing while this instance must
 * not grant tokens of the customer
 */
std::optional<TokenGrant> GrantTokens(LimiterState aState,
                                      const TokenRequest& aRequest,
                                      const std::optional<RateLimit>& aLimit,
                                      const RateWindow& aWindow,
                                      TimePoint aNow);

} // namespace papayaspindle::proxy
