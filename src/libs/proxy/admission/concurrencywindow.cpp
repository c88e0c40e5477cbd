#include "proxy/admission/concurrencywindow.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Smoothed queue time as a fraction of the latency objective. Below the first value, the
// member has spare capacity. Above the second, too little of the objective is left for
// the wait at this instance and for running the statement.
constexpr double kGrowthQueueShare = 0.12;
constexpr double kCutQueueShare = 0.3;
constexpr int kQueueTimeSmoothing = 10;
constexpr double kRaiseStep = 0.1;
constexpr double kCutFactor = 0.8;
// Answers to statements that were sent before a cut still reflect the queue before that
// cut.
constexpr Duration kMinCutInterval = std::chrono::milliseconds(100);
// Statements beyond the number of slots; covers the round trip between availability
// zones.
constexpr double kExtraStatements = 1;

} // namespace

void
ConcurrencyWindow::OnAnswer(Duration aQueueTime,
                            Duration aObjective,
                            std::uint32_t aSlots,
                            TimePoint aNow)
{
  // The queue time is capped at the objective to limit the effect of an outlier.
  mSmoothedQueueTime +=
    (std::clamp(aQueueTime, Duration::zero(), aObjective) - mSmoothedQueueTime) /
    kQueueTimeSmoothing;
  if (mSmoothedQueueTime > aObjective * kCutQueueShare) {
    Cut(aNow);
  } else if (mSmoothedQueueTime < aObjective * kGrowthQueueShare) {
    mLimit =
      std::min(mLimit + kRaiseStep, static_cast<double>(aSlots) + kExtraStatements);
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
  if (aNow - mLastCut < kMinCutInterval) {
    return;
  }
  mLastCut = aNow;
  mLimit = std::max(mLimit * kCutFactor, 1.0);
}

} // namespace papayaspindle::proxy
