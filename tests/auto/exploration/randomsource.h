#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <random>

namespace papayaspindle::exploration {

/** Random numbers that are the same for a seed on every machine: the distributions of the
 * standard library may differ between implementations, so none is used. */
class RandomSource
{
public:
  explicit RandomSource(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /** @return number below a limit, which must not be 0 */
  std::uint64_t Below(std::uint64_t aLimit) { return mEngine() % aLimit; }
  bool Chance(std::uint64_t aPerMille) { return Below(1000) < aPerMille; }
  Duration Between(Duration aLeast, Duration aMost)
  {
    const auto span =
      std::chrono::duration_cast<std::chrono::microseconds>(aMost - aLeast).count();
    return aLeast +
           std::chrono::microseconds(Below(static_cast<std::uint64_t>(span) + 1));
  }

private:
  std::mt19937_64 mEngine;
};

} // namespace papayaspindle::exploration
