// Tests to which members a read may be sent, and in which order.

#include "decision/capacity/readorder.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

using Order = std::vector<std::size_t>;

Order
OrderOf(const std::vector<ReadOption>& aOptions, Duration aWaited, std::size_t aAhead)
{
  return OrderReadOptions(aOptions, aWaited, [aAhead] { return aAhead; });
}

const ReadOption kFast{ .mCost = 12ms,
                        .mExpectedTime = 10ms,
                        .mInFlight = 4,
                        .mLimit = 4 };
const ReadOption kSlow{ .mCost = 5ms,
                        .mExpectedTime = 40ms,
                        .mInFlight = 0,
                        .mLimit = 4 };

} // namespace

// Guards against decisions that differ from the order by cost although nothing is known
// against a member.
TEST_CASE("even members are ordered by cost", "[capacity]")
{
  const std::vector<ReadOption> options{ { .mCost = 3ms, .mExpectedTime = 10ms },
                                         { .mCost = 1ms, .mExpectedTime = 14ms },
                                         { .mCost = 2ms, .mExpectedTime = 12ms } };
  bool asked = false;
  const auto ahead = [&asked] {
    asked = true;
    return std::size_t{ 0 };
  };
  REQUIRE(OrderReadOptions(options, 0ms, ahead) == Order{ 1, 2, 0 });
  REQUIRE_FALSE(asked);
  REQUIRE(OrderReadOptions({}, 0ms, ahead).empty());
}

// Guards against holding reads back from an even primary, or from even members in another
// zone.
TEST_CASE("a fixed cost makes no member uneven", "[capacity]")
{
  const std::vector<ReadOption> options{
    { .mCost = 42ms, .mFixedCost = 30ms, .mExpectedTime = 12ms },
    { .mCost = 12ms, .mExpectedTime = 12ms }
  };
  REQUIRE(OrderOf(options, 0ms, 0) == Order{ 1, 0 });
}

// Guards against moving all reads to the primary because replicas are a little slower.
TEST_CASE("replicas are compared with the primary's whole cost", "[capacity]")
{
  const std::vector<ReadOption> options{
    { .mCost = 40ms, .mFixedCost = 30ms, .mExpectedTime = 10ms },
    { .mCost = 25ms, .mExpectedTime = 25ms }
  };
  REQUIRE(OrderOf(options, 0ms, 0) == Order{ 1, 0 });
}

// Guards against sending a read to a slow, empty member when waiting is faster.
TEST_CASE("a slow member gets a read only if waiting takes longer", "[capacity]")
{
  const std::vector<ReadOption> options{ kSlow, kFast };
  REQUIRE(OrderOf(options, 0ms, 0) == Order{ 1 });
  // Twelve reads wait; the fast member completes four in 10 ms.
  REQUIRE(OrderOf(options, 0ms, 12) == Order{ 1, 0 });
  // The read has waited as long as the slow member loses.
  REQUIRE(OrderOf(options, 30ms, 0) == Order{ 1, 0 });
}

// Guards against filling a slow member with the statements of all homes at once, and
// against leaving its slots unused when the faster ones can't keep up.
TEST_CASE("a slow member gets a second read only after a longer wait", "[capacity]")
{
  ReadOption busy = kSlow;
  busy.mInFlight = 1;
  const std::vector<ReadOption> options{ busy, kFast };
  REQUIRE(OrderOf(options, 30ms, 12) == Order{ 1 });
  REQUIRE(OrderOf(options, 60ms, 12) == Order{ 1, 0 });
}

// Guards against never noticing that a slow member has recovered.
TEST_CASE("a slow member that needs a probe is offered last", "[capacity]")
{
  ReadOption probed = kSlow;
  probed.mNeedsProbe = true;
  REQUIRE(OrderOf({ probed, kFast }, 0ms, 0) == Order{ 1, 0 });
}

// Guards against reads that wait because the only member is slow.
TEST_CASE("a slow member that is the only one is offered", "[capacity]")
{
  REQUIRE(OrderOf({ kSlow }, 0ms, 0) == Order{ 0 });
}

// Guards against reads of several homes at a member that takes few statements, and
// against reads that wait for a home which doesn't use the member.
TEST_CASE("a member left to another home is used after a wait", "[capacity]")
{
  std::vector<ReadOption> options(3, { .mCost = 10ms, .mExpectedTime = 10ms });
  options[0].mCost = 1ms;
  options[0].mIsLeftToOthers = true;
  const auto none = [] { return std::size_t(0); };
  CHECK(OrderReadOptions(options, 59ms, none) == std::vector<std::size_t>{ 1, 2 });
  CHECK(OrderReadOptions(options, 60ms, none) == std::vector<std::size_t>{ 0, 1, 2 });
}

// Guards against a home that leaves most members of an overloaded group, or the only one.
TEST_CASE("several members or the only one are not left to another home", "[capacity]")
{
  std::vector<ReadOption> options(3, { .mCost = 10ms, .mExpectedTime = 10ms });
  options[0].mIsLeftToOthers = true;
  options[1].mIsLeftToOthers = true;
  const auto none = [] { return std::size_t(0); };
  CHECK(OrderReadOptions(options, 0ms, none) == std::vector<std::size_t>{ 0, 1, 2 });
  options.resize(1);
  CHECK(OrderReadOptions(options, 0ms, none) == std::vector<std::size_t>{ 0 });
}
