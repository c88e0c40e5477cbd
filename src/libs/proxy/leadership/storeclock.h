#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <optional>

namespace papayaspindle::proxy {

/**
 * Converts times of the store's steady clock into times of this instance's clock.
 *
 * For each reading of the store's clock in the answer to a request sent at `sent`, the
 * store's clock shows at most `reading + (now - sent)` at any time. The fastest answer of
 * the last minutes gives the tightest bound. Older bounds are dropped, because the clocks
 * run at slightly different rates.
 */
class StoreClock
{
public:
  /**
   * Adds a reading of the store's clock.
   *
   * @param aStoreTimeMs the reading, in milliseconds
   * @param aSentAt time of this instance's clock before the request was sent
   */
  void Add(std::uint64_t aStoreTimeMs, TimePoint aSentAt);
  /** @return the earliest time of this instance's clock at which the store's clock can
   * have shown aStoreTimeMs, or nothing before the first reading */
  [[nodiscard]] std::optional<TimePoint> EarliestLocalTime(
    std::uint64_t aStoreTimeMs) const;

private:
  /** Minimum of reading minus sending time in the current and in the previous period. */
  std::optional<Duration> mCurrent;
  std::optional<Duration> mPrevious;
  TimePoint mPeriodStartedAt;
};

} // namespace papayaspindle::proxy
