#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/** Interval of the checks of pools, samples and idle transactions. */
constexpr Duration kMaintenanceInterval = 100ms;

/** A sample of the primary's position older than this is renewed while bounded reads
 * arrive; a fraction of the shortest staleness in use (1.5 s), so that replicas are asked
 * for positions of about that age. */
constexpr Duration kSampleInterval = 400ms;
/** Sampling stops this long after the last bounded read. */
constexpr Duration kSampleDemand = 5s;

/** Pause before a member that refused an opening for lack of connections is asked again;
 * doubles to the upper limit. */
constexpr Duration kOpenBackoffFirst = 100ms;
constexpr Duration kOpenBackoffMost = 1s;
/** Opening that takes longer is given up: several handshakes of the slowest group. */
constexpr Duration kOpenTimeout = 600ms;
/** A host that doesn't accept a connection within this time can't be reached: many round
 * trips within a region. */
constexpr Duration kConnectTimeout = 250ms;

/** A replica that lacked a position is left out of such reads for this long, doubling. */
constexpr Duration kLagBackoffFirst = 50ms;
constexpr Duration kLagBackoffMost = 800ms;

/** A replica that has lagged for longer than this may be far behind: usual lags are below
 * the staleness that reads accept (1.5 s and more). */
constexpr Duration kLagPatience = 800ms;
/** A refusal for overload counts this long as a sign that the primary has too much work.
 */
constexpr Duration kOverloadSign = 500ms;

/** A member that refused to lead is not taken for the primary for this long. */
constexpr Duration kNotLeadingPause = 200ms;
/** A promotion may take this long until its member leads; a group whose primary refuses
 * to lead for longer needs another one. */
constexpr Duration kLeaderlessPatience = 2500ms;
/** Pause between searches for a leader among all members of a group. */
constexpr Duration kLeaderSearchInterval = 150ms;
/** A proof of leadership is believed without the directory for this long. */
constexpr Duration kProofLasts = 2s;

/** Pause before an operation that every member refused is tried again. */
constexpr Duration kRetryPause = 15ms;
/** Answers later than this, with nothing received meanwhile, make a connection suspect.
 */
constexpr Duration kSilence = 300ms;
/** Part of a statement's timeout that it may wait for a connection. */
constexpr double kWaitShare = 0.9;
/** Reads are sent to at most this many members. */
constexpr std::uint32_t kReadAttempts = 4;

/** Part of the latency objective after which a waiting statement can't be answered within
 * it; the rest is for running it. */
constexpr double kObjectiveShare = 0.8;
/** Lower bound of a service time in predictions. */
constexpr Duration kShortestService = 1ms;
/** Assumed extra cost of a member in another zone: a round trip. */
constexpr Duration kZonePenalty = 3ms;
/** Assumed extra cost of reads at the primary, which alone can run writes. */
constexpr Duration kPrimaryPenalty = 30ms;

/** An instance holds at most this many times its share of a member's connections. */
constexpr std::uint32_t kBorrowFactor = 2;
/** After a refusal beyond the base share, no more are opened for this long. */
constexpr Duration kBorrowPause = 1s;
/** One in so many connections of the base share is held when unused. After a loss of
 * power, members still count the old connections for some seconds, and new ones must fit
 * beside them. */
constexpr std::uint32_t kHeldPart = 2;
/** Connections beyond the held share are given back when unused for this long. */
constexpr Duration kIdleBorrowed = 250ms;
/** Connections to a leaving member are closed when unused for this long. */
constexpr Duration kIdleConnection = 3s;

/** A client that comes before the first configuration waits this long: half of the time
 * that clients wait for their greeting (2 s). */
constexpr Duration kConfigurationPatience = 1s;

/** Clients still arrive until two readiness probes, one a second, have failed. */
constexpr Duration kReadinessNotice = 2200ms;
/** Time before the end of the grace at which every session is closed. */
constexpr Duration kDrainMargin = 700ms;

/** A draining primary takes statements this long while its successor is chosen; below the
 * shortest drain limit in use (7 s). */
constexpr Duration kDrainingPrimaryUse = 4500ms;

/** A statement unanswered for this long, and for this many times the member's usual time,
 * while later ones were answered, has lost its answer. */
constexpr Duration kLostAnswer = 200ms;
constexpr int kLostAnswerFactor = 8;

/** Weight of the newest service time in the smoothed one. */
constexpr int kServiceTimeWeight = 8;

/** Statements that a session may send ahead of its answers. */
constexpr std::size_t kMaxBacklog = 64;

} // namespace papayaspindle::proxy
