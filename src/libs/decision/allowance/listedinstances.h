#pragma once

#include "core/ids.h"
#include "core/timetypes.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>

namespace papayaspindle {

/** An instance has ended when it is missing from this many successive readings. */
constexpr std::size_t kReadingsUntilEnded = 3;
/** Readings closer together than this count as one, because the platform's list lags by
 * seconds. */
constexpr std::chrono::seconds kReadingInterval{ 5 };

/** Determines which instances have ended from readings of the platform's instance list,
 * which lags behind the real state. */
class ListedInstances
{
public:
  /** @param aSelf the instance that reads the list */
  explicit ListedInstances(InstanceId aSelf);

  /**
   * Adds a successful reading of the list. A reading that does not contain this instance
   * is older than the instance itself and is ignored.
   *
   * @param aInstances all instances in the list, live or leaving
   * @param aNow when the list arrived
   */
  void OnReading(const std::set<InstanceId>& aInstances, TimePoint aNow);

  /** @return whether the latest reading contains the instance */
  [[nodiscard]] bool IsListed(const InstanceId& aInstance) const;
  /** @return whether the instance is missing from the last kReadingsUntilEnded readings
   */
  [[nodiscard]] bool HasEnded(const InstanceId& aInstance) const;

private:
  InstanceId mSelf;
  std::deque<std::set<InstanceId>> mReadings;
  std::optional<TimePoint> mLastSeparateReadingAt;
};

} // namespace papayaspindle
