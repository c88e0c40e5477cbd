#include "proxy/concurrencywindow.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Parts of the latency objective: below the first the member has room, above the second
// too little is left for waiting here and for the work.
constexpr double kClearShare = 0.12;
constexpr double kCongestedShare = 0.3;
constexpr int kSmoothing = 10;
constexpr double kRaise = 0.1;
constexpr double kCutFactor = 0.8;
// Statements sent before a cut still tell of the queue before it.
constexpr Duration kCutSpacing = std::chrono::milliseconds(100);
// Beyond the slots, enough to cover the round trip between zones.
constexpr double kBeyondSlots = 1;

} // namespace

void
ConcurrencyWindow::OnAnswer(Duration aQueued,
                            Duration aObjective,
                            std::uint32_t aSlots,
                            TimePoint aNow)
{
  // One outlier counts no more than a full objective.
  mQueued += (std::clamp(aQueued, Duration::zero(), aObjective) - mQueued) / kSmoothing;
  if (mQueued > aObjective * kCongestedShare) {
    Cut(aNow);
  } else if (mQueued < aObjective * kClearShare) {
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
