#pragma once

#include <functional>
#include <memory>

namespace papayaspindle {

/** Submits a task to a thread pool; returns whether the task was accepted. */
using SubmitHook = std::function<bool(std::function<void()>)>;

/**
 * The tasks that one object has submitted to a shared thread pool.
 *
 * The object can wait for its tasks before it is destroyed. Thread-safe.
 */
class TaskGroup
{
public:
  explicit TaskGroup(SubmitHook aSubmit);
  /** Calls Stop(). */
  ~TaskGroup();

  /** @return whether the task was accepted; false after Stop() */
  bool Submit(std::function<void()> aTask);
  /** Drops tasks that have not started and waits for running tasks to finish. */
  void Stop();

private:
  struct Private;
  std::shared_ptr<Private> mPrivate;
};

} // namespace papayaspindle
