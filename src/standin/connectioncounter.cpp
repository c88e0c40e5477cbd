#include "standin/connectioncounter.h"

#include <algorithm>

namespace papayaspindle::standin {

bool
ConnectionCounter::Enter()
{
  const std::lock_guard lock(mMutex);
  if (mOpen >= mLimit) {
    ++mRefused;
    return false;
  }
  ++mOpen;
  mHighest = std::max(mHighest, mOpen);
  return true;
}

void
ConnectionCounter::Leave()
{
  const std::lock_guard lock(mMutex);
  --mOpen;
}

std::uint32_t
ConnectionCounter::Open() const
{
  const std::lock_guard lock(mMutex);
  return mOpen;
}

std::uint32_t
ConnectionCounter::Highest() const
{
  const std::lock_guard lock(mMutex);
  return mHighest;
}

std::uint64_t
ConnectionCounter::Refused() const
{
  const std::lock_guard lock(mMutex);
  return mRefused;
}

} // namespace papayaspindle::standin
