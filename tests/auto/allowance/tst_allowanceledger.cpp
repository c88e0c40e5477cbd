#include "decision/allowance/allowanceholder.h"
#include "decision/allowance/allowanceledger.h"
#include "decision/allowance/fairshare.h"
#include "decision/allowance/keeperclaim.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const InstanceId kKeeper("k");
const InstanceId kA("a");
const InstanceId kB("b");

using Shares = std::vector<std::uint32_t>;

/** @return a claimed record with a limit of 16, two floors of 4 and thus a pool of 8 */
AllocationRecord
ClaimedRecord()
{
  AllocationRecord record;
  record.mLimit = 16;
  record.mLimitRevision = 1;
  record.mFloors = { { kA, 4, 4 }, { kB, 4, 4 } };
  record.mVersion = 1;
  return RecordClaimedBy(record, kKeeper, 1);
}

/** A keeper whose quarantine has ended and two homes, on one manual clock. */
struct Fixture
{
  TimePoint mNow;
  AllocationRecord mRecord = ClaimedRecord();
  AllowanceLedger mLedger{ kKeeper };
  AllowanceHolder mA{ kA };
  AllowanceHolder mB{ kB };

  Fixture()
  {
    mLedger.SetRecord(mRecord, mNow);
    mA.OnRecord(mRecord);
    mB.OnRecord(mRecord);
    mNow += 3s;
  }

  std::uint32_t Lease(AllowanceHolder& aHolder, std::uint32_t aDemand)
  {
    const std::uint64_t request = aHolder.BeginRequest(mNow);
    const LeaseGrant grant =
      mLedger.Grant({ &aHolder == &mA ? kA : kB, aDemand, aHolder.Claim() }, 1, mNow);
    if (grant.mRefusal == LeaseRefusal::None) {
      aHolder.OnGrant(request, grant.mGranted, grant.mDuration, grant.mClaim);
    }
    return aHolder.Allowance(mNow);
  }
};

} // namespace

TEST_CASE("scarce connections are divided fairly", "[allowance]")
{
  CHECK(FairShares({ 9, 1, 9 }, 9) == Shares{ 4, 1, 4 });
  CHECK(FairShares({ 9, 9, 9 }, 8) == Shares{ 3, 3, 2 });
  CHECK(FairShares({ 2, 3 }, 9) == Shares{ 2, 3 });
  CHECK(FairShares({}, 9).empty());
}

// Guards against a new keeper that grants connections which leases of its predecessor
// still use, and against leases granted without authority.
TEST_CASE("leases require a claim, authority and the end of the quarantine",
          "[allowance]")
{
  Fixture f;
  const auto refusal = [&f](std::uint64_t aClaim, std::optional<std::uint64_t> aEpoch) {
    return f.mLedger.Grant({ kA, 1, aClaim }, aEpoch, f.mNow).mRefusal;
  };
  CHECK(refusal(1, 1) == LeaseRefusal::None);
  CHECK(refusal(1, std::nullopt) == LeaseRefusal::NoAuthority);
  CHECK(refusal(1, 2) == LeaseRefusal::NoAuthority);
  CHECK(refusal(2, 1) == LeaseRefusal::NotKeeper);
  f.mNow -= 1ms;
  CHECK(refusal(1, 1) == LeaseRefusal::Quarantine);
  f.mLedger.StopGranting();
  CHECK(refusal(1, 1) == LeaseRefusal::NotKeeper);
  f.mRecord = RecordClaimedBy(f.mRecord, kB, 7);
  ++f.mRecord.mVersion;
  f.mLedger.SetRecord(f.mRecord, f.mNow);
  CHECK(refusal(1, 7) == LeaseRefusal::NotKeeper);
}

// Guards against a paused holder that uses an expired lease, and against a lease whose
// duration is counted from the arrival of a late answer.
TEST_CASE("a paused holder falls back to its floor", "[allowance]")
{
  Fixture f;
  const std::uint64_t request = f.mA.BeginRequest(f.mNow);
  const LeaseGrant grant = f.mLedger.Grant({ kA, 8, 1 }, 1, f.mNow + 1s);
  f.mA.OnGrant(request, grant.mGranted, grant.mDuration, grant.mClaim);
  CHECK(f.mA.ConnectionsToClose(12, f.mNow + 2999ms) == 0);
  CHECK(f.mA.ConnectionsToClose(12, f.mNow + 3s) == 8);
  CHECK(f.mLedger.Outstanding(f.mNow + 3s) == 8);
  CHECK(f.mA.Allowance(f.mNow + 1h) == 4);
  // The answer to a request from before the pause arrives after the pause.
  const std::uint64_t late = f.mA.BeginRequest(f.mNow + 4s);
  f.mA.OnGrant(late, 8, 3s, 1);
  CHECK(f.mA.Allowance(f.mNow + 7s) == 4);
}

