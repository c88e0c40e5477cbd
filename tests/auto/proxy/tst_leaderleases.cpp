// Tests of the leases on leaders: which proof grants a lease, and for how long.

#include "proxy/leadership/coordinationrows.h"
#include "proxy/leadership/leaderleases.h"
#include "proxy/leadership/leasekeeper.h"
#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/storeclock.h"

#include <catch2/catch.hpp>

#include <utility>

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
  status.mPausedTerm = aHeldTerm;
  return status;
}

/** @return leases of an instance that has not read the store */
LeaderLeases
Leases(LeadershipEnforcer aEnforcer, std::uint32_t aSynchronousReplicas = 0)
{
  return LeaderLeases(
    aEnforcer, [aSynchronousReplicas](std::string_view) { return aSynchronousReplicas; });
}

/** @return leases of an instance that has read an empty store at kStart */
LeaderLeases
FreshLeases(std::uint32_t aSynchronousReplicas = 0)
{
  LeaderLeases leases = Leases(LeadershipEnforcer::Instances, aSynchronousReplicas);
  leases.OnRows({});
  leases.OnStoreRead(kStart);
  return leases;
}

} // namespace

// Guards against a process that relies on the leases of its predecessor.
TEST_CASE("a process that has not read the store holds no lease")
{
  const LeaderLeases leases = Leases(LeadershipEnforcer::Instances);
  REQUIRE_FALSE(leases.HoldsLease("group", "p", kStart));
}

// Guards against a statement without a group, for which no row can name a leader.
TEST_CASE("no lease is held without a group or a member")
{
  const LeaderLeases leases = FreshLeases();
  REQUIRE(leases.HoldsLease("group", "p", kStart));
  REQUIRE_FALSE(leases.HoldsLease("", "p", kStart));
  REQUIRE_FALSE(leases.HoldsLease("group", "", kStart));
}

TEST_CASE("no lease is needed where the platform terminates old leaderships")
{
  const LeaderLeases leases = Leases(LeadershipEnforcer::Platform);
  REQUIRE(leases.HoldsLease("group", "p", kStart));
}

// Guards against commits that are acknowledged between the choice of a new leader and the
// moment at which the platform terminates the old leadership.
TEST_CASE("leases are needed on every platform in groups with synchronous replicas")
{
  const LeaderLeases leases = Leases(LeadershipEnforcer::Platform, 1);
  REQUIRE_FALSE(leases.HoldsLease("group", "p", kStart));
}

TEST_CASE("a read of the store grants a lease that expires")
{
  const LeaderLeases leases = FreshLeases();
  REQUIRE(leases.HoldsLease("group", "p", kStart + kLeaderLease));
  REQUIRE_FALSE(leases.HoldsLease("group", "p", kStart + kLeaderLease + 1ms));
}

TEST_CASE("the leadership row determines the member on which a lease is held")
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
    // An unanswered call of an earlier claim may promote r1, but has not done so yet.
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
    REQUIRE(leases.HoldsLease("group", "p", kStart + 1ms) == row.mOld);
    REQUIRE(leases.HoldsLease("group", "r1", kStart + 1ms) == row.mNew);
    REQUIRE(leases.HoldsLease("other", "p", kStart + 1ms));
  }
}

TEST_CASE("an undecodable leadership row ends the lease on every member")
{
  LeaderLeases leases = FreshLeases();
  StoredRow row = Row(7, LeadershipState::Settled, "p");
  row.mValue = "no leadership row";
  leases.OnRows(std::vector{ row });
  REQUIRE_FALSE(leases.HoldsLease("group", "p", kStart + 1ms));
}

// Guards against a slow read whose answer arrives after that of a newer feed.
TEST_CASE("an older row never replaces a newer one")
{
  LeaderLeases leases = FreshLeases();
  leases.OnRows(std::vector{ Row(9, LeadershipState::Claimed, "-") });
  leases.OnRows(std::vector{ Row(7, LeadershipState::Settled, "p") });
  REQUIRE_FALSE(leases.HoldsLease("group", "p", kStart + 1ms));
}

// Guards against an instance that goes on using a leader whose successor is named by a
// row of lower revision, because the store has returned to an older state (review case
// 11).
TEST_CASE("a row of a newer incarnation replaces one of a higher revision")
{
  LeaderLeases leases = FreshLeases();
  const auto row =
    [](std::uint64_t aIncarnation, std::uint64_t aRevision, const std::string& aLeader) {
      StoredRow stored = Row(aRevision, LeadershipState::Settled, aLeader);
      stored.mIncarnation = aIncarnation;
      return std::vector{ stored };
    };
  leases.OnRows(row(3, 9, "p"));
  leases.OnRows(row(4, 7, "r1"));
  REQUIRE_FALSE(leases.HoldsLease("group", "p", kStart + 1ms));
  REQUIRE(leases.HoldsLease("group", "r1", kStart + 1ms));
  leases.OnRows(row(3, 10, "p"));
  REQUIRE(leases.HoldsLease("group", "r1", kStart + 1ms));
}

