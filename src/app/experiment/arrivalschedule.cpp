#include "experiment/arrivalschedule.h"

#include <cmath>

namespace papayaspindle::experiment {

namespace {

/** The same on every platform, unlike std::exponential_distribution. */
double
UnitInterval(std::mt19937_64& aRandom)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  constexpr int kUnusedBits = 11;
  return static_cast<double>(aRandom() >> kUnusedBits) * kScale;
}

} // namespace

ArrivalSchedule::ArrivalSchedule(const ArrivalOptions& aOptions, TimePoint aStart)
  : mOptions(aOptions)
  , mStart(aStart)
  , mRandom(aOptions.mSeed)
{
}

std::optional<Arrival>
ArrivalSchedule::Next(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  TimePoint intended = aNow;
  if (mOptions.mRate > 0) {
    // Equal pauses are not summed up, so that rounding adds no request at the end.
    const std::chrono::duration<double> equal(static_cast<double>(mNextIndex) /
                                              mOptions.mRate);
    intended =
      mStart + std::chrono::duration_cast<Duration>(mOptions.mPoisson ? mOffset : equal);
    mOffset +=
      std::chrono::duration<double>(-std::log1p(-UnitInterval(mRandom)) / mOptions.mRate);
  }
  if (intended >= mStart + mOptions.mLength) {
    return std::nullopt;
  }
  return Arrival{ mNextIndex++, intended };
}

} // namespace papayaspindle::experiment
