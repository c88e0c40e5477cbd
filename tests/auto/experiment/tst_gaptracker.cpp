#include "experiment/gaptracker.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::experiment;
using std::chrono::milliseconds;

// Guards against gaps that are missed at the start, at the end or by late threads.
TEST_CASE("the longest time without an acknowledged write", "[experiment]")
{
  struct Case
  {
    const char* mName;
    std::vector<int> mAcknowledgedMs;
    int mBeginMs;
    int mLengthMs;
  };
  const std::vector<Case> cases = {
    { "at the start", { 500, 600, 700 }, 0, 500 },
    { "in the middle", { 100, 200, 900 }, 200, 700 },
    { "at the end", { 100, 200, 300 }, 300, 700 },
    { "out of order", { 400, 300, 800 }, 0, 400 },
  };
  const GroupId group("g");
  for (const Case& one : cases) {
    CAPTURE(one.mName);
    GapTracker tracker{ TimePoint() };
    for (const int at : one.mAcknowledgedMs) {
      tracker.Acknowledged(group, TimePoint() + milliseconds(at));
    }
    const Gap gap = tracker.Longest(TimePoint() + milliseconds(1000)).at(group);
    CHECK(gap.mBegin == TimePoint() + milliseconds(one.mBeginMs));
    CHECK(gap.mLength == milliseconds(one.mLengthMs));
  }
}
