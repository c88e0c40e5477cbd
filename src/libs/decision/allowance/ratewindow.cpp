#include "decision/allowance/ratewindow.h"

#include <algorithm>
#include <chrono>

namespace papayaspindle {

namespace {

// Parts of the tolerated operations that the bursts of all limiters use together. Tokens
// of 300 ms in a window of 5 s use 0.6 of an overrun of 0.1.
constexpr double kBurstOverrun = 0.3;
constexpr double kBurstSlack = 0.25;
// All of a customer's six limiters may restart within one window; together they use half
// of the slack.
constexpr double kInitialSlack = 1.0 / 12;

} // namespace

RateLimit
PartOfLimiter(const RateLimit& aLimit, const RateWindow& aWindow, std::uint32_t aLimiters)
{
  const double limiters = std::max(aLimiters, 1U);
  const double seconds = std::chrono::duration<double>(aWindow.mWindow).count();
  if (seconds <= 0) {
    return { aLimit.mPerSecond / limiters, aLimit.mBurst / limiters };
  }
  const double permitted = aLimit.mPerSecond * seconds + aLimit.mBurst;
  const double burst =
    permitted * aWindow.mOverrun * kBurstOverrun + aWindow.mSlack * kBurstSlack;
  return { permitted / seconds / limiters, burst / limiters };
}

double
InitialTokens(const RateWindow& aWindow)
{
  return aWindow.mSlack * kInitialSlack;
}

} // namespace papayaspindle