// Guards against a lease that is replaced by an answer to an earlier request or by an
// answer of a replaced keeper, and against a ledger that forgets a lease after its answer
// was lost.
TEST_CASE("a holder uses the answer to its latest request", "[allowance]")
{
  Fixture f;
  const std::uint64_t first = f.mA.BeginRequest(f.mNow);
  const std::uint64_t second = f.mA.BeginRequest(f.mNow + 1s);
  f.mA.OnGrant(second, 2, 3s, 1);
  f.mA.OnGrant(first, 8, 3s, 1);
  CHECK(f.mA.Allowance(f.mNow + 1s) == 6);
  const std::uint64_t third = f.mA.BeginRequest(f.mNow + 2s);
  f.mRecord.mClaim = 2;
  ++f.mRecord.mVersion;
  f.mA.OnRecord(f.mRecord);
  f.mA.OnGrant(third, 8, 3s, 1);
  CHECK(f.mA.Allowance(f.mNow + 2s) == 6);
  // The ledger reserves the larger lease, because the holder goes on using it if the
  // answer is lost.
  CHECK(f.Lease(f.mB, 8) == 12);
  f.mLedger.Grant({ kB, 1, 1 }, 1, f.mNow + 1s);
  CHECK(f.mLedger.Outstanding(f.mNow + 2s) == 8);
  CHECK(f.mLedger.Outstanding(f.mNow + 3s) == 1);
}

// Guards against a zone that keeps the pool after the demand has moved to another zone.
TEST_CASE("the pool follows demand within one lease duration", "[allowance]")
{
  Fixture f;
  CHECK(f.Lease(f.mA, 8) == 12);
  CHECK(f.Lease(f.mB, 8) == 4);
  f.mNow += 1s;
  CHECK(f.Lease(f.mA, 0) == 4);
  f.mNow += 2s;
  CHECK(f.Lease(f.mB, 8) == 12);
}

// Guards against a lowered limit that never takes effect while all connections are in
// use.
TEST_CASE("a lowered limit takes effect as leases expire", "[allowance]")
{
  Fixture f;
  CHECK(f.Lease(f.mA, 8) == 12);
  f.mLedger.SetLimit(10, 2);
  f.mNow += 1s;
  CHECK(f.Lease(f.mB, 8) == 4);
  CHECK(f.Lease(f.mA, 8) + f.mB.Allowance(f.mNow) <= 10);
  f.mNow += 2s;
  CHECK(f.mLedger.Outstanding(f.mNow) <= 2);
  f.mLedger.SetLimit(16, 1);
  CHECK(f.mLedger.Limit() == 10);
}

// Guards against leasing out connections that a long transaction still uses after the
// lease of its home has expired.
TEST_CASE("connections in use stay reserved after their lease", "[allowance]")
{
  Fixture f;
  CHECK(f.Lease(f.mA, 8) == 12);
  f.mLedger.Grant({ kB, 8, 1, 0 }, 1, f.mNow + 2s);
  CHECK(f.mLedger.Grant({ kA, 8, 1, 6 }, 1, f.mNow + 2s).mGranted == 4);
  CHECK(f.mLedger.Grant({ kB, 8, 1, 0 }, 1, f.mNow + 3s).mGranted == 2);
}

// Guards against floors that are raised while leases use the same connections.
TEST_CASE("floors rise only when leases leave enough connections", "[allowance]")
{
  Fixture f;
  CHECK(f.Lease(f.mA, 8) == 12);
  AllocationRecord next = f.mRecord;
  next.mFloors[1].mFloor = 6;
  CHECK_FALSE(f.mLedger.PrepareFloors(next, f.mNow));
  f.mNow += 1s;
  CHECK(f.Lease(f.mA, 8) == 10);
  f.mNow += 2s;
  CHECK(f.mLedger.PrepareFloors(next, f.mNow));
  ++next.mVersion;
  f.mLedger.SetRecord(next, f.mNow);
  CHECK(f.Lease(f.mA, 8) == 10);
}

// Guards against connections of a floor that are used after their release was sent, and
// against a release of connections that are still open.
TEST_CASE("a home releases unused connections above its target", "[allowance]")
{
  Fixture f;
  CHECK_FALSE(f.mA.Release(0, f.mNow));
  f.mRecord.mFloors[0].mTarget = 1;
  ++f.mRecord.mVersion;
  f.mA.OnRecord(f.mRecord);
  CHECK(f.mA.Allowance(f.mNow) == 1);
  CHECK_FALSE(f.mA.Release(2, f.mNow));
  const auto released = f.mA.Release(1, f.mNow);
  REQUIRE(released);
  CHECK(released->mFloors[0] == HomeFloor{ kA, 1, 1 });
  CHECK(AllowanceHolder(kA).Allowance(f.mNow) == 0);
}
