#include "proxy/concurrencywindow.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Times spread widely: without a queue the mean is about twice the lower quartile.
constexpr double kClearRatio = 3;
constexpr double kCongestedRatio = 5;
constexpr double kHighestRatio = 20;
constexpr double kSmoothing = 0.1;
constexpr double kRaise = 0.1;
constexpr double kCutFactor = 0.8;
// Statements sent before a cut still tell of the queue before it.
constexpr Duration kCutSpacing = std::chrono::milliseconds(100);
// Beyond the slots, enough to cover the round trip between zones.
constexpr double kBeyondSlots = 1;

} // namespace

void
ConcurrencyWindow::OnAnswer(double aRatio, std::uint32_t aSlots, TimePoint aNow)
{
  mRatio += (std::min(aRatio, kHighestRatio) - mRatio) * kSmoothing;
  if (mRatio > kCongestedRatio) {
    Cut(aNow);
  } else if (mRatio < kClearRatio) {
    mLimit = std::min(mLimit + kRaise, static_cast<double>(aSlots) + kBeyondSlots);
  }
}

void
ConcurrencyWindow::OnOverload(TimePoint aNow)
{
  Cut(aNow);
}

void
ConcurrencyWindow::Cut(TimePoint aNow)
{
  if (aNow - mLastCut < kCutSpacing) {
    return;
  }
  mLastCut = aNow;
  mLimit = std::max(mLimit * kCutFactor, 1.0);
}

} // namespace papayaspindle::proxy
