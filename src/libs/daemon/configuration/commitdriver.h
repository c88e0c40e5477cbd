#pragma once

#include "core/hooks.h"
#include "decision/configuration/commitrun.h"

#include <chrono>
#include <cstdint>
#include <functional>

namespace papayaspindle {

class ConfigurationStore;

/** Times of one operator call. */
struct CommitTimes
{
  std::chrono::milliseconds mCall{ 500 };
  std::chrono::milliseconds mTotal{ 3000 };
  /** Before a read is tried again. */
  std::chrono::milliseconds mRetryPause{ 50 };
};

/** Returns the wall clock in milliseconds since 1970; for metrics only. */
using UnixMsHook = std::function<std::uint64_t()>;

/** Carries out a CommitRun against the store, within the time of an operator call. */
class CommitDriver
{
public:
  CommitDriver(ConfigurationStore& aStore,
               CommitTimes aTimes,
               NowHook aNow,
               UnixMsHook aUnixMs,
               PauseHook aPause);

  /** Blocks until the change is accepted, refused or out of time. Thread-safe. */
  CommitFinished Commit(const ChangeRequest& aRequest);

private:
  CommitAction Read(const ChangeRequest& aRequest, CommitRun& aRun, TimePoint aDeadline);
  CommitAction Transact(const TransactChange& aTransact,
                        CommitRun& aRun,
                        TimePoint aDeadline);
  std::chrono::milliseconds Remaining(TimePoint aDeadline) const;

  ConfigurationStore& mStore;
  CommitTimes mTimes;
  NowHook mNow;
  UnixMsHook mUnixMs;
  PauseHook mPause;
};

} // namespace papayaspindle
