#pragma once

#include "backend.pb.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/timetypes.h"

#include <cstdint>
#include <string>

namespace papayaspindle {

/** Key of a connection in the connection table; never reused. */
using ConnectionId = std::uint64_t;

/** What is wanted of a connection. */
struct AcquireRequest
{
  GroupId mGroup;
  MemberId mMember;
  CallerId mCaller;
  /** Writes may use the places that are kept for them. */
  bool mWrite = false;
  TimePoint mDeadline;
  /** W3C trace context of the wait's span; empty for a new trace. */
  std::string mTraceparent;
};

/** State in which a connection comes back. */
enum class ConnectionState : std::uint8_t
{
  /** No open transaction and every answer received. */
  Clean,
  /** Anything else; the connection is closed. */
  Unknown,
};

/**
 * This instance's pooled connections to backend servers.
 *
 * Thread-safe. A connection has one owner from Acquire to Release.
 */
class Connections
{
public:
  virtual ~Connections() = default;

  /**
   * Waits for a free connection until the deadline.
   *
   * Errors (all "not run"): Overloaded, DeadlineBeforeStart, ConnectionLimit,
   * MemberUnreachable, Draining, UnknownGroup.
   */
  virtual Result<ConnectionId> Acquire(const AcquireRequest& aRequest) = 0;

  /**
   * Sends one request and waits for its answer. The connection's own sequence number is
   * filled in and checked.
   *
   * Errors: MemberUnreachable when nothing was sent; OutcomeUnknown when it was sent and
   * no whole, matching answer arrived by the deadline; AnswerTooLarge. After an error the
   * connection is condemned and must be released as Unknown.
   */
  virtual Result<v1::SessionAnswer> Run(ConnectionId aConnection,
                                        v1::SessionRequest aRequest,
                                        TimePoint aDeadline) = 0;

  /** Gives the connection back; closes it unless it is clean and within the allowance. */
  virtual void Release(ConnectionId aConnection, ConnectionState aState) = 0;
};

} // namespace papayaspindle
