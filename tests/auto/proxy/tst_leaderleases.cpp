// Permissions to use a leader: which proof gives one, and for how long.

#include "proxy/leadership/coordinationrows.h"
#include "proxy/leadership/leaderleases.h"
#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/storeclock.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

StoredRow
Row(std::uint64_t aRevision, LeadershipState aState, const std::string& aLeader)
{
  StoredRow row;
  row.mKey = LeadershipKey("group");
  row.mValue = Encode(LeadershipRow{ 5, "holder", "p", aState, aLeader });
  row.mRevision = aRevision;
  return row;
}

MemberStatus
Following(std::uint64_t aHeldTerm = 0)
{
  MemberStatus status;
  status.mHeldTerm = aHeldTerm;
  return status;
}

/** @return permissions of an instance that has read the store at kStart */
LeaderLeases
FreshLeases()
{
  LeaderLeases leases(LeadEndedBy::Instances);
  leases.OnRows({});
  leases.OnStoreRead(kStart);
  return leases;
}

} // namespace

// Guards against a process that acts on what an earlier one was permitted.
TEST_CASE("a process that has read nothing has no permission")
{
  const LeaderLeases leases(LeadEndedBy::Instances);
  REQUIRE_FALSE(leases.Permits("group", "p", kStart));
}

TEST_CASE("where the platform ends a lead, everybody is permitted")
{
  const LeaderLeases leases(LeadEndedBy::Platform);
  REQUIRE(leases.Permits("group", "p", kStart));
}

TEST_CASE("a read of the store gives a permission that ends by itself")
{
  const LeaderLeases leases = FreshLeases();
  REQUIRE(leases.Permits("group", "p", kStart + kLeaderLease));
  REQUIRE_FALSE(leases.Permits("group", "p", kStart + kLeaderLease + 1ms));
}

TEST_CASE("rows decide who is permitted to lead")
{
  struct Case
  {
    LeadershipState mState;
    const char* mLeader;
    bool mOld;
    bool mNew;
  };
  const Case cases[] = {
    { LeadershipState::Claimed, "-", false, false },
    // A call of an earlier claim may still be done, but it isn't yet.
    { LeadershipState::Claimed, "r1", false, false },
    { LeadershipState::Calling, "r1", false, true },
    { LeadershipState::Settled, "r1", false, true },
    { LeadershipState::Settled, "p", true, false },
    // Rows of older versions don't name the leader.
    { LeadershipState::Reserved, "-", true, true },
  };
  for (const Case& row : cases) {
    INFO(static_cast<int>(row.mState) << " " << row.mLeader);
    LeaderLeases leases = FreshLeases();
    leases.OnRows(std::vector{ Row(7, row.mState, row.mLeader) });
    REQUIRE(leases.Permits("group", "p", kStart + 1ms) == row.mOld);
    REQUIRE(leases.Permits("group", "r1", kStart + 1ms) == row.mNew);
    REQUIRE(leases.Permits("other", "p", kStart + 1ms));
  }
}

TEST_CASE("a row that can't be read permits nobody")
{
  LeaderLeases leases = FreshLeases();
  StoredRow row = Row(7, LeadershipState::Settled, "p");
  row.mValue = "no leadership row";
  leases.OnRows(std::vector{ row });
  REQUIRE_FALSE(leases.Permits("group", "p", kStart + 1ms));
}

// Guards against a slow read that is answered after a faster feed.
TEST_CASE("an older row never replaces a newer one")
{
  LeaderLeases leases = FreshLeases();
  leases.OnRows(std::vector{ Row(9, LeadershipState::Claimed, "-") });
  leases.OnRows(std::vector{ Row(7, LeadershipState::Settled, "p") });
  REQUIRE_FALSE(leases.Permits("group", "p", kStart + 1ms));
}

TEST_CASE("followers renew a permission while the store is away, for a limited time")
{
  LeaderLeases leases = FreshLeases();
  TimePoint now = kStart;
  while (now - kStart < kFollowerLimit + 2s) {
    now += 500ms;
    leases.OnFollowerStatus("group", Following(), now - 10ms, now);
  }
  REQUIRE(leases.Permits("group", "p", kStart + kFollowerLimit));
  REQUIRE_FALSE(leases.Permits("group", "p", kStart + kFollowerLimit + 1ms));
}

TEST_CASE("a paused follower ends what followers have renewed")
{
  LeaderLeases leases = FreshLeases();
  leases.OnFollowerStatus("group", Following(), kStart + 1s, kStart + 1010ms);
  REQUIRE(leases.Permits("group", "p", kStart + 2s));
  leases.OnFollowerStatus("group", Following(3), kStart + 1500ms, kStart + 1510ms);
  REQUIRE_FALSE(leases.Permits("group", "p", kStart + 2s));
}

TEST_CASE("a follower that leads ends what followers have renewed")
{
  LeaderLeases leases = FreshLeases();
  leases.OnFollowerStatus("group", Following(), kStart + 1s, kStart + 1010ms);
  MemberStatus leading;
  leading.mRole = MemberRole::Primary;
  leases.OnFollowerStatus("group", leading, kStart + 1500ms, kStart + 1510ms);
  REQUIRE_FALSE(leases.Permits("group", "p", kStart + 2s));
}

// Guards against an instance that was suspended through a whole change of leader: the
// followers follow again when it wakes.
TEST_CASE("after a gap only the store gives a permission")
{
  LeaderLeases leases = FreshLeases();
  const TimePoint later = kStart + 3s;
  leases.OnFollowerStatus("group", Following(), later, later + 5ms);
  REQUIRE_FALSE(leases.Permits("group", "p", later + 6ms));
  leases.OnStoreRead(later + 10ms);
  REQUIRE(leases.Permits("group", "p", later + 20ms));
  // An answer that waited while the instance was suspended renews nothing either.
  leases.OnFollowerStatus("group", Following(), later + 500ms, later + 4s);
  REQUIRE_FALSE(leases.Permits("group", "p", later + 4s));
}

TEST_CASE("the store's clock never seems earlier than it was")
{
  StoreClock clock;
  REQUIRE_FALSE(clock.NotAfter(1));
  // The store's clock is 5 s ahead; the first reading takes 40 ms to be made.
  const auto reading = [](TimePoint aAt) {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(aAt.time_since_epoch() + 5s)
        .count());
  };
  clock.Add(reading(kStart + 40ms), kStart);
  REQUIRE(*clock.NotAfter(reading(kStart + 1s)) <= kStart + 1s);
  REQUIRE(*clock.NotAfter(reading(kStart + 1s)) >= kStart + 950ms);
  clock.Add(reading(kStart + 2s + 2ms), kStart + 2s);
  REQUIRE(*clock.NotAfter(reading(kStart + 3s)) <= kStart + 3s);
  REQUIRE(*clock.NotAfter(reading(kStart + 3s)) >= kStart + 2995ms);
}
