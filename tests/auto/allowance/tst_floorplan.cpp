#include "decision/allowance/floorplan.h"
#include "decision/allowance/listedinstances.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const InstanceId kA("a");
const InstanceId kB("b");
const InstanceId kC("c");

struct FloorCase
{
  const char* mFailure;
  std::vector<HomeFloor> mBefore;
  std::vector<InstanceId> mHomes;
  std::vector<InstanceId> mEnded;
  std::uint32_t mLimit;
  std::vector<HomeFloor> mAfter;
};

bool
Contains(const std::vector<InstanceId>& aList, const InstanceId& aInstance)
{
  return std::find(aList.begin(), aList.end(), aInstance) != aList.end();
}

} // namespace

TEST_CASE("a floor moves to another home only after its home released it or ended",
          "[allowance]")
{
  const std::vector<FloorCase> cases{
    { "an empty record that gets no floors",
      {},
      { kA, kB },
      {},
      10,
      { { kA, 3, 3 }, { kB, 2, 2 } } },
    { "a floor given to another home while an unresponsive home may still use it",
      { { kA, 4, 4 }, { kB, 4, 4 } },
      { kB, kC },
      {},
      16,
      { { kA, 4, 0 }, { kB, 4, 4 }, { kC, 0, 4 } } },
    { "a floor that stays reserved after its home has ended",
      { { kA, 4, 0 }, { kB, 4, 4 }, { kC, 0, 4 } },
      { kB, kC },
      { kA },
      16,
      { { kB, 4, 4 }, { kC, 4, 4 } } },
    { "a released floor that stays unused",
      { { kA, 0, 0 }, { kB, 4, 4 }, { kC, 0, 4 } },
      { kB, kC },
      {},
      16,
      { { kB, 4, 4 }, { kC, 4, 4 } } },
    { "floors that the keeper lowers after a lowered limit",
      { { kA, 4, 4 }, { kB, 4, 4 } },
      { kA, kB },
      {},
      6,
      { { kA, 4, 2 }, { kB, 4, 1 } } },
    { "a home that reaches its target while another home gets no connection",
      { { kA, 5, 2 }, { kB, 0, 2 }, { kC, 0, 2 } },
      { kA, kB, kC },
      {},
      14,
      { { kA, 5, 3 }, { kB, 1, 2 }, { kC, 1, 2 } } },
  };
  for (const FloorCase& c : cases) {
    INFO(c.mFailure);
    AllocationRecord record;
    record.mLimit = 16;
    record.mLimitRevision = 1;
    record.mFloors = c.mBefore;
    FloorPlanInput input;
    input.mHomes = c.mHomes;
    input.mMayReceiveFloor = [](const InstanceId&) { return true; };
    input.mHasEnded = [&c](const InstanceId& aInstance) {
      return Contains(c.mEnded, aInstance);
    };
    input.mLimit = c.mLimit;
    input.mLimitRevision = 2;
    CHECK(PlanFloors(record, input).mFloors == c.mAfter);
  }
}

// Guards against a floor for an instance that the next readings of the instance list
// would count as ended.
TEST_CASE("a home that may not receive a floor yet gets none", "[allowance]")
{
  FloorPlanInput input;
  input.mHomes = { kA, kB };
  input.mMayReceiveFloor = [](const InstanceId& aInstance) { return aInstance == kB; };
  input.mHasEnded = [](const InstanceId&) { return false; };
  input.mLimit = 8;
  input.mLimitRevision = 1;
  const AllocationRecord next = PlanFloors(AllocationRecord(), input);
  CHECK(next.mFloors == std::vector<HomeFloor>{ { kB, 4, 4 } });
  input.mMayReceiveFloor = [](const InstanceId&) { return false; };
  CHECK(PlanFloors(next, input).mFloors[0] == HomeFloor{ kB, 4, 4 });
}

// Guards against an instance that counts as ended because the list lags, or because the
// list was read several times in short succession.
TEST_CASE("an instance has ended after three separate readings without it", "[allowance]")
{
  ListedInstances list(kA);
  TimePoint now;
  const std::set<InstanceId> without{ kA };
  list.OnReading({ kA, kB }, now);
  for (int reading = 0; reading < 3; ++reading) {
    CHECK_FALSE(list.HasEnded(kB));
    list.OnReading(without, now += 1s);
    list.OnReading({}, now);
    CHECK_FALSE(list.HasEnded(kB));
    list.OnReading(without, now += 5s);
  }
  CHECK(list.HasEnded(kB));
  CHECK_FALSE(list.IsListed(kB));
  list.OnReading({ kA, kB }, now += 5s);
  CHECK_FALSE(list.HasEnded(kB));
}
