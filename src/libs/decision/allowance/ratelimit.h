#pragma once

namespace papayaspindle {

/** Limit of a customer's operations over all instances. */
struct RateLimit
{
  /** Operations per second. */
  double mPerSecond = 0;
  /** Operations above the rate that may follow a quiet time. */
  double mBurst = 0;

  bool operator==(const RateLimit&) const = default;
};

} // namespace papayaspindle
