#include "decision/routing/freshnesstable.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1000s };

struct Event
{
  const char* mMember;
  std::uint64_t mTerm;
  LogPosition mApplied;
  int mRequestedAtMs;
};

// Reports statuses to the table. Member "a" is the primary in terms 1 and 3, "b" in
// term 2.
void
ReportStatuses(FreshnessTable& aTable, const std::vector<Event>& aEvents)
{
  for (const auto& event : aEvents) {
    MemberProgress status;
    status.mMember = MemberId(event.mMember);
    status.mTerm = event.mTerm;
    status.mIsPrimary = event.mMember == std::string(event.mTerm == 2 ? "b" : "a");
    status.mLastPosition = event.mApplied;
    status.mApplied = event.mApplied;
    status.mRequestedAt = kStart + event.mRequestedAtMs * 1ms;
    aTable.OnStatus(status);
  }
}

} // namespace

// Guards against a proven age that is lower than the reports can prove.
TEST_CASE("a member is proven as of the latest sample that it has applied")
{
  const struct
  {
    const char* mName;
    std::vector<Event> mEvents;
    std::uint64_t mTerm;
    std::size_t mMembers;
    std::optional<int> mProvenAsOfMs; // of member c
  } rows[] = {
    { "no reports", {}, 1, 3, {} },
    { "no sample of the primary",
      { { "b", 1, { 1, 5 }, 0 }, { "c", 1, { 1, 5 }, 0 } },
      1,
      3,
      {} },
    { "caught up", { { "a", 1, { 1, 5 }, 0 }, { "c", 1, { 1, 5 }, 10 } }, 1, 3, 0 },
    { "ahead of the sample",
      { { "a", 1, { 1, 5 }, 0 }, { "c", 1, { 1, 9 }, 10 } },
      1,
      3,
      0 },
    { "the member's reply arrived before the sample",
      { { "c", 1, { 1, 5 }, 0 }, { "a", 1, { 1, 5 }, 100 }, { "b", 1, { 1, 5 }, 100 } },
      1,
      3,
      100 },
    { "idle group: the proof is renewed",
      { { "a", 1, { 1, 5 }, 0 },
        { "c", 1, { 1, 5 }, 10 },
        { "a", 1, { 1, 5 }, 250 },
        { "c", 1, { 1, 5 }, 260 } },
      1,
      3,
      250 },
    { "behind: the proof of the older sample stays",
      { { "a", 1, { 1, 5 }, 0 },
        { "c", 1, { 1, 6 }, 10 },
        { "a", 1, { 1, 9 }, 250 },
        { "b", 1, { 1, 9 }, 250 },
        { "c", 1, { 1, 8 }, 260 } },
      1,
      3,
      0 },
    { "cut off: the proven time stays at the last proof",
      { { "a", 1, { 1, 5 }, 0 },
        { "c", 1, { 1, 5 }, 10 },
        { "a", 1, { 1, 9 }, 5000 },
        { "b", 1, { 1, 9 }, 5000 } },
      1,
      3,
      0 },
    { "late, older replies change nothing",
      { { "a", 1, { 1, 9 }, 250 },
        { "c", 1, { 1, 9 }, 260 },
        { "a", 1, { 1, 5 }, 0 },
        { "c", 1, { 1, 4 }, 10 } },
      1,
      3,
      250 },
    { "the member is in an older term",
      { { "c", 1, { 1, 5 }, 0 }, { "b", 2, { 1, 5 }, 10 }, { "a", 2, { 1, 5 }, 10 } },
      2,
      3,
      {} },
    { "the member is in a later term",
      { { "a", 1, { 1, 5 }, 0 }, { "b", 1, { 1, 5 }, 0 }, { "c", 2, { 1, 5 }, 0 } },
      1,
      3,
      {} },
    { "the old primary still answers after a promotion",
      { { "c", 2, { 1, 5 }, 0 },
        { "b", 2, { 2, 6 }, 0 },
        { "a", 1, { 1, 9 }, 500 },
        { "c", 2, { 2, 6 }, 10 } },
      2,
      3,
      0 },
    { "an isolated old primary and its replica prove nothing new",
      { { "a", 1, { 1, 5 }, 0 },
        { "b", 1, { 1, 5 }, 0 },
        { "c", 1, { 1, 5 }, 0 },
        { "a", 1, { 1, 5 }, 9000 },
        { "c", 1, { 1, 5 }, 9000 } },
      1,
      5,
      0 },
    { "the member's log ends in old entries that the primary does not have",
      { { "b", 2, { 1, 5 }, 0 }, { "c", 2, { 1, 9 }, 0 } },
      2,
      3,
      {} },
    { "the member's log ends at the same old entry as the primary's",
      { { "b", 2, { 1, 5 }, 0 }, { "c", 2, { 1, 5 }, 0 } },
      2,
      3,
      0 },
  };
  for (const auto& row : rows) {
    INFO(row.mName);
    FreshnessTable table;
    ReportStatuses(table, row.mEvents);
    const auto proven = table.ProvenAsOf(MemberId("c"), row.mTerm, row.mMembers);
    REQUIRE(proven.has_value() == row.mProvenAsOfMs.has_value());
    if (proven) {
      CHECK(*proven == kStart + *row.mProvenAsOfMs * 1ms);
    }
  }
}

