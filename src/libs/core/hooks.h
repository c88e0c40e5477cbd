#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <functional>

namespace papayaspindle {

/** Source of monotonic time; tests pass a manual clock. */
using NowHook = std::function<TimePoint()>;

/** Source of random 64-bit numbers; tests pass a seeded one. */
using RandomHook = std::function<std::uint64_t()>;

/** Pauses the calling thread; tests pass one that advances a manual clock. */
using PauseHook = std::function<void(Duration)>;

} // namespace papayaspindle
