#pragma once

#include "ratesimulation.h"

#include <cmath>
#include <cstdlib>

namespace papayaspindle::proxy {

inline std::uint64_t
NumberFromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

inline std::uint64_t
FirstSeed()
{
  return NumberFromEnvironment("PAPAYASPINDLE_EXPLORATION_SEED", 1);
}

/** Limits that bind windows, by the time from which each does. */
struct BindingLimit
{
  TimePoint mFrom;
  RateLimit mLimit;
};

/** A window's operations above the permitted number; 0 or less if the limit was kept. */
struct Excess
{
  double mOperations = -1;
  TimePoint mWindowStart;
};

/** @return the largest excess of all windows */
inline Excess
LargestExcess(const std::vector<TimePoint>& aRuns,
              const std::vector<BindingLimit>& aLimits,
              const RateWindow& aWindow)
{
  Excess largest;
  std::size_t end = 0;
  for (std::size_t begin = 0; begin < aRuns.size(); begin++) {
    while (end < aRuns.size() && aRuns[end] < aRuns[begin] + aWindow.mWindow) {
      end++;
    }
    // A window that begins before a new limit binds may use the larger one.
    double permitted = 0;
    for (std::size_t index = 0; index < aLimits.size(); index++) {
      const bool isOver =
        index + 1 < aLimits.size() && aLimits[index + 1].mFrom <= aRuns[begin];
      if (!isOver) {
        const RateLimit& limit = aLimits[index].mLimit;
        permitted = std::max(permitted, limit.mPerSecond * 5 + limit.mBurst);
      }
    }
    const double most = permitted * (1 + aWindow.mOverrun) + aWindow.mSlack;
    const double excess = static_cast<double>(end - begin) - std::floor(most);
    if (excess > largest.mOperations) {
      largest = { excess, aRuns[begin] };
    }
  }
  return largest;
}

} // namespace papayaspindle::proxy
