#include "decision/write/acktracker.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 10s };

MemberReport
Report(const char* aMember, std::uint64_t aTerm, LogPosition aPosition, Duration aAt = 0s)
{
  return { MemberId(aMember), aTerm, aPosition, kStart + aAt };
}

struct AckCase
{
  const char* mName;
  LogPosition mTarget;
  std::size_t mMembers;
  std::vector<MemberReport> mReports;
  bool mAcknowledged;
};

} // namespace

// Guards against acknowledging a write that a later failover may drop.
TEST_CASE("a write is acknowledged only by a majority in the term of the write",
          "[write]")
{
  const std::vector<AckCase> cases{
    { "no report", { 1, 5 }, 3, {}, false },
    { "single member", { 1, 5 }, 1, {}, true },
    { "replica holds the position", { 1, 5 }, 3, { Report("b", 1, { 1, 5 }) }, true },
    { "replica holds a later position", { 1, 5 }, 3, { Report("b", 1, { 1, 9 }) }, true },
    { "replica is behind", { 1, 5 }, 3, { Report("b", 1, { 1, 4 }) }, false },
    { "replica was fenced", { 1, 5 }, 3, { Report("b", 2, { 1, 5 }) }, false },
    { "replica has a later term", { 1, 5 }, 3, { Report("b", 2, { 2, 6 }) }, false },
    { "replica has an older term", { 2, 5 }, 3, { Report("b", 1, { 2, 5 }) }, false },
    { "the primary's own report", { 1, 5 }, 3, { Report("a", 1, { 1, 5 }) }, false },
    { "one replica of five members, reported twice",
      { 1, 5 },
      5,
      { Report("b", 1, { 1, 5 }), Report("b", 1, { 1, 6 }) },
      false },
    { "two replicas of five members",
      { 1, 5 },
      5,
      { Report("b", 1, { 1, 5 }), Report("c", 1, { 1, 6 }) },
      true },
    { "repeated write of term 1, no entry of term 3 yet",
      AckTracker::Target({ 1, 5 }, 3),
      3,
      { Report("c", 3, { 1, 5 }) },
      false },
    { "repeated write of term 1, replica holds an entry of term 3",
      AckTracker::Target({ 1, 5 }, 3),
      3,
      { Report("c", 3, { 3, 6 }) },
      true },
  };
  for (const AckCase& row : cases) {
    CAPTURE(row.mName);
    AckTracker tracker(MemberId("a"), row.mTarget, row.mMembers);
    for (const MemberReport& report : row.mReports) {
      tracker.OnReport(report);
    }
    CHECK(tracker.IsAcknowledged() == row.mAcknowledged);
  }
}

// Guards against a read from a primary that was replaced after the last report.
TEST_CASE("a read is confirmed only by reports requested after a given time", "[write]")
{
  AckTracker tracker(MemberId("a"), { 1, 5 }, 3);
  tracker.OnReport(Report("b", 1, { 1, 5 }, 100ms));
  CHECK(tracker.IsConfirmedSince(kStart + 100ms));
  CHECK_FALSE(tracker.IsConfirmedSince(kStart + 101ms));
  tracker.OnReport(Report("b", 2, { 1, 5 }, 300ms));
  CHECK_FALSE(tracker.IsConfirmedSince(kStart + 101ms));
  tracker.OnReport(Report("c", 1, { 1, 6 }, 200ms));
  CHECK(tracker.IsConfirmedSince(kStart + 200ms));
  tracker.OnReport(Report("c", 1, { 1, 6 }, 50ms));
  CHECK(tracker.IsConfirmedSince(kStart + 200ms));
}
