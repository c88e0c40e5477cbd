#pragma once

#include "core/timetypes.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace papayaspindle {

/** Times of a graceful shutdown. */
struct DrainSettings
{
  /** Until peers, callers and the balancer know of the leave; new work is served. */
  std::chrono::milliseconds mAnnounce{ 3000 };
  /** From the begin of the drain; then the instance stops with work in flight. */
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

/** Kinds of work that arrive. */
enum class WorkKind : std::uint8_t
{
  /** A statement outside a transaction, or the begin of one. */
  NewRequest,
  /** A statement, commit or rollback of a transaction that is open here. */
  OpenTransaction,
  /** Look-up of an outcome. */
  Outcome,
  /** Probes, confirmations and other control calls. */
  Control,
};

/** Work that a stop would interrupt. */
struct WorkInFlight
{
  std::size_t mRequests = 0;
  std::size_t mOpenTransactions = 0;
};

/** Graceful shutdown of this instance: it interrupts no request before the deadline. */
class DrainState
{
public:
  explicit DrainState(DrainSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /** Begins the drain; a second call changes nothing. */
  void Begin(TimePoint aNow);
  /** @return the phase after this moment */
  DrainPhase Tick(TimePoint aNow, WorkInFlight aWork);
  [[nodiscard]] DrainPhase Phase() const { return mPhase; }
  /** @return whether the work is served; if not, it is refused as ErrorKind::Draining */
  [[nodiscard]] bool Accepts(WorkKind aKind) const;

private:
  DrainSettings mSettings;
  DrainPhase mPhase = DrainPhase::Serving;
  TimePoint mBegan;
};

} // namespace papayaspindle
