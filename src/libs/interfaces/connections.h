#pragma once

#include "backend.pb.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/timetypes.h"

#include <cstdint>
#include <string>

namespace papayaspindle {

/** Id of a connection in the connection table; never reused. */
using ConnectionId = std::uint64_t;

/** Request for a connection from the pool. */
struct AcquireRequest
{
  GroupId mGroup;
  MemberId mMember;
  CallerId mCaller;
  /** Whether the connection is for a write; part of the queue is reserved for writes. */
  bool mWrite = false;
  /** End of the wait. */
  TimePoint mDeadline;
  /** W3C trace context of the span for the wait; empty for a new trace. */
  std::string mTraceparent;
};

/** State of a connection when it is released. */
enum class ConnectionState : std::uint8_t
{
  /** The connection has no open transaction and no outstanding answer. */
  Clean,
  /** The connection is in any other state and is closed. */
  Unknown,
};

/**
 * Pooled connections of this instance to backend servers.
 *
 * Thread-safe. A connection has exactly one owner between Acquire() and Release().
 */
class Connections
{
public:
  virtual ~Connections() = default;

  /**
   * Waits until the deadline for a free connection.
   *
   * Errors, all with Execution::NotRun: Overloaded, DeadlineBeforeStart, ConnectionLimit,
   * MemberUnreachable, Draining, UnknownGroup.
   */
  virtual Result<ConnectionId> Acquire(const AcquireRequest& aRequest) = 0;

  /**
   * Sends one request and waits for its answer. The sequence number of the connection is
   * set in the request and compared with that in the answer.
   *
   * Errors: MemberUnreachable when nothing was sent; OutcomeUnknown when the request was
   * sent and no complete answer with the same sequence number arrived by the deadline;
   * AnswerTooLarge. After an error the connection is unusable and must be released as
   * ConnectionState::Unknown.
   */
  virtual Result<v1::SessionAnswer> Run(ConnectionId aConnection,
                                        v1::SessionRequest aRequest,
                                        TimePoint aDeadline) = 0;

  /** Returns the connection to the pool, or closes it if it is not clean or if more
   * connections are open than the allowance permits. */
  virtual void Release(ConnectionId aConnection, ConnectionState aState) = 0;
};

} // namespace papayaspindle
