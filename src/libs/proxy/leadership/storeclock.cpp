#include "proxy/leadership/storeclock.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Clocks of two machines drift apart by up to 100 us per second: 12 ms in two periods.
constexpr Duration kPeriod = std::chrono::seconds(60);

} // namespace

void
StoreClock::Add(std::uint64_t aStoreTimeMs, TimePoint aSentAt)
{
  // The reading is rounded down to whole milliseconds.
  const Duration ahead =
    std::chrono::milliseconds(aStoreTimeMs + 1) - aSentAt.time_since_epoch();
  if (mCurrent && aSentAt - mPeriodStartedAt < kPeriod) {
    mCurrent = std::min(*mCurrent, ahead);
    return;
  }
  mPrevious = mCurrent;
  mCurrent = ahead;
  mPeriodStartedAt = aSentAt;
}

std::optional<TimePoint>
StoreClock::EarliestLocalTime(std::uint64_t aStoreTimeMs) const
{
  if (!mCurrent) {
    return std::nullopt;
  }
  const Duration ahead = mPrevious ? std::min(*mCurrent, *mPrevious) : *mCurrent;
  return TimePoint(std::chrono::milliseconds(aStoreTimeMs) - ahead);
}

} // namespace papayaspindle::proxy
