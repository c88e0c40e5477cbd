#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle {

/** What this instance may hold of a group's connections, checked at each use. */
struct GroupAllowance
{
  std::uint32_t mFloor = 0;
  std::uint32_t mLease = 0;
  TimePoint mLeaseEnd;

  /** @return connections that may be open at aNow */
  [[nodiscard]] std::uint32_t At(TimePoint aNow) const
  {
    return mFloor + (aNow < mLeaseEnd ? mLease : 0);
  }
};

} // namespace papayaspindle
