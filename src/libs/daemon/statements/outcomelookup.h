#pragma once

#include "core/groupview.h"
#include "daemon/statements/datapath.h"
#include "decision/write/requestoutcome.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle {

/** Looks up what became of a write by its request id, as a home. Thread-safe. */
class OutcomeLookup
{
public:
  explicit OutcomeLookup(const DataPath& aPath);
  /** Waits for calls in flight. */
  ~OutcomeLookup();

  /**
   * Asks the members until the outcome is proven, a majority answered without a proof, or
   * the deadline passes.
   *
   * @param aHighestSentTerm as of DecideOutcome
   */
  RequestOutcome Run(const HomeRequest& aRequest,
                     const std::string& aRequestId,
                     std::optional<std::uint64_t> aHighestSentTerm) const;

private:
  std::vector<FindRequestReport> AskMembers(const HomeRequest& aRequest,
                                            const GroupView& aView,
                                            const std::string& aRequestId) const;

  struct Private;
  const DataPath& mPath;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
