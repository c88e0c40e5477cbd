#pragma once

#include "core/timetypes.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace papayaspindle {

/** Durations of a graceful shutdown, both counted from its start. */
struct DrainSettings
{
  /** Time for peers, callers and the load balancer to learn of the shutdown. New work is
   * still accepted meanwhile. */
  std::chrono::milliseconds mAnnounce{ 3000 };
  /** The instance stops after this time even if work is in flight. */
  std::chrono::milliseconds mDeadline{ 30000 };
};

/** Phases of a graceful shutdown, in order. */
enum class DrainPhase : std::uint8_t
{
  Serving,
  Announcing,
  Draining,
  Stopped,
};

/** Kinds of incoming work. */
enum class WorkKind : std::uint8_t
{
  /** A statement outside a transaction, or the beginning of a transaction. */
  NewRequest,
  /** A statement, commit or rollback of a transaction that is open at this instance. */
  OpenTransaction,
  /** Look-up of a request's outcome. */
  Outcome,
  /** Probes, confirmations and other control calls. */
  Control,
};

/** Amount of work that stopping now would interrupt. */
struct WorkInFlight
{
  std::size_t mRequests = 0;
  std::size_t mOpenTransactions = 0;
};

/** Graceful shutdown of this instance, which interrupts no request before the deadline.
 */
class DrainState
{
public:
  explicit DrainState(DrainSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /** Starts the drain; further calls have no effect. */
  void Begin(TimePoint aNow);
  /** Advances the phase. @return the phase at aNow */
  DrainPhase Tick(TimePoint aNow, WorkInFlight aWork);
  [[nodiscard]] DrainPhase Phase() const { return mPhase; }
  /** @return whether work of this kind is accepted; otherwise it must be refused with
   * ErrorKind::Draining */
  [[nodiscard]] bool Accepts(WorkKind aKind) const;

private:
  DrainSettings mSettings;
  DrainPhase mPhase = DrainPhase::Serving;
  TimePoint mStartedAt;
};

} // namespace papayaspindle
