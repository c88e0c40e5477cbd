#pragma once

#include <chrono>

namespace papayaspindle {

/** Duration of a pool lease; the holder counts it from before it sent its request. */
constexpr std::chrono::seconds kLeaseDuration{ 3 };
/** Duration of a keeper's authority, counted from before the renewal was sent. */
constexpr std::chrono::seconds kAuthorityDuration{ 30 };
/** Interval between two renewals of the authority. */
constexpr std::chrono::seconds kAuthorityRenewalInterval{ 10 };
/** Pause before a failed renewal is retried. */
constexpr std::chrono::seconds kAuthorityRetryInterval{ 1 };
/** How long an authority row must stay unchanged before a successor may take over. */
constexpr std::chrono::seconds kTakeoverWait{ 30 };
/** How long a new keeper refuses requests after it learned that its claim is committed.
 */
constexpr std::chrono::seconds kLeaseQuarantine{ 3 };

// Leases of the previous keeper must have expired before a successor grants its first
// one. Let c be the time at which a renewal is committed. The previous keeper stops
// granting before c + authority, so its last lease ends before c + authority + lease. A
// successor reads the row at c at the earliest, claims at c + takeover wait and grants at
// c + takeover wait + quarantine. Monotonic clocks are assumed to run at the same rate.
static_assert(kTakeoverWait + kLeaseQuarantine >= kAuthorityDuration + kLeaseDuration);
// When a keeper has withdrawn its claim, the successor skips the takeover wait. The
// quarantine alone must then outlast the leases.
static_assert(kLeaseQuarantine >= kLeaseDuration);

} // namespace papayaspindle
