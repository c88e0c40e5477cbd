#pragma once

#include "core/timetypes.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/** Source of random numbers that are the same on all processor architectures: the
 * distributions of the standard library are not. */
class SeededNumbers
{
public:
  explicit SeededNumbers(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /** @return number from 0 to aCount - 1 */
  std::uint64_t Below(std::uint64_t aCount) { return mEngine() % aCount; }
  /** @return whether an event of the given probability happens */
  bool Happens(std::uint64_t aPerMillion) { return Below(1'000'000) < aPerMillion; }
  Duration Between(Duration aMin, Duration aMax)
  {
    const auto steps = static_cast<std::uint64_t>((aMax - aMin) / 1ms) + 1;
    return aMin + Below(steps) * 1ms;
  }

private:
  std::mt19937_64 mEngine;
};

} // namespace papayaspindle::proxy
