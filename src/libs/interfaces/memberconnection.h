#pragma once

#include "backend.pb.h"
#include "core/error.h"
#include "core/timetypes.h"

namespace papayaspindle {

/**
 * One open connection to a backend server: one Backend.Session stream.
 *
 * Run has one caller at a time. Close may be called from another thread while Run waits;
 * Run then returns at once with an error.
 */
class MemberConnection
{
public:
  /** Closes the connection. */
  virtual ~MemberConnection() = default;

  /**
   * Sends one request as it is, with the sequence number that the caller chose, and waits
   * for the next answer. The caller of this interface compares the sequence numbers.
   *
   * Errors: StatementTooLarge and DeadlineBeforeStart when nothing was sent and the
   * connection is as good as before; MemberUnreachable when nothing was sent;
   * OutcomeUnknown when the request may have been sent and no whole answer arrived by the
   * deadline; AnswerTooLarge when the answer exceeds the size limit. After the last three
   * the connection is of no further use: an answer may still arrive and would be taken
   * for that of a later request.
   *
   * @param aRequest the request
   * @param aDeadline end of the wait, on this process's monotonic clock
   * @return the first whole answer that arrived after the request was sent
   */
  virtual Result<v1::SessionAnswer> Run(const v1::SessionRequest& aRequest,
                                        TimePoint aDeadline) = 0;

  /** Closes the connection at once; the member rolls back its open transaction. May be
   * called more than once. */
  virtual void Close() = 0;
};

} // namespace papayaspindle
