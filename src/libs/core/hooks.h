#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <functional>

namespace papayaspindle {

/** Returns the current monotonic time; tests pass a manual clock. */
using NowHook = std::function<TimePoint()>;

/** Returns a random 64-bit number; tests pass a generator with a fixed seed. */
using RandomHook = std::function<std::uint64_t()>;

/** Pauses the calling thread; tests pass a function that advances a manual clock. */
using PauseHook = std::function<void(Duration)>;

} // namespace papayaspindle
