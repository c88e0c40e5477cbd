#pragma once

#include "core/timetypes.h"

#include <optional>

namespace papayaspindle {

/**
 * Detects pauses of this process from gaps between ticks.
 *
 * The state from before a pause may be out of date. Therefore this instance must not act
 * as keeper until a peer has answered a probe that was sent after the pause.
 */
class PauseDetector
{
public:
  explicit PauseDetector(Duration aMaxGap)
    : mMaxGap(aMaxGap)
  {
  }

  /**
   * @param aNow time of this tick
   * @return whether a pause ended with this tick
   */
  bool Tick(TimePoint aNow);
  /** @param aSentAt send time of the probe that a peer has answered */
  void RecordAnswer(TimePoint aSentAt);
  /** @return whether a pause has just ended and the next tick has not run yet */
  [[nodiscard]] bool IsTickOverdue(TimePoint aNow) const;
  /** @return when the last pause ended, or nothing if a peer has answered since */
  [[nodiscard]] std::optional<TimePoint> UnconfirmedSince() const { return mResumedAt; }

private:
  Duration mMaxGap;
  std::optional<TimePoint> mLastTick;
  std::optional<TimePoint> mResumedAt;
};

} // namespace papayaspindle
