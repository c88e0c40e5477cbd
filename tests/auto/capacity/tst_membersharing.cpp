#include "decision/capacity/membersharing.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1h };
const MemberSpeed kSlow{ 4, 1, 4 };
const MemberSpeed kEven{ 1.2, 1, 4 };

/** Updates aSharing with aSpeed for some time. @return the last report */
std::optional<MemberLoadReport>
UpdateFor(MemberSharing& aSharing, MemberSpeed aSpeed, Duration aTime, TimePoint& aNow)
{
  std::optional<MemberLoadReport> report;
  for (const TimePoint end = aNow + aTime; aNow < end; aNow += MemberSharing::kInterval) {
    report = aSharing.Update(aSpeed, aNow);
  }
  return report;
}

} // namespace

// Guards against messages between the homes of groups whose members are even.
TEST_CASE("nothing is reported about an even member", "[capacity]")
{
  MemberSharing sharing;
  TimePoint now = kStart;
  sharing.OnInFlight(3, now);
  for (int i = 0; i < 100; i++) {
    CHECK_FALSE(sharing.Update(kEven, now));
    now += MemberSharing::kInterval;
  }
}

// Guards against several homes that send reads to a member that takes few, and against
// none that does.
TEST_CASE("only the first home sends reads to an uneven member", "[capacity]")
{
  MemberSharing sharing;
  TimePoint now = kStart;
  sharing.OnInFlight(1, now);
  REQUIRE(UpdateFor(sharing, kSlow, 2s, now));
  sharing.OnReport("b", { 1, true, true }, now);
  CHECK(sharing.LeavesReads("c", now));
  CHECK_FALSE(sharing.LeavesReads("a", now));
}

// Guards against homes that disagree because only one of them sees the slowness.
TEST_CASE("a home that has heard of an uneven member reports too", "[capacity]")
{
  MemberSharing sharing;
  TimePoint now = kStart;
  REQUIRE_FALSE(sharing.Update(kEven, now));
  sharing.OnReport("b", { 1, true, true }, now);
  const auto report = sharing.Update(kEven, now + 250ms);
  REQUIRE(report);
  CHECK_FALSE(report->mIsSlow);
  CHECK_FALSE(report->mIsUneven);
}

// Guards against a member that gets no reads after the home that sent them was lost.
TEST_CASE("a home that hears nothing decides alone", "[capacity]")
{
  MemberSharing sharing;
  TimePoint now = kStart;
  UpdateFor(sharing, kSlow, 2s, now);
  CHECK_FALSE(sharing.LeavesReads("c", now));
  sharing.OnReport("b", { 1, true, true }, now);
  CHECK(sharing.LeavesReads("c", now + 2900ms));
  CHECK_FALSE(sharing.LeavesReads("c", now + 3s));
}

// Guards against taking the queue of a burst at an even member for an uneven member.
TEST_CASE("a cost that the statements of all homes explain is not uneven", "[capacity]")
{
  for (const double others : { 0.0, 15.0 }) {
    MemberSharing sharing;
    TimePoint now = kStart;
    sharing.OnInFlight(1, now);
    std::optional<MemberLoadReport> report;
    for (int i = 0; i < 8; i++) {
      sharing.OnReport("b", { others, true, false }, now);
      report = sharing.Update(kSlow, now);
      now += MemberSharing::kInterval;
    }
    REQUIRE(report);
    CHECK(report->mIsSlow);
    CHECK(report->mIsUneven == (others == 0));
  }
}

// Guards against a verdict after a single slow interval.
TEST_CASE("a member is uneven only after several updates", "[capacity]")
{
  MemberSharing sharing;
  TimePoint now = kStart;
  CHECK_FALSE(UpdateFor(sharing, kSlow, 750ms, now)->mIsUneven);
  CHECK_FALSE(UpdateFor(sharing, kEven, 250ms, now)->mIsUneven);
  CHECK_FALSE(UpdateFor(sharing, kSlow, 750ms, now)->mIsUneven);
  CHECK(UpdateFor(sharing, kSlow, 250ms, now)->mIsUneven);
}

// Guards against a member that stays with one home after it has recovered.
TEST_CASE("reports and restrictions end after a member has recovered", "[capacity]")
{
  MemberSharing sharing;
  TimePoint now = kStart;
  UpdateFor(sharing, kSlow, 2s, now);
  CHECK(UpdateFor(sharing, kEven, 29s, now));
  CHECK_FALSE(UpdateFor(sharing, kEven, 2s, now));
  sharing.OnReport("b", { 1, false, false }, now);
  CHECK_FALSE(sharing.LeavesReads("c", now));
}
