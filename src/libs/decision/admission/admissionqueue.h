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

/** Id of a waiting request; unique within its queue and never reused. */
using TicketId = std::uint64_t;

/** Settings of an admission queue. */
struct AdmissionSettings
{
  /** Maximum number of waiting requests. */
  std::size_t mMaxWaiting = 256;
  /** Service time assumed until the first request has finished. */
  Duration mInitialServiceTime = std::chrono::milliseconds(5);
};

/** A request to be queued. */
struct AdmissionRequest
{
  CallerId mCaller;
  bool mWrite = false;
  TimePoint mDeadline;
};

/**
 * Queue of requests that wait for a connection to one member of a group.
 *
 * Refuses a request early when its deadline would pass in the queue. Callers take turns,
 * and the requests of each caller are served by deadline.
 */
class AdmissionQueue
{
public:
  explicit AdmissionQueue(const AdmissionSettings& aSettings);

  /** @param aServers number of statements that can run concurrently: the connections to
   * the member, but at most its slots */
  void SetConcurrency(std::uint32_t aServers);

  /**
   * Adds a request to the queue.
   *
   * @param aIdle number of idle connections
   * @return the ticket of the request. Errors: DeadlineBeforeStart when the deadline has
   * passed; Overloaded when the queue is full or the predicted wait passes the deadline.
   */
  Result<TicketId> Enter(const AdmissionRequest& aRequest,
                         std::uint32_t aIdle,
                         TimePoint aNow);
  /** Removes the requests whose deadline has passed. @return their tickets */
  std::vector<TicketId> Expire(TimePoint aNow);
  /** Removes the request to be served next. @return its ticket, or nothing when no
   * request is waiting */
  std::optional<TicketId> Next();
  /** Removes a request. @return whether the request was waiting */
  bool Leave(TicketId aTicket);

  /** Updates the average service time.
   * @param aServiceTime how long a connection was in use for one request */
  void UpdateServiceTime(Duration aServiceTime);

  /** @return number of waiting requests */
  [[nodiscard]] std::size_t Waiting() const;
  /** @return the predicted wait of a request that the caller adds now */
  [[nodiscard]] Duration PredictedWait(const CallerId& aCaller,
                                       TimePoint aDeadline,
                                       std::uint32_t aIdle) const;

private:
  /** Tickets of one caller, ordered by deadline. */
  using CallerQueue = std::set<std::pair<TimePoint, TicketId>>;

  [[nodiscard]] bool HasCapacityFor(bool aWrite) const;
  void Remove(TicketId aTicket);

  AdmissionSettings mSettings;
  std::uint32_t mConcurrency = 1;
  Duration mServiceTime;
  TicketId mNextTicket = 1;
  std::size_t mReads = 0;
  std::map<TicketId, AdmissionRequest> mTickets;
  std::map<CallerId, CallerQueue> mCallers;
  /** Callers with waiting requests, in the order in which they are served. */
  std::deque<CallerId> mCallerRotation;
};

} // namespace papayaspindle
