#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/** Interval of the checks while nothing is wrong, and during a promotion. */
constexpr Duration kWatchInterval = 100ms;
constexpr Duration kActiveInterval = 20ms;

/** A primary that leaves or is gone from the directory may be a passing state of it. */
constexpr Duration kGonePatience = 300ms;
/** Time for other instances to object to a doubt: two calls to the store and a feed. */
constexpr Duration kObjectionTime = 200ms;
/** The same when no other instance shares the doubt. */
constexpr Duration kLonelyObjectionTime = 900ms;
/** Pause after a partition before the instances of the smaller side claim anything: the
 * directory's feed is back in about half of it. */
constexpr Duration kReturnPause = 1s;
/** An opinion counts this long, and is renewed in half of it. */
constexpr Duration kOpinionLasts = 3s;
/** An instance that had an answer from the primary within this time objects to doubts. */
constexpr Duration kAliveEvidence = 400ms;

/** After a claim by any instance, no other one follows for this long: the promotion needs
 * about a second. */
constexpr Duration kClaimSpacing = 2500ms;
/** A switchover costs the group's writes about a second: it follows only on overload that
 * has lasted this long, and no other promotion follows for much longer. */
constexpr Duration kSwitchoverPatience = 300ms;
constexpr Duration kSwitchoverSpacing = 15s;
/** A replica that is less behind than this catches up in about the time that a switchover
 * takes. */
constexpr Duration kSwitchoverLag = 1500ms;
/** Pause after a switchover that was of no use. */
constexpr Duration kSwitchoverPause = 2s;
/** Tokens that a claim takes beyond the one it uses: attempts while the store is away. */
constexpr std::uint64_t kReservedTokens = 4;
/** A reservation waits this long after the last change of the row, and a bit more by
 * instance, so that mostly one instance writes it. */
constexpr Duration kReservationDelay = 3s;
constexpr std::uint64_t kReservationSpreadMs = 2000;
/** A primary that is down while the store is away is replaced by the holder of reserved
 * tokens after this time; instances that reach the store are faster. */
constexpr Duration kStoreAwayPatience = 1200ms;
/** Instances wait up to this long, each another time, so that mostly one claims. */
constexpr std::uint64_t kClaimSpreadMs = 60;

/** Time for the replicas to say what they received. */
constexpr Duration kChoiceTime = 300ms;
/** The same where acknowledged commits must not be missed. */
constexpr Duration kSafeChoiceTime = 2s;
/** Promotion calls are repeated only this long after the row that names the member was
 * sent; below kClaimSpacing, so that no call of another claim comes before them. */
constexpr Duration kCallValidity = 2s;
/** Others take a claim for left when its row hasn't changed for kClaimSpacing. */
constexpr Duration kClaimRenewal = 1s;
/** Pause before a row that the store did not take is written again. */
constexpr Duration kRowRetry = 100ms;
/** Pause before a promotion call without an answer is repeated with its token. */
constexpr Duration kCallPause = 100ms;
constexpr std::uint32_t kMaxCalls = 6;
/** A member that refused a promotion is left out for this long. */
constexpr Duration kRefusedPause = 1500ms;
constexpr Duration kAbandonPause = 300ms;

} // namespace papayaspindle::proxy
