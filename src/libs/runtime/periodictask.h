#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace papayaspindle {

/** Calls a function periodically on its own thread until the task is destroyed. */
class PeriodicTask
{
public:
  /**
   * @param aInterval time between the starts of two calls. If a call takes longer, the
   * next one starts immediately after it.
   * @param aCall the function; must not throw
   */
  PeriodicTask(std::chrono::milliseconds aInterval, std::function<void()> aCall);
  /** Waits for a running call to return. */
  ~PeriodicTask();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
