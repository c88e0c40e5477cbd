#include "proxy/customers/tokengranting.h"

namespace papayaspindle::proxy {

std::optional<TokenGrant>
GrantTokens(LimiterState aState,
            const TokenRequest& aRequest,
            const std::optional<RateLimit>& aLimit,
            const RateWindow& aWindow,
            TimePoint aNow)
{
  aState.mLimiters.OnActivity(aNow);
  const auto since = aState.mLimiters.InChargeSince(aRequest.mCustomer, aNow);
  if (!aLimit || !since) {
    return std::nullopt;
  }
  const RateLimit part = PartOfLimiter(
    *aLimit, aWindow, aState.mLimiters.LimiterCount(aRequest.mCustomer, aNow));
  return aState.mLedger.Grant(aRequest, part, *since, aNow);
}

} // namespace papayaspindle::proxy
