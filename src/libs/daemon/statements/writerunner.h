#pragma once

#include "backend.pb.h"
#include "caller.pb.h"
#include "core/groupview.h"
#include "daemon/statements/attempt.h"
#include "daemon/statements/datapath.h"

#include <string>
#include <variant>

namespace papayaspindle {

/** Runs writes outside transactions, as a home. Thread-safe. */
class WriteRunner
{
public:
  explicit WriteRunner(const DataPath& aPath);

  /**
   * Runs the write at the primary and waits for its acknowledgement. The request id
   * protects the write, so it is sent again after a lost answer or a change of primary.
   *
   * @return reply without session token and hops
   */
  v1::ExecuteReply Run(HomeRequest& aRequest,
                       const std::string& aStatement,
                       const std::string& aRequestId) const;

private:
  using Attempt = std::variant<v1::ExecuteReply, AttemptFailure>;

  Attempt RunAt(HomeRequest& aRequest,
                const GroupView& aView,
                const v1::SessionRequest& aMessage,
                TimePoint aAttemptDeadline) const;
  Attempt Acknowledge(HomeRequest& aRequest,
                      const GroupView& aView,
                      v1::SessionAnswer&& aAnswer) const;

  const DataPath& mPath;
};

} // namespace papayaspindle
