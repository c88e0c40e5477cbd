#pragma once

#include "core/hooks.h"

#include <functional>

namespace papayaspindle {

/** Pauses the calling thread; tests pass one that advances a manual clock. */
using PauseHook = std::function<void(Duration)>;

/** Sources of time and random numbers for the data path. */
struct StatementHooks
{
  NowHook mNow;
  PauseHook mPause;
  RandomHook mRandom;
};

/** @return hooks on the monotonic clock, the thread's sleep and a random device */
StatementHooks SystemStatementHooks();

} // namespace papayaspindle
