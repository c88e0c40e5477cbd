#pragma once

#include "core/timetypes.h"
#include "decision/allowance/ratelimit.h"

#include <cstdint>

namespace papayaspindle {

/** How the platform checks rate limits: in any sliding window, a customer may run
 * (rate x window + burst) x (1 + overrun) + slack operations. */
struct RateWindow
{
  /** 0 if the platform checks no windows. */
  Duration mWindow{};
  double mOverrun = 0;
  double mSlack = 0;
};

/**
 * Computes a limiter's part of a customer's limit.
 *
 * Over a window, the limit permits rate x window + burst operations, also if the customer
 * asks for more all the time. The part therefore refills at this average. Its burst uses
 * a fraction of the tolerated overrun, which tokens that are used at the end of their
 * lifetime and restarted limiters need as well.
 *
 * @param aLimiters number of limiters that share the limit, at least 1
 */
RateLimit PartOfLimiter(const RateLimit& aLimit,
                        const RateWindow& aWindow,
                        std::uint32_t aLimiters);

/** @return tokens in the bucket of a limiter that has just started */
double InitialTokens(const RateWindow& aWindow);

} // namespace papayaspindle
