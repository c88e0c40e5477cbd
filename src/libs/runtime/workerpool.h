#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace papayaspindle {

/** A fixed number of threads that run tasks in the order of submission. Thread-safe. */
class WorkerPool
{
public:
  /**
   * @param aName name of the pool
   * @param aThreads number of threads; at least one thread is started
   * @param aMaxQueued maximum number of waiting tasks; further tasks are refused
   */
  WorkerPool(std::string aName, std::size_t aThreads, std::size_t aMaxQueued);
  /** Runs all accepted tasks, then joins the threads. */
  ~WorkerPool();

  /** @return whether the task was accepted; false when the queue is full or the pool is
   * being destroyed */
  bool Submit(std::function<void()> aTask);
  /** @return number of waiting and running tasks */
  [[nodiscard]] std::size_t Pending() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
