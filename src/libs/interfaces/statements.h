#pragma once

#include "caller.pb.h"

#include <string>

namespace papayaspindle {

/** Serves the requests of callers. If this instance is not a home of the database group,
 * the request is forwarded to one. Thread-safe; the calls block. */
class Statements
{
public:
  virtual ~Statements() = default;

  /** @param aTraceparent W3C trace context of the call; may be empty */
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