TEST_CASE("followers renew a lease for a limited time while the store is unavailable")
{
  // With one synchronous replica, a claim has to pause every follower before it can
  // succeed, so that a primary can be used throughout a longer outage.
  const auto [synchronousReplicas, limit] =
    GENERATE(std::pair<std::uint32_t, Duration>{ 0, kFollowerProofLimit },
             std::pair<std::uint32_t, Duration>{ 1, kSoleReplicaProofLimit },
             std::pair<std::uint32_t, Duration>{ 2, kFollowerProofLimit });
  LeaderLeases leases = FreshLeases(synchronousReplicas);
  TimePoint now = kStart;
  while (now - kStart < limit + 2s) {
    now += 500ms;
    leases.OnFollowerStatus("group", Following(), now - 10ms, now);
  }
  REQUIRE(leases.HoldsLease("group", "p", kStart + limit));
  REQUIRE_FALSE(leases.HoldsLease("group", "p", kStart + limit + 1ms));
}

TEST_CASE("a paused follower revokes the renewals by followers")
{
  LeaderLeases leases = FreshLeases();
  leases.OnFollowerStatus("group", Following(), kStart + 1s, kStart + 1010ms);
  REQUIRE(leases.HoldsLease("group", "p", kStart + 2s));
  leases.OnFollowerStatus("group", Following(3), kStart + 1500ms, kStart + 1510ms);
  REQUIRE_FALSE(leases.HoldsLease("group", "p", kStart + 2s));
}

TEST_CASE("a follower that has become the primary revokes the renewals by followers")
{
  LeaderLeases leases = FreshLeases();
  leases.OnFollowerStatus("group", Following(), kStart + 1s, kStart + 1010ms);
  MemberStatus leading;
  leading.mRole = MemberRole::Primary;
  leases.OnFollowerStatus("group", leading, kStart + 1500ms, kStart + 1510ms);
  REQUIRE_FALSE(leases.HoldsLease("group", "p", kStart + 2s));
}

// Guards against an instance that is suspended during a whole change of leader: when it
// resumes, the followers are no longer paused.
TEST_CASE("an expired lease can only be renewed by a read of the store")
{
  LeaderLeases leases = FreshLeases();
  const TimePoint later = kStart + 3s;
  leases.OnFollowerStatus("group", Following(), later, later + 5ms);
  REQUIRE_FALSE(leases.HoldsLease("group", "p", later + 6ms));
  leases.OnStoreRead(later + 10ms);
  REQUIRE(leases.HoldsLease("group", "p", later + 20ms));
  // A reply that was received before a suspension and is handled after it doesn't renew
  // the lease either.
  leases.OnFollowerStatus("group", Following(), later + 500ms, later + 4s);
  REQUIRE_FALSE(leases.HoldsLease("group", "p", later + 4s));
}

TEST_CASE(
  "the converted time of a store clock reading is never later than the actual time")
{
  StoreClock clock;
  REQUIRE_FALSE(clock.EarliestLocalTime(1));
  // The store's clock is 5 s ahead. The first reading is taken 40 ms after its request
  // was sent.
  const auto reading = [](TimePoint aAt) {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(aAt.time_since_epoch() + 5s)
        .count());
  };
  clock.Add(reading(kStart + 40ms), kStart);
  REQUIRE(*clock.EarliestLocalTime(reading(kStart + 1s)) <= kStart + 1s);
  REQUIRE(*clock.EarliestLocalTime(reading(kStart + 1s)) >= kStart + 950ms);
  clock.Add(reading(kStart + 2s + 2ms), kStart + 2s);
  REQUIRE(*clock.EarliestLocalTime(reading(kStart + 3s)) <= kStart + 3s);
  REQUIRE(*clock.EarliestLocalTime(reading(kStart + 3s)) >= kStart + 2995ms);
}

// Guards against a process that serves no group for a second after it has read its
// configuration.
TEST_CASE("a process renews leases as soon as it knows its groups")
{
  LeaderLeases leases = Leases(LeadershipEnforcer::Instances);
  std::vector<std::string> groups;
  std::size_t reads = 0;
  LeaseKeeperHooks hooks;
  hooks.mGroups = [&groups] { return groups; };
  hooks.mFollowers = [](std::string_view) { return std::vector<MemberEntry>(); };
  hooks.mLeaderZone = [](std::string_view) { return std::optional<std::string>(); };
  hooks.mReadStore = [&reads](TimePoint) { reads++; };
  hooks.mNow = [] { return kStart; };
  LeaseKeeper keeper("zone-a", leases, hooks);
  keeper.OnTimer(kStart);
  REQUIRE(reads == 0);
  groups = { "group" };
  keeper.OnGroupsChanged();
  REQUIRE(keeper.NextTimer() <= kStart + 1ms);
  keeper.OnTimer(kStart + 1ms);
  REQUIRE(reads == 1);
}
