#include "decision/allowance/authorityholder.h"
#include "decision/allowance/keeperclaim.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const InstanceId kOld("old");
const InstanceId kNew("new");

/** An authority row that is written by compare-and-set. */
struct Row
{
  AuthorityRow mRow;

  bool Write(const AuthorityRow& aRow)
  {
    if (aRow.mVersion != mRow.mVersion) {
      return false;
    }
    mRow = aRow;
    ++mRow.mVersion;
    return true;
  }
};

/** Runs one cycle of read and write in which no answer is lost. */
void
Cycle(AuthorityHolder& aHolder, Row& aRow, TimePoint aNow)
{
  const auto write = aHolder.OnRow(aRow.mRow, aNow);
  if (write && aRow.Write(*write)) {
    aHolder.OnCommitted(write->mSerial);
  }
}

} // namespace

// Guards against leases that are granted more than 30 s after the last renewal was sent,
// for example because the 30 s are counted from a late answer.
TEST_CASE("the authority lasts 30 s from before its renewal was sent", "[allowance]")
{
  Row row;
  AuthorityHolder holder("p1");
  const TimePoint start;
  const auto write = holder.OnRow(row.mRow, start);
  REQUIRE(row.Write(*write));
  CHECK_FALSE(holder.ValidEpoch(start));
  holder.OnCommitted(write->mSerial);
  CHECK_FALSE(holder.IsDue(start + 9999ms));
  CHECK(holder.IsDue(start + 10s));
  CHECK(holder.ValidEpoch(start + 29999ms) == 1);
  CHECK_FALSE(holder.ValidEpoch(start + 30s));
}

// Guards against an authority that is dropped, or counted from the later read of the row,
// when the answer to a renewal is lost.
TEST_CASE("reading the row shows whether a renewal without an answer was committed",
          "[allowance]")
{
  const bool committed = GENERATE(true, false);
  Row row;
  AuthorityHolder holder("p1");
  const TimePoint start;
  Cycle(holder, row, start);
  const auto unanswered = holder.OnRow(row.mRow, start + 10s);
  holder.OnCycleFailed(start + 12s);
  CHECK_FALSE(holder.IsDue(start + 12999ms));
  if (committed) {
    REQUIRE(row.Write(*unanswered));
  }
  holder.OnRow(row.mRow, start + 13s);
  CHECK(holder.ValidEpoch(start + 29s) == 1);
  CHECK(holder.ValidEpoch(start + 39999ms).has_value() == committed);
  CHECK_FALSE(holder.ValidEpoch(start + 40s));
  // The delayed write is committed late and makes the next write conflict.
  if (!committed) {
    const auto next = holder.OnRow(row.mRow, start + 14s);
    REQUIRE(row.Write(*unanswered));
    CHECK_FALSE(row.Write(*next));
    holder.OnRow(row.mRow, start + 15s);
    CHECK(holder.ValidEpoch(start + 39s) == 1);
    CHECK_FALSE(holder.ValidEpoch(start + 40s));
  }
}

// Guards against two keepers with valid authority at the same time.
TEST_CASE("a successor waits until the row has been unchanged for 30 s", "[allowance]")
{
  Row row;
  AuthorityHolder holder("p1");
  AuthorityWatcher watcher;
  TimePoint now;
  Cycle(holder, row, now);
  AllocationRecord record = RecordClaimedBy(AllocationRecord(), kOld, 1);
  CHECK(DecideClaim(record, kOld, 1, watcher, now) == ClaimAction::Held);
  CHECK(DecideClaim(record, kOld, 3, watcher, now) == ClaimAction::Claim);
  CHECK(DecideClaim(RecordWithoutClaim(record), kNew, 1, watcher, now) ==
        ClaimAction::Claim);
  for (int renewal = 0; renewal < 5; ++renewal) {
    watcher.OnRow(row.mRow, now + 5s);
    CHECK(DecideClaim(record, kNew, 1, watcher, now + 10s) == ClaimAction::Wait);
    now += 10s;
    Cycle(holder, row, now);
  }
  // The holder is paused from here on; the watcher reads its latest row 4 s later.
  watcher.OnRow(row.mRow, now + 4s);
  CHECK(DecideClaim(record, kNew, 1, watcher, now + 33s) == ClaimAction::Wait);
  CHECK(DecideClaim(record, kNew, 1, watcher, now + 34s) == ClaimAction::ClaimAndRevoke);
  const auto paused = holder.OnRow(row.mRow, now + 31s);
  REQUIRE(row.Write(RevokedRow(*watcher.Row())));
  CHECK_FALSE(row.Write(*paused));
  // The paused holder resumes under a higher epoch, so its earlier claim has ended.
  Cycle(holder, row, now + 40s);
  CHECK(holder.ValidEpoch(now + 40s) == 3);
  CHECK(DecideClaim(record, kOld, 3, watcher, now + 40s) == ClaimAction::Claim);
  watcher.OnRow(row.mRow, now + 41s);
  CHECK(DecideClaim(record, kNew, 1, watcher, now + 41s) == ClaimAction::Claim);
}

// Guards against an instance that restarts under the same name and grants leases while
// those of its previous process may still be valid.
TEST_CASE("a restarted process waits for its predecessor's authority", "[allowance]")
{
  const bool orderly = GENERATE(true, false);
  Row row;
  AuthorityHolder before("p1");
  AuthorityHolder after("p2");
  const TimePoint start;
  Cycle(before, row, start);
  if (orderly) {
    REQUIRE(row.Write(*before.Relinquish(row.mRow)));
    CHECK_FALSE(before.ValidEpoch(start));
  }
  Cycle(after, row, start + 1s);
  CHECK(after.ValidEpoch(start + 1s).has_value() == orderly);
  Cycle(after, row, start + 30s);
  CHECK(after.ValidEpoch(start + 30s).has_value() == orderly);
  Cycle(after, row, start + 31s);
  CHECK(after.ValidEpoch(start + 31s) == 2);
}
