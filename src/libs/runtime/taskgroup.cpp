#include "runtime/taskgroup.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>

namespace papayaspindle {

struct TaskGroup::Private
{
  SubmitHook mSubmit;
  std::mutex mMutex;
  std::condition_variable mIdle;
  std::size_t mRunning = 0;
  bool mStopped = false;

  bool Begin()
  {
    const std::lock_guard lock(mMutex);
    mRunning += mStopped ? 0 : 1;
    return !mStopped;
  }

  void End()
  {
    const std::lock_guard lock(mMutex);
    if (--mRunning == 0) {
      mIdle.notify_all();
    }
  }
};

TaskGroup::TaskGroup(SubmitHook aSubmit)
  : mPrivate(std::make_shared<Private>())
{
  mPrivate->mSubmit = std::move(aSubmit);
}

TaskGroup::~TaskGroup()
{
  Stop();
}

bool
TaskGroup::Submit(std::function<void()> aTask)
{
  {
    const std::lock_guard lock(mPrivate->mMutex);
    if (mPrivate->mStopped) {
      return false;
    }
  }
  // The pool may start the task after this group was destroyed. The shared state outlives
  // the group and skips the task then.
  return mPrivate->mSubmit([state = mPrivate, task = std::move(aTask)] {
    if (state->Begin()) {
      task();
      state->End();
    }
  });
}

void
TaskGroup::Stop()
{
  std::unique_lock lock(mPrivate->mMutex);
  mPrivate->mStopped = true;
  mPrivate->mIdle.wait(lock, [this] { return mPrivate->mRunning == 0; });
}

} // namespace papayaspindle
