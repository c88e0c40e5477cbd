#pragma once

#include "core/ids.h"
#include "core/timetypes.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>

namespace papayaspindle {

/** Successive readings without an instance that count as its end. */
constexpr std::size_t kReadingsUntilEnded = 3;
/** The platform's list lags by seconds; readings closer together than this count as one.
 */
constexpr std::chrono::seconds kReadingInterval{ 5 };

/** What the platform's lagging list says about the existence of instances. */
class ListedInstances
{
public:
  /** @param aSelf the reading instance */
  explicit ListedInstances(InstanceId aSelf);

  /**
   * Takes a successful reading. A reading without the reading instance itself is older
   * than that instance and does not count.
   *
   * @param aInstances every instance of the list, live or leaving
   * @param aNow when the answer arrived
   */
  void OnReading(const std::set<InstanceId>& aInstances, TimePoint aNow);

  /** @return whether the last reading names the instance */
  [[nodiscard]] bool IsListed(const InstanceId& aInstance) const;
  /** @return whether the instance is missing from kReadingsUntilEnded successive readings
   */
  [[nodiscard]] bool HasEnded(const InstanceId& aInstance) const;

private:
  InstanceId mSelf;
  std::deque<std::set<InstanceId>> mReadings;
  std::optional<TimePoint> mCountedAt;
};

} // namespace papayaspindle
