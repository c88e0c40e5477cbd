#pragma once

#include "core/error.h"
#include "core/hooks.h"
#include "daemon/connections/connectiontable.h"
#include "decision/admission/connectionhealth.h"

#include <optional>

namespace papayaspindle {

/** How one request on a connection ended. */
struct RunOutcome
{
  Result<v1::SessionAnswer> mAnswer;
  /** Set when the connection must not be used again. */
  std::optional<InvalidationReason> mCondemned;
  TimePoint mSentAt;
};

/**
 * Sends one request with the turn's sequence number and checks the answer.
 *
 * @param aNow source of monotonic time
 * @return the answer, or an error of Connections::Run
 */
RunOutcome RunOnce(const ConnectionTurn& aTurn,
                   v1::SessionRequest aRequest,
                   TimePoint aDeadline,
                   const NowHook& aNow);

} // namespace papayaspindle
