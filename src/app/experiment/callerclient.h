#pragma once

#include "caller.grpc.pb.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace papayaspindle::experiment {

/** Calls to the entry instances, as a caller behind the balancer makes them. */
class CallerClient
{
public:
  /** @param aAddresses "ip:port" of each entry instance */
  explicit CallerClient(const std::vector<std::string>& aAddresses);

  [[nodiscard]] std::size_t Instances() const { return mStubs.size(); }
  /**
   * @param aInstance index of the entry instance
   * @param aSpread picks one of the connections to it
   * @return the reply; a broken call is an error of kind "call_failed" that may have run
   */
  v1::ExecuteReply Execute(std::size_t aInstance,
                           std::size_t aSpread,
                           const v1::ExecuteRequest& aRequest) const;
  /** @return the reply; a broken call is an error */
  v1::OutcomeReply Outcome(std::size_t aInstance,
                           std::size_t aSpread,
                           const v1::OutcomeRequest& aRequest) const;

private:
  [[nodiscard]] v1::Caller::Stub& StubFor(std::size_t aInstance,
                                          std::size_t aSpread) const;

  std::vector<std::vector<std::unique_ptr<v1::Caller::Stub>>> mStubs;
};

} // namespace papayaspindle::experiment
