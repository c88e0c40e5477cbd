#pragma once

#include "core/timetypes.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace papayaspindle {

/** Upper limit (30 s) for the waits that another instance sends. */
constexpr std::chrono::microseconds kMaxReceivedWait = std::chrono::seconds(30);

/** @return whole microseconds of a duration; 0 for a negative one */
inline std::uint64_t
ToMicroseconds(Duration aDuration)
{
  const auto count =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

/** @return received duration; one above the limit is treated as equal to it, because it
 * could overflow when it is added to a time */
inline Duration
FromMicroseconds(std::uint64_t aMicroseconds, std::chrono::microseconds aLimit)
{
  return std::chrono::microseconds(
    std::min(aMicroseconds, static_cast<std::uint64_t>(aLimit.count())));
}

} // namespace papayaspindle
