#pragma once

#include "caller.pb.h"

#include <string>

namespace papayaspindle {

/** Serves callers' requests at this instance: as a home, or by forwarding to one.
 * Blocking, thread-safe. */
class Statements
{
public:
  virtual ~Statements() = default;

  /** @param aTraceparent W3C trace context of the call; empty for none */
  virtual v1::ExecuteReply Execute(const v1::ExecuteRequest& aRequest,
                                   const std::string& aTraceparent) = 0;
  virtual v1::BeginReply Begin(const v1::BeginRequest& aRequest,
                               const std::string& aTraceparent) = 0;
  virtual v1::ExecuteReply Commit(const v1::CommitRequest& aRequest,
                                  const std::string& aTraceparent) = 0;
  virtual v1::RollbackReply Rollback(const v1::RollbackRequest& aRequest,
                                     const std::string& aTraceparent) = 0;
  virtual v1::OutcomeReply Outcome(const v1::OutcomeRequest& aRequest,
                                   const std::string& aTraceparent) = 0;
};

} // namespace papayaspindle
