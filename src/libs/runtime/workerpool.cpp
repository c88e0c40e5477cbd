#include "runtime/workerpool.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace papayaspindle {

struct WorkerPool::Private
{
  std::string mName;
  std::size_t mMaxQueued = 0;
  mutable std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<std::function<void()>> mTasks;
  std::size_t mRunning = 0;
  bool mStopping = false;
  std::vector<std::thread> mThreads;

  void WorkLoop();
};

void
WorkerPool::Private::WorkLoop()
{
  std::unique_lock lock(mMutex);
  for (;;) {
    mWake.wait(lock, [this] { return mStopping || !mTasks.empty(); });
    if (mTasks.empty()) {
      return;
    }
    std::function<void()> task = std::move(mTasks.front());
    mTasks.pop_front();
    ++mRunning;
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
    --mRunning;
  }
}

WorkerPool::WorkerPool(std::string aName, std::size_t aThreads, std::size_t aMaxQueued)
  : mPrivate(std::make_unique<Private>())
{
  mPrivate->mName = std::move(aName);
  mPrivate->mMaxQueued = aMaxQueued;
  const std::size_t threads = std::max<std::size_t>(aThreads, 1);
  for (std::size_t i = 0; i < threads; ++i) {
    mPrivate->mThreads.emplace_back([this] { mPrivate->WorkLoop(); });
  }
}

WorkerPool::~WorkerPool()
{
  {
    const std::lock_guard lock(mPrivate->mMutex);
    mPrivate->mStopping = true;
  }
  mPrivate->mWake.notify_all();
  for (std::thread& thread : mPrivate->mThreads) {
    thread.join();
  }
}

bool
WorkerPool::Submit(std::function<void()> aTask)
{
  {
    const std::lock_guard lock(mPrivate->mMutex);
    if (mPrivate->mStopping || mPrivate->mTasks.size() >= mPrivate->mMaxQueued) {
      return false;
    }
    mPrivate->mTasks.push_back(std::move(aTask));
  }
  mPrivate->mWake.notify_one();
  return true;
}

std::size_t
WorkerPool::Pending() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mTasks.size() + mPrivate->mRunning;
}

} // namespace papayaspindle
