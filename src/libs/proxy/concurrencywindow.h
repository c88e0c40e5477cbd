#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle::proxy {

/**
 * How many statements this instance may have at a member at once.
 *
 * All instances share the member's slots without asking each other: each lowers its
 * window when answers show a queue at the member, and raises it when they don't.
 */
class ConcurrencyWindow
{
public:
  /**
   * Takes an answer.
   *
   * @param aQueued time that the statement probably waited at the member
   * @param aObjective shortest latency objective of the group's routes
   * @param aSlots statements that the member runs at once
   */
  void OnAnswer(Duration aQueued,
                Duration aObjective,
                std::uint32_t aSlots,
                TimePoint aNow);
  /** Takes a refusal for overload. */
  void OnOverload(TimePoint aNow);

  /** @return the limit, at least 1 */
  [[nodiscard]] std::uint32_t Limit() const { return static_cast<std::uint32_t>(mLimit); }

private:
  void Cut(TimePoint aNow);

  double mLimit = 2;
  /** Smoothed time that statements waited. */
  Duration mQueued{};
  TimePoint mLastCut;
};

} // namespace papayaspindle::proxy
