#pragma once

#include "core/timetypes.h"

#include <optional>

namespace papayaspindle {

/**
 * Notices that this process was paused.
 *
 * Whatever it believed before the pause may be out of date, so it must not act as keeper
 * until a peer answered a probe that was sent after the pause.
 */
class PauseDetector
{
public:
  explicit PauseDetector(Duration aGap)
    : mGap(aGap)
  {
  }

  /**
   * @param aNow time of this tick
   * @return whether a pause ended with this tick
   */
  bool Tick(TimePoint aNow);
  /** @param aSent when the probe that a peer answered was sent */
  void NoteAnswer(TimePoint aSent);
  /** @return whether a pause ended just now and its tick has not run yet */
  [[nodiscard]] bool IsOverdue(TimePoint aNow) const;
  /** @return when the last pause ended, until a peer answered */
  [[nodiscard]] std::optional<TimePoint> UnconfirmedSince() const { return mResumed; }

private:
  Duration mGap;
  std::optional<TimePoint> mLastTick;
  std::optional<TimePoint> mResumed;
};

} // namespace papayaspindle
