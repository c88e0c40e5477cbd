#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/** Interval between checks of connection pools, position samples and sessions. */
constexpr Duration kMaintenanceInterval = 100ms;

/** Age at which the newest position sample is renewed while bounded reads arrive. A
 * fraction of the shortest staleness in use (1.5 s), so that reads require positions
 * hardly newer than their staleness demands. */
constexpr Duration kSampleInterval = 400ms;
/** Time after the last bounded read when sampling stops. */
constexpr Duration kSamplingTimeout = 5s;

/** Pause before the next attempt to open a connection after a failed or refused one;
 * doubles with each failure up to half of kOpenBackoffMax. */
constexpr Duration kOpenBackoffMin = 100ms;
constexpr Duration kOpenBackoffMax = 1s;
/** Time limit for opening a connection: several handshakes of the slowest group. */
constexpr Duration kOpenTimeout = 600ms;
/** Time limit for the member's host to accept a connection: many round trips within a
 * region. */
constexpr Duration kConnectTimeout = 250ms;

/** Time for which a replica that lacked a required position receives no further reads
 * with a required position; doubles with each refusal up to the maximum. */
constexpr Duration kLagBackoffMin = 50ms;
constexpr Duration kLagBackoffMax = 800ms;

/** A replica that lags for longer than this may be far behind, because usual lags are
 * below the staleness that reads accept (1.5 s and more). */
constexpr Duration kLagTolerance = 800ms;
/** Time for which an overload refusal indicates that the primary is overloaded. */
constexpr Duration kOverloadIndicationTime = 500ms;

/** Time for which a member that refused to lead is not considered the primary. */
constexpr Duration kNotLeadingPause = 200ms;
/** Time that a promoted member may take to become leader; a primary that refuses to lead
 * for longer needs a replacement. */
constexpr Duration kLeaderlessTimeout = 2500ms;
/** Minimum interval between searches for the leader among all members of a group. */
constexpr Duration kLeaderSearchInterval = 150ms;
/** Time for which a proof of leadership takes precedence over the directory. */
constexpr Duration kLeadershipProofLifetime = 2s;

/** Pause before an operation that was refused by every candidate member is tried again.
 */
constexpr Duration kRetryPause = 15ms;
/** A member that has sent nothing for this long while an answer is due is considered
 * unresponsive. */
constexpr Duration kUnresponsiveAfter = 300ms;
/** Fraction of the statement timeout that a statement may wait for a connection. */
constexpr double kMaxWaitShare = 0.9;
/** Maximum number of attempts for an operation that may safely be repeated. */
constexpr std::uint32_t kMaxReadAttempts = 4;

/** Fraction of the latency objective that a statement may wait for a connection; the rest
 * is reserved for running the statement. */
constexpr double kObjectiveShare = 0.8;
/** Assumed extra cost of a read in another availability zone: one round trip. */
constexpr Duration kRemoteZoneCost = 3ms;
/** Assumed extra cost of a read at the primary; replicas are preferred because only the
 * primary can run writes. */
constexpr Duration kPrimaryReadCost = 30ms;

/** Assumed extra cost of a read for which a connection has to be opened: the handshake
 * and two round trips. */
constexpr Duration kOpeningCost = 20ms;

/** Maximum number of connections to a member, as a multiple of the instance's share. */
constexpr std::uint32_t kMaxBorrowFactor = 2;
/** Pause before connections beyond the base share are opened again after a refusal. */
constexpr Duration kBorrowPause = 1s;
/** Divisor of the base share that gives the number of unused connections to keep. After a
 * power loss, members still count the old connections for some seconds, and new
 * connections must fit within the limit beside them. */
constexpr std::uint32_t kRetainedShareDivisor = 2;
/** Idle time after which connections beyond the retained share are closed. */
constexpr Duration kSurplusIdleTimeout = 250ms;
/** Idle time after which connections to a draining member are closed. */
constexpr Duration kDrainingIdleTimeout = 3s;

/** Time that a client may wait for the first configuration: half of the time that clients
 * wait for their greeting (2 s). */
constexpr Duration kConfigurationTimeout = 1s;

/** Time until new clients stop arriving after readiness is withdrawn: the load balancer
 * needs two failed readiness probes, one per second. */
constexpr Duration kReadinessPropagation = 2200ms;
/** Time before the end of the grace period at which all remaining sessions are closed. */
constexpr Duration kDrainCloseMargin = 700ms;

/** Time for which a draining primary still receives statements while its successor is
 * chosen; below the shortest drain limit in use (7 s). */
constexpr Duration kDrainingPrimaryUse = 4500ms;

/** The answer to a statement is considered lost when the member has answered later
 * statements and the wait exceeds both this time and this multiple of the usual service
 * time. */
constexpr Duration kLostAnswerTimeout = 200ms;
constexpr int kLostAnswerFactor = 8;

/** Number of answers over which the service time is smoothed (inverse weight of the
 * newest). */
constexpr int kServiceTimeSmoothing = 8;

/** Maximum number of statements that a client may send ahead of their answers. */
constexpr std::size_t kMaxBacklog = 64;
/** Bytes of the shapes of prepared statements whose names are remembered. Clients choose
 * the shapes, so without a limit their number grows as long as the process runs. */
constexpr std::size_t kMaxPreparedNameBytes = 2U << 20U;
/** Bytes of a table entry besides its texts. */
constexpr std::size_t kEntryOverheadBytes = 128;

} // namespace papayaspindle::proxy
