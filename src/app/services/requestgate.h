#pragma once

#include "core/timetypes.h"

#include <cstddef>
#include <memory>

namespace papayaspindle {

/** Counts requests in flight and closes for new work when the instance drains.
 * Thread-safe; its lock is a leaf. */
class RequestGate
{
public:
  RequestGate();
  ~RequestGate();

  /**
   * Lets a request in; each request that got in must leave.
   *
   * @param aContinues whether the request belongs to work that was accepted before, for
   * example an open transaction; such requests get in until the gate is shut
   * @return whether it got in
   */
  bool Enter(bool aContinues);
  void Leave();

  /** Refuses new work from now on. */
  void StartDrain();
  [[nodiscard]] bool Draining() const;
  [[nodiscard]] std::size_t InFlight() const;
  /**
   * Waits until no request is in flight.
   *
   * @return whether that came before the deadline
   */
  bool WaitUntilIdle(TimePoint aDeadline) const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
