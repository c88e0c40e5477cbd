#include "proxy/admission/workestimate.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Ratio of downward to upward steps at which the estimate converges to the lower
// quartile.
constexpr double kDownStepFactor = 3;
constexpr double kSettlingStep = 0.02;
constexpr double kSettledStep = 0.001;
// Times vary widely: their mean is about twice their lower quartile.
constexpr int kMeanPerQuartile = 2;
// Number of samples during which larger steps let the estimate settle.
constexpr std::uint32_t kSettlingSamples = 150;

} // namespace

void
WorkEstimate::Add(Duration aTook)
{
  if (mSamples == 0) {
    mLowerQuartile = aTook;
  }
  const double step = mSamples < kSettlingSamples ? kSettlingStep : kSettledStep;
  mSamples++;
  const double factor = aTook > mLowerQuartile ? 1 + step : 1 - step * kDownStepFactor;
  mLowerQuartile = std::chrono::duration_cast<Duration>(mLowerQuartile * factor);
}

Duration
WorkEstimate::Mean() const
{
  return mLowerQuartile * kMeanPerQuartile;
}

Duration
WorkEstimate::QueueTimeOf(Duration aTook) const
{
  return aTook - Mean();
}

} // namespace papayaspindle::proxy