// Guards against a slow replica that loses its proven time when old samples are dropped.
TEST_CASE("the number of samples is limited and a slow replica keeps its proven time")
{
  FreshnessTable table;
  ReportStatuses(table, { { "a", 1, { 1, 1 }, 0 }, { "c", 1, { 1, 1 }, 0 } });
  for (int i = 1; i <= 1000; ++i) {
    const auto index = static_cast<std::uint64_t>(i) + 1;
    ReportStatuses(
      table, { { "a", 1, { 1, index }, i * 60 }, { "b", 1, { 1, index }, i * 60 } });
  }
  CHECK(table.ProvenAsOf(MemberId("c"), 1, 3) == kStart);
  CHECK(table.ProvenAsOf(MemberId("b"), 1, 3) == kStart + 60s);
  CHECK(table.ProvenAsOf(LogPosition{ 1, 951 }, 1, 3) == kStart + 57s);
  CHECK_FALSE(table.ProvenAsOf(LogPosition{ 1, 1 }, 1, 3));
  CHECK(table.PositionProvingSince(kStart + 57s, 1, 3) == LogPosition{ 1, 951 });
  CHECK_FALSE(table.PositionProvingSince(kStart + 61s, 1, 3));
}

// Guards against removed members that still count for a majority, and against predictions
// that follow a single measurement.
TEST_CASE("removed members are dropped and predictions are smoothed")
{
  FreshnessTable table;
  ReportStatuses(table, { { "a", 1, { 1, 5 }, 0 }, { "c", 1, { 1, 5 }, 0 } });
  GroupSettings settings;
  settings.mMembers = { { MemberId("c"), "", AvailabilityZone("z"), false } };
  table.OnCatchUp(MemberId("c"), 8ms, kStart);
  table.OnCatchUp(MemberId("c"), 16ms, kStart);
  table.Retain(settings);
  CHECK(table.Statuses().size() == 1);
  CHECK_FALSE(table.ProvenAsOf(MemberId("c"), 1, 3));
  CHECK(table.PredictedCatchUp(MemberId("c"), kStart) == Duration(10ms));
  CHECK(table.PredictedCatchUp(MemberId("c"), kStart + 999ms) == Duration(10ms));
  // The prediction lapses so that a replica whose lag has ended is tried again.
  CHECK_FALSE(table.PredictedCatchUp(MemberId("c"), kStart + 1s));
  CHECK_FALSE(table.PredictedCatchUp(MemberId("a"), kStart));
}
