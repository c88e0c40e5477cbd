#include "proxy/leadership/storeclock.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Clocks of machines differ by up to about 100 us a second: 12 ms in two periods.
constexpr Duration kPeriod = std::chrono::seconds(60);

} // namespace

void
StoreClock::Add(std::uint64_t aStoreTimeMs, TimePoint aSentAt)
{
  // The reading is in whole milliseconds.
  const Duration ahead =
    std::chrono::milliseconds(aStoreTimeMs + 1) - aSentAt.time_since_epoch();
  if (mCurrent && aSentAt - mPeriodSince < kPeriod) {
    mCurrent = std::min(*mCurrent, ahead);
    return;
  }
  mPrevious = mCurrent;
  mCurrent = ahead;
  mPeriodSince = aSentAt;
}

std::optional<TimePoint>
StoreClock::NotAfter(std::uint64_t aStoreTimeMs) const
{
  if (!mCurrent) {
    return std::nullopt;
  }
  const Duration ahead = mPrevious ? std::min(*mCurrent, *mPrevious) : *mCurrent;
  return TimePoint(std::chrono::milliseconds(aStoreTimeMs) - ahead);
}

} // namespace papayaspindle::proxy
