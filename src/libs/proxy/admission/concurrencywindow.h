#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle::proxy {

/**
 * Limits the number of statements that this instance runs concurrently at a member.
 *
 * All instances share the member's slots without coordination: each lowers its limit when
 * answers indicate a queue at the member, and raises it when they do not.
 */
class ConcurrencyWindow
{
public:
  /**
   * Adjusts the limit after an answer.
   *
   * @param aQueueTime estimated time that the statement waited at the member
   * @param aObjective shortest latency objective of the group's routes
   * @param aSlots number of statements that the member runs concurrently
   */
  void OnAnswer(Duration aQueueTime,
                Duration aObjective,
                std::uint32_t aSlots,
                TimePoint aNow);
  /** Lowers the limit after the member has refused a statement because of overload. */
  void OnOverload(TimePoint aNow);

  /** @return maximum number of concurrent statements, at least 1 */
  [[nodiscard]] std::uint32_t Limit() const { return static_cast<std::uint32_t>(mLimit); }

private:
  void Cut(TimePoint aNow);

  double mLimit = 2;
  /** Smoothed queue time of statements at the member. */
  Duration mSmoothedQueueTime{};
  TimePoint mLastCut;
};

} // namespace papayaspindle::proxy
