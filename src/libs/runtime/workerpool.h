#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace papayaspindle {

/** A fixed number of threads that run tasks in order of arrival. Thread-safe. */
class WorkerPool
{
public:
  /**
   * @param aName for logs
   * @param aThreads number of threads, at least 1
   * @param aMaxQueued tasks that may wait; more are refused
   */
  WorkerPool(std::string aName, std::size_t aThreads, std::size_t aMaxQueued);
  /** Runs every accepted task, then joins the threads. */
  ~WorkerPool();

  /** @return whether the task was accepted; false when the queue is full or the pool
   * stops */
  bool Submit(std::function<void()> aTask);
  /** @return tasks that wait or run */
  [[nodiscard]] std::size_t Pending() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
