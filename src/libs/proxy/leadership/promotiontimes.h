#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/** Interval of the checks while there is no reason for a promotion. */
constexpr Duration kIdleCheckInterval = 100ms;
/** Interval of the checks during a promotion and while there is a reason for one. */
constexpr Duration kActiveCheckInterval = 20ms;

/** Delay before a primary that the directory doesn't list is replaced, as its absence may
 * be temporary. */
constexpr Duration kUnlistedPrimaryDelay = 300ms;
/** Time for other instances to refute a suspicion: two calls to the store and a feed. */
constexpr Duration kRefutationTime = 200ms;
/** Time for a refutation if no other instance shares the suspicion. */
constexpr Duration kSoleReporterRefutationTime = 900ms;
/** Time after a partition in which the instances of its smaller side claim no promotion;
 * the feed of the directory recovers in about half of it. */
constexpr Duration kPartitionRecoveryDelay = 1s;
/** A suspicion report is valid for this long, and is renewed after half of it. */
constexpr Duration kSuspicionReportLifetime = 3s;
/** An instance that has received an answer from the primary within this time refutes
 * suspicions of the primary. */
constexpr Duration kMaxRefutingReplyAge = 400ms;

/** Minimum time between two claims in a group, also by different instances; a promotion
 * takes about a second. */
constexpr Duration kMinClaimInterval = 2500ms;
/** A switchover is only done once an overload has lasted this long, because the
 * switchover interrupts the group's writes for about a second. */
constexpr Duration kMinOverloadTime = 300ms;
/** Minimum time between a promotion and a following switchover, because a switchover
 * interrupts the group's writes for about a second. */
constexpr Duration kMinSwitchoverInterval = 15s;
/** A switchover requires that all replicas lag by at least this time: a replica with less
 * lag catches up in about the time that a switchover takes. */
constexpr Duration kMinSwitchoverLag = 1500ms;
/** Delay before another switchover is tried after one that would not have helped. */
constexpr Duration kSwitchoverRetryDelay = 2s;
/** Time for which a member that has left the directory is assumed to receive commits. A
 * member that runs but can't reach the store is listed again within this time. */
constexpr Duration kDepartedMemberRetention = 30s;
/** Minimum interval between writes of a group's roster. */
constexpr Duration kRosterWriteInterval = 1s;
/** Interval in which the members of a group are asked whether a claim that has ended left
 * them paused. */
constexpr Duration kPauseCheckInterval = 1s;
/** Number of tokens that a claim reserves beyond the one it uses, for promotions while
 * the store is unavailable. */
constexpr std::uint64_t kReservedTokens = 4;
/** Distance between the first tokens of claims that replace rows of successive revisions;
 * a claim takes up to kReservedTokens + 1. */
constexpr std::uint64_t kTokensPerRevision = 8;
/** Revisions up to which the tokens of an incarnation follow the revision; they stay
 * below the tokens of the next one. */
constexpr std::uint64_t kMaxTokenRevision = std::uint64_t{ 1 } << 28U;
/** Delay of a reservation after the last change of the leadership row. */
constexpr Duration kReservationDelay = 3s;
/** Limit of an additional delay of reservations, which differs between instances so that
 * usually only one of them writes a reservation. */
constexpr std::uint64_t kMaxReservationJitterMs = 2000;
/** While the store is unavailable, the holder of reserved tokens replaces a primary that
 * has been down for this long; instances that can reach the store are faster. */
constexpr Duration kStoreUnavailableDelay = 1200ms;
/** Limit of the delay before a claim, which differs between instances so that usually
 * only one of them claims the promotion. */
constexpr std::uint64_t kMaxClaimJitterMs = 60;

/** Time for the replicas to report their received log positions. */
constexpr Duration kCandidateReplyTimeout = 300ms;
/** Promotion calls are only repeated for this long after the write of the row that names
 * the member was sent. Below kMinClaimInterval, so that all of them precede the calls of
 * another claim. */
constexpr Duration kCallWindow = 2s;
/** Interval in which the holder of a claim renews its row. Other instances consider a
 * claim abandoned if its row hasn't changed for kMinClaimInterval. */
constexpr Duration kClaimRenewalInterval = 1s;
/** Delay before a failed write of a row is repeated. */
constexpr Duration kRowRetryDelay = 100ms;
/** Delay before a promotion call without a result is repeated with the same token. */
constexpr Duration kCallRetryDelay = 100ms;
/** Maximum number of promotion calls of one attempt. */
constexpr std::uint32_t kMaxCalls = 6;
/** Time for which a member isn't considered as a candidate after its promotion was
 * refused. */
constexpr Duration kRefusedMemberExclusion = 1500ms;
/** Delay before another claim after an attempt that was abandoned. */
constexpr Duration kAbandonBackoff = 300ms;

} // namespace papayaspindle::proxy
