#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace papayaspindle {

/** Calls a function on a thread of its own, one call at a time, until it is destroyed. */
class PeriodicTask
{
public:
  /**
   * @param aInterval pause between the starts of two calls; a late call delays the next
   * @param aCall must not throw
   */
  PeriodicTask(std::chrono::milliseconds aInterval, std::function<void()> aCall);
  /** Waits for a running call. */
  ~PeriodicTask();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
