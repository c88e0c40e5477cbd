#pragma once

#include "caller.pb.h"

#include <cstddef>

namespace papayaspindle::experiment {

/** Where the sessions' requests go. Thread-safe. */
class StatementClient
{
public:
  virtual ~StatementClient() = default;

  /** @return how many entry instances a session can be at */
  [[nodiscard]] virtual std::size_t Instances() const = 0;
  /**
   * @param aInstance index of the entry instance
   * @param aSession number of the session; one session makes one call at a time
   * @return the reply; a broken call is an error of kind "call_failed" that may have run
   */
  virtual v1::ExecuteReply Execute(std::size_t aInstance,
                                   std::size_t aSession,
                                   const v1::ExecuteRequest& aRequest) = 0;
  /** @return the reply; a broken call is an error */
  virtual v1::OutcomeReply Outcome(std::size_t aInstance,
                                   std::size_t aSession,
                                   const v1::OutcomeRequest& aRequest) = 0;
};

} // namespace papayaspindle::experiment
