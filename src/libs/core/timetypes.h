#pragma once

#include <chrono>

namespace papayaspindle {

/** Monotonic clock of one process; never compared between processes. */
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

} // namespace papayaspindle
