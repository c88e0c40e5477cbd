#pragma once

#include "decision/capacity/statementsample.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>

namespace papayaspindle {

/**
 * Estimates how well a member runs statements, at each level of concurrency.
 *
 * The level is the number of statements of this home at the member. Other homes may use
 * the same member; their statements raise the times at all levels alike.
 */
class MemberCapacity
{
public:
  static constexpr std::uint32_t kNoLimit = std::numeric_limits<std::uint32_t>::max();

  /**
   * Records that a statement was sent to the member.
   *
   * @param aLevel number of statements at the member, including this one
   */
  void OnStart(std::uint32_t aLevel, TimePoint aNow);
  /** Records the end of a statement whose start was recorded at its mStartedAt. */
  void OnEnd(const StatementSample& aSample);

  /** @return recent cost of a statement as a multiple of the usual time; failures raise
   * it */
  [[nodiscard]] double RelativeCost() const;
  /** @return time of statements that started at aLevel, as a multiple of the usual time;
   * the recent average over all levels if too few statements started at aLevel */
  [[nodiscard]] double RelativeTimeAt(std::uint32_t aLevel) const;
  /** @return level up to which the member runs statements well; kNoLimit if that is not
   * known to be below its slots */
  [[nodiscard]] std::uint32_t Limit() const { return mLimit; }
  /** @return whether no statement was sent for so long that the estimate needs another
   * one */
  [[nodiscard]] bool NeedsProbe(TimePoint aNow) const;

private:
  struct Level
  {
    double mRelativeTime = 1;
    std::uint32_t mSamples = 0;
    TimePoint mLastSample;
  };
  struct Start
  {
    TimePoint mAt;
    std::uint32_t mLevel = 1;
  };

  static std::size_t IndexOf(std::uint32_t aLevel);
  std::uint32_t TakeStart(TimePoint aStartedAt);
  void AddToLevel(std::uint32_t aLevel, double aRatio, TimePoint aNow);
  void ForgetOldLevels(TimePoint aNow);
  void UpdateLimit(std::uint32_t aSlots);

  // Levels above the last one share its estimate.
  std::array<Level, 32> mLevels{};
  std::deque<Start> mStarts;
  /** Number of successful statements, up to those that say nothing about levels. */
  std::uint32_t mSamples = 0;
  double mRelativeTime = 1;
  double mFailureShare = 0;
  /** Smoothed time that a statement takes longer than usual. */
  Duration mExcessTime{};
  TimePoint mLastStart;
  TimePoint mLastEnd;
  std::uint32_t mLimit = kNoLimit;
};

} // namespace papayaspindle
