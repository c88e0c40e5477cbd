#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>

namespace papayaspindle::standin {

/** The statements that a member runs at once. Thread-safe. */
class StatementSlots
{
public:
  explicit StatementSlots(std::uint32_t aSlots)
    : mFree(aSlots)
  {
  }

  /**
   * Waits for a free slot.
   *
   * @param aEnded asked now and then; true ends the wait
   * @return whether a slot was taken; then Release() gives it back
   */
  bool Acquire(const std::function<bool()>& aEnded);
  void Release();

private:
  std::mutex mMutex;
  std::condition_variable mFreed;
  std::uint32_t mFree;
};

} // namespace papayaspindle::standin
