#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle::proxy {

/** Follows the time that statements of one sort take at a member without a queue. */
class WorkEstimate
{
public:
  /** @param aTook time from sending a statement to its answer */
  void Add(Duration aTook);
  /** @return the lower quartile of the times, which queues hardly touch */
  [[nodiscard]] Duration Base() const { return mBase; }
  /** @return how many times the base a statement took; 1 before the first */
  [[nodiscard]] double RatioOf(Duration aTook) const;

private:
  Duration mBase{};
  std::uint32_t mSamples = 0;
};

} // namespace papayaspindle::proxy
