#include "runtime/periodictask.h"

#include "core/timetypes.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace papayaspindle {

struct PeriodicTask::Private
{
  std::chrono::milliseconds mInterval{};
  std::function<void()> mFunction;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  std::thread mThread;

  void Loop();
};

void
PeriodicTask::Private::Loop()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    const TimePoint next = Clock::now() + mInterval;
    lock.unlock();
    mFunction();
    lock.lock();
    mWake.wait_until(lock, next, [this] { return mStopping; });
  }
}

PeriodicTask::PeriodicTask(std::chrono::milliseconds aInterval,
                           std::function<void()> aCall)
  : mPrivate(std::make_unique<Private>())
{
  mPrivate->mInterval = aInterval;
  mPrivate->mFunction = std::move(aCall);
  mPrivate->mThread = std::thread([this] { mPrivate->Loop(); });
}

PeriodicTask::~PeriodicTask()
{
  {
    const std::lock_guard lock(mPrivate->mMutex);
    mPrivate->mStopping = true;
  }
  mPrivate->mWake.notify_all();
  mPrivate->mThread.join();
}

} // namespace papayaspindle
