#pragma once

#include <functional>
#include <memory>

namespace papayaspindle {

/** Hands a task to a pool; returns whether it was accepted. */
using SubmitHook = std::function<bool(std::function<void()>)>;

/**
 * The tasks that one object has on a shared pool.
 *
 * Lets the object wait for them before its members are gone. Thread-safe.
 */
class TaskGroup
{
public:
  explicit TaskGroup(SubmitHook aSubmit);
  /** Stops and waits as Stop() does. */
  ~TaskGroup();

  /** @return whether the task was accepted; false after Stop() */
  bool Submit(std::function<void()> aTask);
  /** Drops the tasks that have not begun and waits for those that run. */
  void Stop();

private:
  struct Private;
  std::shared_ptr<Private> mPrivate;
};

} // namespace papayaspindle
