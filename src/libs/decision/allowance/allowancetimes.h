#pragma once

#include <chrono>

namespace papayaspindle {

/** How long a pool lease lasts; its holder counts from before its request was sent. */
constexpr std::chrono::seconds kLeaseDuration{ 3 };
/** How long a keeper's authority lasts, counted from before its renewal was sent. */
constexpr std::chrono::seconds kAuthorityDuration{ 30 };
/** Time between two renewals of the authority. */
constexpr std::chrono::seconds kAuthorityRenewalInterval{ 10 };
/** Pause before a renewal that failed is tried again. */
constexpr std::chrono::seconds kAuthorityRetryInterval{ 1 };
/** How long a successor must see an authority row unchanged. */
constexpr std::chrono::seconds kTakeoverWait{ 30 };
/** How long a new keeper grants nothing after its claim is known to be committed. */
constexpr std::chrono::seconds kLeaseQuarantine{ 3 };

// Let c be the moment at which a renewal is committed. The old keeper grants until before
// c + authority, and a lease granted at its last moment ends before c + authority +
// lease. A successor sees the row at c at the earliest, claims at c + takeover wait and
// grants at c + takeover wait + quarantine. Monotonic clocks are assumed to run at the
// same rate.
static_assert(kTakeoverWait + kLeaseQuarantine >= kAuthorityDuration + kLeaseDuration);
// A claim that its keeper gave up needs no takeover wait, so the quarantine alone covers
// the leases.
static_assert(kLeaseQuarantine >= kLeaseDuration);

} // namespace papayaspindle
