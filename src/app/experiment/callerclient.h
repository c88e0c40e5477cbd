#pragma once

#include "caller.grpc.pb.h"
#include "experiment/statementclient.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace papayaspindle::experiment {

/** Calls to the entry instances, as a caller behind the balancer makes them. */
class CallerClient : public StatementClient
{
public:
  /** @param aAddresses "ip:port" of each entry instance */
  explicit CallerClient(const std::vector<std::string>& aAddresses);

  [[nodiscard]] std::size_t Instances() const override { return mStubs.size(); }
  v1::ExecuteReply Execute(std::size_t aInstance,
                           std::size_t aSession,
                           const v1::ExecuteRequest& aRequest) override;
  v1::OutcomeReply Outcome(std::size_t aInstance,
                           std::size_t aSession,
                           const v1::OutcomeRequest& aRequest) override;

private:
  [[nodiscard]] v1::Caller::Stub& StubFor(std::size_t aInstance,
                                          std::size_t aSession) const;

  std::vector<std::vector<std::unique_ptr<v1::Caller::Stub>>> mStubs;
};

} // namespace papayaspindle::experiment
