#pragma once

#include <chrono>

namespace papayaspindle {

/** Monotonic clock. Its time points must not be compared between processes. */
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

} // namespace papayaspindle
