#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace papayaspindle {

/** Key of a waiting request; never reused by its queue. */
using TicketId = std::uint64_t;

/** Places of a queue. */
struct AdmissionSettings
{
  /** Requests that may wait. */
  std::size_t mPlaces = 256;
  /** Service time that is assumed before the first request has finished. */
  Duration mFirstServiceTime = std::chrono::milliseconds(5);
};

/** A request that wants to wait. */
struct AdmissionRequest
{
  CallerId mCaller;
  bool mWrite = false;
  TimePoint mDeadline;
};

/** Requests that wait for a connection to one member of a group. */
class AdmissionQueue
{
public:
  explicit AdmissionQueue(const AdmissionSettings& aSettings);

  /** @param aServers statements that can run at once: connections to the member, at most
   * its slots */
  void SetServers(std::uint32_t aServers);

  /**
   * Takes a place in the queue.
   *
   * @param aIdle connections that are free now
   * @return the ticket. Errors: DeadlineBeforeStart when the deadline has passed;
   * Overloaded when the places are taken or the predicted wait passes the deadline.
   */
  Result<TicketId> Enter(const AdmissionRequest& aRequest,
                         std::uint32_t aIdle,
                         TimePoint aNow);
  /** @return the tickets whose deadline has passed; they have left the queue */
  std::vector<TicketId> Expire(TimePoint aNow);
  /** @return the ticket to serve next, which leaves the queue: callers take turns, and
   * each caller's requests go by deadline */
  std::optional<TicketId> Next();
  /** @return whether the ticket was waiting; it has left the queue */
  bool Leave(TicketId aTicket);

  /** Takes the time that a connection was in use for one request. */
  void OnServed(Duration aServiceTime);

  /** @return requests that wait */
  [[nodiscard]] std::size_t Waiting() const;
  /** @return the predicted wait of a request that the caller would add now */
  [[nodiscard]] Duration PredictedWait(const CallerId& aCaller,
                                       TimePoint aDeadline,
                                       std::uint32_t aIdle) const;

private:
  /** Tickets of one caller by deadline. */
  using CallerQueue = std::set<std::pair<TimePoint, TicketId>>;

  [[nodiscard]] bool HasPlace(bool aWrite) const;
  void Remove(TicketId aTicket);

  AdmissionSettings mSettings;
  std::uint32_t mServers = 1;
  Duration mServiceTime;
  TicketId mNextTicket = 1;
  std::size_t mReads = 0;
  std::map<TicketId, AdmissionRequest> mTickets;
  std::map<CallerId, CallerQueue> mCallers;
  /** Callers with waiting requests in the order of their turns. */
  std::deque<CallerId> mTurns;
};

} // namespace papayaspindle
