#include "decision/membership/pausedetector.h"

namespace papayaspindle {

bool
PauseDetector::Tick(TimePoint aNow)
{
  const bool paused = mLastTick && aNow - *mLastTick > mGap;
  mLastTick = aNow;
  if (paused) {
    mResumed = aNow;
  }
  return paused;
}

bool
PauseDetector::IsOverdue(TimePoint aNow) const
{
  return mLastTick && aNow - *mLastTick > mGap;
}

void
PauseDetector::NoteAnswer(TimePoint aSent)
{
  if (mResumed && aSent >= *mResumed) {
    mResumed.reset();
  }
}

} // namespace papayaspindle
