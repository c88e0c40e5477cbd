#include "decision/membership/pausedetector.h"

namespace papayaspindle {

bool
PauseDetector::Tick(TimePoint aNow)
{
  const bool paused = mLastTick && aNow - *mLastTick > mMaxGap;
  mLastTick = aNow;
  if (paused) {
    mResumedAt = aNow;
  }
  return paused;
}

bool
PauseDetector::IsTickOverdue(TimePoint aNow) const
{
  return mLastTick && aNow - *mLastTick > mMaxGap;
}

void
PauseDetector::RecordAnswer(TimePoint aSentAt)
{
  if (mResumedAt && aSentAt >= *mResumedAt) {
    mResumedAt.reset();
  }
}

} // namespace papayaspindle
