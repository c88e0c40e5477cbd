#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/** Duration of a lease on a leader, from the request for the proof that it is based on. A
 * claim has to wait as long. The duration leaves time for several renewals. */
constexpr Duration kLeaderLease = 1200ms;
/** Interval of the status requests to a follower that renew a lease. */
constexpr Duration kLeaseRenewalInterval = 450ms;
/** Timeout of a status request that renews a lease; another follower is queried after it.
 */
constexpr Duration kFollowerReplyTimeout = 250ms;
/** Followers can renew a lease for this long after the last contact with the store:
 * longer than most outages of the store (4 to 7 s). A claim that can't pause every
 * follower has to wait as long. */
constexpr Duration kFollowerProofLimit = 8s;
/** The same with one synchronous replica, where a claim has to pause every follower in
 * any case. Below kDepartedMemberRetention, for which a claim awaits a follower that has
 * left the directory. */
constexpr Duration kSoleReplicaProofLimit = 20s;
/** Maximum error of the time that is recorded for a contact with the store. */
constexpr Duration kStoreContactError = 500ms;
/** The store is read once a lease is valid for less than this time. */
constexpr Duration kStoreReadMargin = 450ms;
/** Minimum interval between reads of the store that renew leases. */
constexpr Duration kStoreReadInterval = 200ms;
/** Minimum interval between reads of the store while a claim is in progress, in case a
 * feed misses the outcome of the claim. */
constexpr Duration kClaimReadInterval = 1s;
/** How long a feed of the coordination rows waits for changes where leases are needed.
 * The last contact with the store is never much longer ago. */
constexpr Duration kLeaseFeedWait = 2s;

/** @return how long followers can renew leases of a group after the last contact with the
 * store */
constexpr Duration
FollowerProofLimit(std::uint32_t aSynchronousReplicas)
{
  return aSynchronousReplicas == 1 ? kSoleReplicaProofLimit : kFollowerProofLimit;
}

/** Timeout for the old leader's reply that it has stepped down. */
constexpr Duration kDemoteTimeout = 300ms;
/** Time for which a transfer waits for a replica to receive the last commits of a leader
 * that has stepped down. */
constexpr Duration kCatchUpTimeout = 500ms;
/** Interval of the status requests to replicas that receive the last commits of a leader
 * that has stepped down. */
constexpr Duration kCatchUpPollInterval = 25ms;
/** A promotion call without an answer may still take effect for this long. */
constexpr Duration kLateCallWindow = 6s;
/** Delay before the pause command to a follower that did not answer is repeated. */
constexpr Duration kPauseRetryDelay = 250ms;
/** Duration of a transfer that pauses the followers, if all of them answer. After it, the
 * transfer also asks the old leader whether it is back. */
constexpr Duration kUsualPauseTime = kLeaderLease + kDemoteTimeout;
/** A transfer fails if no replica has answered for this long. */
constexpr Duration kTransferTimeout = 2s;

} // namespace papayaspindle::proxy
