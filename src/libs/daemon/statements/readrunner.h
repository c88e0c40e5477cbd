#pragma once

#include "backend.pb.h"
#include "caller.pb.h"
#include "daemon/statements/attempt.h"
#include "daemon/statements/datapath.h"
#include "decision/routing/readchooser.h"

#include <variant>

namespace papayaspindle {

/** Runs reads outside transactions, as a home. Thread-safe. */
class ReadRunner
{
public:
  explicit ReadRunner(const DataPath& aPath);

  /**
   * @param aMaxStaleness oldest data that the read accepts; 0 when it states none
   * @return reply without session token and hops
   */
  v1::ExecuteReply Run(HomeRequest& aRequest,
                       const std::string& aStatement,
                       Duration aMaxStaleness) const;

private:
  using Attempt = std::variant<v1::ExecuteReply, AttemptFailure>;

  struct Placement
  {
    ReadRequest mQuestion;
    std::string mStatement;
    TimePoint mAttemptDeadline;
  };

  Attempt Serve(HomeRequest& aRequest,
                Placement& aPlacement,
                const ReadAction& aAction) const;
  Attempt FromReplica(HomeRequest& aRequest,
                      Placement& aPlacement,
                      const ServeFromReplica& aAction) const;
  Attempt FromPrimary(HomeRequest& aRequest, const Placement& aPlacement) const;
  void WaitFor(const HomeRequest& aRequest, const WaitForReplica& aAction) const;

  const DataPath& mPath;
  ReadChooser mChooser;
};

} // namespace papayaspindle
