#pragma once

#include "core/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace papayaspindle::proxy {

/** What a prediction of the wait considers of a member that can run an operation. */
struct MemberThroughput
{
  /** Number of statements that this instance runs concurrently at the member. */
  std::uint32_t mLimit = 1;
  /** Smoothed time from sending a statement to its answer. */
  Duration mServiceTime{};

  /** @return number of statements per second that this instance can complete */
  [[nodiscard]] double PerSecond() const;
};

/**
 * @param aAhead number of operations that are dispatched earlier
 * @return predicted time until a candidate can run an operation, or nothing when there is
 * no candidate
 */
std::optional<Duration> PredictWait(std::size_t aAhead,
                                    std::span<const MemberThroughput> aCandidates);

} // namespace papayaspindle::proxy
