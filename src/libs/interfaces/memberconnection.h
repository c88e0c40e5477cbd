#pragma once

#include "backend.pb.h"
#include "core/error.h"
#include "core/timetypes.h"

namespace papayaspindle {

/**
 * An open connection to a backend server, implemented by one Backend.Session stream.
 *
 * Run() must not be called concurrently. Close() may be called from another thread while
 * Run() waits; Run() then returns immediately with an error.
 */
class MemberConnection
{
public:
  /** Closes the connection. */
  virtual ~MemberConnection() = default;

  /**
   * Sends one request unchanged and waits for the next answer. The code that uses this
   * interface sets the sequence number of the request and compares it with that of the
   * answer.
   *
   * Errors: StatementTooLarge and DeadlineBeforeStart when nothing was sent and the
   * connection can still be used; MemberUnreachable when nothing was sent; OutcomeUnknown
   * when the request may have been sent and no complete answer arrived by the deadline;
   * AnswerTooLarge when the answer exceeds the size limit. After the last three errors
   * the connection must not be used again, because an answer that arrives late would be
   * taken for the answer to a later request.
   *
   * @param aRequest the request
   * @param aDeadline end of the wait on the monotonic clock of this process
   * @return the first complete answer that arrived after the request was sent
   */
  virtual Result<v1::SessionAnswer> Run(const v1::SessionRequest& aRequest,
                                        TimePoint aDeadline) = 0;

  /** Closes the connection immediately; the member then rolls back the open transaction
   * of the connection. May be called more than once. */
  virtual void Close() = 0;
};

} // namespace papayaspindle
