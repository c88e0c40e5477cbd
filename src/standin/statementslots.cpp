#include "standin/statementslots.h"

#include <chrono>

namespace papayaspindle::standin {

namespace {

/** How often a waiting statement looks whether its connection ended. */
constexpr std::chrono::milliseconds kEndedPoll{ 20 };

} // namespace

bool
StatementSlots::Acquire(const std::function<bool()>& aEnded)
{
  std::unique_lock lock(mMutex);
  while (mFree == 0) {
    if (aEnded()) {
      return false;
    }
    mFreed.wait_for(lock, kEndedPoll);
  }
  --mFree;
  return true;
}

void
StatementSlots::Release()
{
  {
    const std::lock_guard lock(mMutex);
    ++mFree;
  }
  mFreed.notify_one();
}

} // namespace papayaspindle::standin
