#include "experiment/arrivalschedule.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace papayaspindle;
using namespace papayaspindle::experiment;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{};

std::vector<TimePoint>
AllTimes(const ArrivalOptions& aOptions, Duration aLate)
{
  ArrivalSchedule schedule(aOptions, kStart);
  std::vector<TimePoint> times;
  while (const auto arrival = schedule.Next(kStart + aLate)) {
    REQUIRE(arrival->mIndex == times.size());
    times.push_back(arrival->mIntended);
  }
  return times;
}

} // namespace

// Guards against a load that slows down with the system, which would hide its latency.
TEST_CASE("in an open loop the times do not depend on the answers", "[experiment]")
{
  const ArrivalOptions equal{ 10, false, seconds(1), 1 };
  const auto times = AllTimes(equal, Duration::zero());
  REQUIRE(times.size() == 10);
  CHECK(times[3] == kStart + milliseconds(300));
  CHECK(AllTimes(equal, seconds(50)) == times);

  const ArrivalOptions poisson{ 1000, true, seconds(1), 7 };
  const auto random = AllTimes(poisson, Duration::zero());
  CHECK(random == AllTimes(poisson, seconds(50)));
  CHECK(random != AllTimes({ 1000, true, seconds(1), 8 }, Duration::zero()));
  CHECK(random.size() > 800);
  CHECK(random.size() < 1200);
}

TEST_CASE("in a closed loop each answer makes the next request", "[experiment]")
{
  ArrivalSchedule schedule({ 0, false, seconds(1), 1 }, kStart);
  CHECK(schedule.Next(kStart + milliseconds(10))->mIntended == kStart + milliseconds(10));
  CHECK(schedule.Next(kStart + milliseconds(999)).has_value());
  CHECK_FALSE(schedule.Next(kStart + seconds(1)).has_value());
}
