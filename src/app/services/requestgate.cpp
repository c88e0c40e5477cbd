#include "services/requestgate.h"

#include <condition_variable>
#include <mutex>

namespace papayaspindle {

struct RequestGate::Private
{
  mutable std::mutex mMutex;
  mutable std::condition_variable mIdle;
  std::size_t mInFlight = 0;
  bool mDraining = false;
};

RequestGate::RequestGate()
  : mPrivate(std::make_unique<Private>())
{
}

RequestGate::~RequestGate() = default;

bool
RequestGate::Enter(bool aContinues)
{
  const std::lock_guard lock(mPrivate->mMutex);
  if (mPrivate->mDraining && !aContinues) {
    return false;
  }
  ++mPrivate->mInFlight;
  return true;
}

void
RequestGate::Leave()
{
  const std::lock_guard lock(mPrivate->mMutex);
  if (--mPrivate->mInFlight == 0) {
    mPrivate->mIdle.notify_all();
  }
}

void
RequestGate::StartDrain()
{
  const std::lock_guard lock(mPrivate->mMutex);
  mPrivate->mDraining = true;
}

bool
RequestGate::Draining() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mDraining;
}

std::size_t
RequestGate::InFlight() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mInFlight;
}

bool
RequestGate::WaitUntilIdle(TimePoint aDeadline) const
{
  std::unique_lock lock(mPrivate->mMutex);
  return mPrivate->mIdle.wait_until(
    lock, aDeadline, [this] { return mPrivate->mInFlight == 0; });
}

} // namespace papayaspindle
