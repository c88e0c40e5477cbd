#pragma once

#include "core/timetypes.h"

#include <chrono>

namespace papayaspindle {

/** @return the deadline on the clock that gRPC takes deadlines from */
inline std::chrono::system_clock::time_point
SystemTime(TimePoint aDeadline)
{
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(aDeadline -
                                                                         Clock::now());
}

} // namespace papayaspindle
