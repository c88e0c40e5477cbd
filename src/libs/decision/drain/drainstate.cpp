#include "decision/drain/drainstate.h"

namespace papayaspindle {

void
DrainState::Begin(TimePoint aNow)
{
  if (mPhase != DrainPhase::Serving) {
    return;
  }
  mPhase = DrainPhase::Announcing;
  mStartedAt = aNow;
}

DrainPhase
DrainState::Tick(TimePoint aNow, WorkInFlight aWork)
{
  const Duration age = aNow - mStartedAt;
  if (mPhase == DrainPhase::Announcing && age >= mSettings.mAnnounce) {
    mPhase = DrainPhase::Draining;
  }
  if (mPhase == DrainPhase::Draining) {
    const bool idle = aWork.mRequests == 0 && aWork.mOpenTransactions == 0;
    if (idle || age >= mSettings.mDeadline) {
      mPhase = DrainPhase::Stopped;
    }
  }
  return mPhase;
}

bool
DrainState::Accepts(WorkKind aKind) const
{
  switch (mPhase) {
    case DrainPhase::Serving:
    case DrainPhase::Announcing:
      return true;
    case DrainPhase::Draining:
      return aKind != WorkKind::NewRequest;
    case DrainPhase::Stopped:
      return false;
  }
  return false;
}

} // namespace papayaspindle
