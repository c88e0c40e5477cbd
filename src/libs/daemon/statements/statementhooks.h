#pragma once

#include "core/hooks.h"

namespace papayaspindle {

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
