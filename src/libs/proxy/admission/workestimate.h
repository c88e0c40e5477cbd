#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle::proxy {

/** Estimates the time that statements of one kind take at a member, excluding queue time.
 */
class WorkEstimate
{
public:
  /** @param aTook time between sending a statement and receiving its answer */
  void Add(Duration aTook);
  /** @return lower quartile of the times, which is little affected by queues */
  [[nodiscard]] Duration LowerQuartile() const { return mLowerQuartile; }
  /** @return approximate mean of the times without queueing */
  [[nodiscard]] Duration Mean() const;
  /** @return estimated queue time of a statement that took aTook; negative when the
   * statement was faster than the mean */
  [[nodiscard]] Duration QueueTimeOf(Duration aTook) const;

private:
  Duration mLowerQuartile{};
  std::uint32_t mSamples = 0;
};

} // namespace papayaspindle::proxy
