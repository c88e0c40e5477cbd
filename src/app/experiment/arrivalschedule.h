#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <random>

namespace papayaspindle::experiment {

/** One request to be made. */
struct Arrival
{
  std::uint64_t mIndex = 0;
  /** Latency counts from here, however late the request is sent. */
  TimePoint mIntended;
};

/** How requests arrive. */
struct ArrivalOptions
{
  /** Requests per second; 0 means a closed loop, where each answer makes the next
   * request.
   */
  double mRate = 0;
  /** Exponential pauses between requests instead of equal ones. */
  bool mPoisson = false;
  Duration mLength{};
  std::uint64_t mSeed = 0;
};

/** Hands out the requests of one experiment, in order of their times. Thread-safe. */
class ArrivalSchedule
{
public:
  ArrivalSchedule(const ArrivalOptions& aOptions, TimePoint aStart);

  /** @return the next request; nothing once the experiment is over */
  std::optional<Arrival> Next(TimePoint aNow);

private:
  std::mutex mMutex;
  ArrivalOptions mOptions;
  TimePoint mStart;
  std::mt19937_64 mRandom;
  std::uint64_t mNextIndex = 0;
  std::chrono::duration<double> mOffset{};
};

} // namespace papayaspindle::experiment
