#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <optional>

namespace papayaspindle::proxy {

/**
 * Turns times of the store's steady clock into times of this instance's clock.
 *
 * The store's clock shows at most `reading + (now - sent)` at any time, for each reading
 * that answers a request sent at `sent`. The quickest answer of the last minutes gives
 * the closest bound. Rates of clocks differ by little; old bounds are dropped.
 */
class StoreClock
{
public:
  /** Takes a reading of the store's clock. @param aSentAt before the request was sent */
  void Add(std::uint64_t aStoreTimeMs, TimePoint aSentAt);
  /** @return a time at which the store's clock had not passed a reading yet, or nothing
   * before the first reading */
  [[nodiscard]] std::optional<TimePoint> NotAfter(std::uint64_t aStoreTimeMs) const;

private:
  /** Least reading minus sending time, of the current and of the last period. */
  std::optional<Duration> mCurrent;
  std::optional<Duration> mPrevious;
  TimePoint mPeriodSince;
};

} // namespace papayaspindle::proxy
