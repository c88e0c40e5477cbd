#include "controlbench/spreadrecorder.h"

#include <utility>

namespace papayaspindle {

void
SpreadSamples::Add(double aMilliseconds)
{
  const std::lock_guard lock(mMutex);
  mSamples.push_back(aMilliseconds);
}

std::vector<double>
SpreadSamples::Take()
{
  const std::lock_guard lock(mMutex);
  return std::exchange(mSamples, {});
}

SpreadRecorder::SpreadRecorder(const BenchPlatform& aPlatform, SpreadSamples& aSamples)
  : mPlatform(aPlatform)
  , mSamples(aSamples)
{
}

bool
SpreadRecorder::OfferSettings(const GroupSettings& aSettings)
{
  const bool taken = GroupTable::OfferSettings(aSettings);
  const auto accepted = mPlatform.AcceptedAt(aSettings.mRevision);
  if (taken && accepted) {
    const std::chrono::duration<double, std::milli> spread = Clock::now() - *accepted;
    mSamples.Add(spread.count());
  }
  return taken;
}

} // namespace papayaspindle
