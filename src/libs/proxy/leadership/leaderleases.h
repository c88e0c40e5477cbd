#pragma once

#include "core/timetypes.h"
#include "proxy/memberstatus.h"
#include "proxy/rowstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Who terminates the leadership of a member that is replaced. */
enum class LeadershipEnforcer : std::uint8_t
{
  /** The platform, when a promotion takes effect. */
  Platform,
  /** The instances: the platform doesn't stop an old leader, which continues until it is
   * demoted or connects to the new leader. */
  Instances,
};

/**
 * Decides whether the instances terminate the leadership of a member before they call the
 * platform to promote another one (LeadershipTransfer).
 *
 * With synchronous replicas, they do so on every platform: a commit that the old leader
 * acknowledges after its successor was chosen isn't in the successor's log.
 */
constexpr bool
IsTerminatedByInstances(LeadershipEnforcer aEnforcer, std::uint32_t aSynchronousReplicas)
{
  return aEnforcer == LeadershipEnforcer::Instances || aSynchronousReplicas > 0;
}

/**
 * This instance's leases on the leaders of its groups. A valid lease guarantees that no
 * other member leads the group.
 *
 * Where the instances terminate the leadership of a replaced leader, an instance may
 * acknowledge commits of a leader and read from it only while it holds a lease on it. A
 * lease expires kLeaderLease after the request for the proof that it is based on was
 * sent. A proof is a read of the store that shows no newer claim or, while the lease is
 * still valid, the status of a follower that isn't paused. An instance that promotes a
 * member first writes its claim, then pauses the followers, and waits until all leases
 * granted before have expired (LeadershipTransfer).
 *
 * Renewals by followers can't outlast a pause of all followers for kLeaderLease, because
 * each proof is requested within kLeaderLease of the previous one.
 *
 * All times are on a clock that also counts while the machine is suspended. This class is
 * single-threaded.
 */
class LeaderLeases
{
public:
  /** @param aSynchronousReplicas returns the number of replicas of a group that receive a
   * commit before it is acknowledged */
  LeaderLeases(
    LeadershipEnforcer aEnforcer,
    std::function<std::uint32_t(std::string_view aGroup)> aSynchronousReplicas);

  /** Updates the leaders from rows of the coordination table: all rows, or those that
   * have changed. */
  void OnRows(std::span<const StoredRow> aRows);
  /** Records that the rows passed to OnRows were read by a request sent at aSentAt. */
  void OnStoreRead(TimePoint aSentAt);
  /** Records that the rows passed to OnRows were the newest ones at about the time aAt.
   * This only extends the time in which followers can renew leases. */
  void OnStoreContact(TimePoint aAt);
  /**
   * Renews the lease on a group's leader from the status of a follower, or revokes the
   * renewals by followers if the member is paused or leads.
   *
   * @param aAskedAt time read before the request was sent
   * @param aNow time read after the reply was received
   */
  void OnFollowerStatus(std::string_view aGroup,
                        const MemberStatus& aStatus,
                        TimePoint aAskedAt,
                        TimePoint aNow);

  /** @return whether the group's leader may only be used with a lease on it */
  [[nodiscard]] bool AreNeeded(std::string_view aGroup) const
  {
    return IsTerminatedByInstances(mEnforcer, mSynchronousReplicas(aGroup));
  }
  /** @return whether this instance holds a valid lease on the member as the leader of the
   * group, or needs none; no lease is held without a group or a member */
  [[nodiscard]] bool HoldsLease(std::string_view aGroup,
                                std::string_view aMember,
                                TimePoint aNow) const;
  /** @return the leader that the group's newest row names; an empty string while a claim
   * is in progress; nothing if no row names a leader */
  [[nodiscard]] std::optional<std::string> Leader(std::string_view aGroup) const;
  /** @return when the lease on the group's leader expires */
  [[nodiscard]] TimePoint LeaseExpiry(std::string_view aGroup) const;
  /** @return time until which followers can renew leases on the group's leader */
  [[nodiscard]] TimePoint FollowerProofsExpiry(std::string_view aGroup) const;

private:
  struct Lease
  {
    StoreRevision mVersion;
    /** Leader that the newest row names, in the form that Leader() returns. */
    std::optional<std::string> mLeader;
    /** Expiry of the lease as renewed by followers. */
    TimePoint mFollowerLeaseExpiry;
  };

  LeadershipEnforcer mEnforcer;
  std::function<std::uint32_t(std::string_view aGroup)> mSynchronousReplicas;
  /** OnRows was called. */
  bool mHasRows = false;
  /** When the last successful read of the rows was sent. */
  TimePoint mStoreReadAt;
  /** When the rows were last confirmed by the store to be the newest ones. */
  TimePoint mStoreContactAt;
  std::map<std::string, Lease, std::less<>> mLeases;
};

} // namespace papayaspindle::proxy
