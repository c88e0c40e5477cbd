#include "decision/allowance/authorityholder.h"
#include "decision/allowance/keeperclaim.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const InstanceId kOld("old");
const InstanceId kNew("new");

/** One authority row with compare-and-set. */
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

/** Runs one whole cycle whose answer arrives. */
void
Cycle(AuthorityHolder& aHolder, Row& aRow, TimePoint aNow)
{
  const auto write = aHolder.OnRow(aRow.mRow, aNow);
  if (write && aRow.Write(*write)) {
    aHolder.OnCommitted(write->mSerial);
  }
}

} // namespace

// Guards against grants after 30 s without a renewal, also counted from a late answer.
TEST_CASE("authority counts from before the renewal was sent", "[allowance]")
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

// Guards against an authority that is dropped, or counted from the look-up, when the
// answer to a renewal is lost.
TEST_CASE("a lost answer is resolved by reading the row", "[allowance]")
{
  const bool landed = GENERATE(true, false);
  Row row;
  AuthorityHolder holder("p1");
  const TimePoint start;
  Cycle(holder, row, start);
  const auto lost = holder.OnRow(row.mRow, start + 10s);
  holder.OnFailed(start + 12s);
  CHECK_FALSE(holder.IsDue(start + 12999ms));
  if (landed) {
    REQUIRE(row.Write(*lost));
  }
  holder.OnRow(row.mRow, start + 13s);
  CHECK(holder.ValidEpoch(start + 29s) == 1);
  CHECK(holder.ValidEpoch(start + 39999ms).has_value() == landed);
  CHECK_FALSE(holder.ValidEpoch(start + 40s));
  // The lost write arrives late: it conflicts with the next one or makes it conflict.
  if (!landed) {
    const auto next = holder.OnRow(row.mRow, start + 14s);
    REQUIRE(row.Write(*lost));
    CHECK_FALSE(row.Write(*next));
    holder.OnRow(row.mRow, start + 15s);
    CHECK(holder.ValidEpoch(start + 39s) == 1);
    CHECK_FALSE(holder.ValidEpoch(start + 40s));
  }
}

// Guards against two processes that hold authority at once.
TEST_CASE("a successor waits until the row was unchanged for 30 s", "[allowance]")
{
  Row row;
  AuthorityHolder holder("p1");
  AuthorityWatcher watcher;
  TimePoint now;
  Cycle(holder, row, now);
  AllocationRecord record = ClaimedBy(AllocationRecord(), kOld, 1);
  CHECK(DecideClaim(record, kOld, 1, watcher, now) == ClaimAction::Held);
  CHECK(DecideClaim(record, kOld, 3, watcher, now) == ClaimAction::Claim);
  CHECK(DecideClaim(Unclaimed(record), kNew, 1, watcher, now) == ClaimAction::Claim);
  for (int renewal = 0; renewal < 5; ++renewal) {
    watcher.OnRow(row.mRow, now + 5s);
    CHECK(DecideClaim(record, kNew, 1, watcher, now + 10s) == ClaimAction::Wait);
    now += 10s;
    Cycle(holder, row, now);
  }
  // The holder is paused now; its row is first seen 4 s later.
  watcher.OnRow(row.mRow, now + 4s);
  CHECK(DecideClaim(record, kNew, 1, watcher, now + 33s) == ClaimAction::Wait);
  CHECK(DecideClaim(record, kNew, 1, watcher, now + 34s) == ClaimAction::ClaimAndRevoke);
  const auto paused = holder.OnRow(row.mRow, now + 31s);
  REQUIRE(row.Write(Revoked(*watcher.Row())));
  CHECK_FALSE(row.Write(*paused));
  // The paused holder resumes: it starts again under a higher epoch, its claim is over.
  Cycle(holder, row, now + 40s);
  CHECK(holder.ValidEpoch(now + 40s) == 3);
  CHECK(DecideClaim(record, kOld, 3, watcher, now + 40s) == ClaimAction::Claim);
  watcher.OnRow(row.mRow, now + 41s);
  CHECK(DecideClaim(record, kNew, 1, watcher, now + 41s) == ClaimAction::Claim);
}

// Guards against an instance that restarts under the same name and grants at once.
TEST_CASE("a restarted process waits for its predecessor's authority", "[allowance]")
{
  const bool orderly = GENERATE(true, false);
  Row row;
  AuthorityHolder before("p1");
  AuthorityHolder after("p2");
  const TimePoint start;
  Cycle(before, row, start);
  if (orderly) {
    REQUIRE(row.Write(*before.GiveUp(row.mRow)));
    CHECK_FALSE(before.ValidEpoch(start));
  }
  Cycle(after, row, start + 1s);
  CHECK(after.ValidEpoch(start + 1s).has_value() == orderly);
  Cycle(after, row, start + 30s);
  CHECK(after.ValidEpoch(start + 30s).has_value() == orderly);
  Cycle(after, row, start + 31s);
  CHECK(after.ValidEpoch(start + 31s) == 2);
}
