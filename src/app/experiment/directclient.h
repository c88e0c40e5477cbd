#pragma once

#include "experiment/memberlogs.h"
#include "experiment/statementclient.h"

#include <memory>

namespace papayaspindle::experiment {

/**
 * Sends to the primaries themselves, over one connection for each session and group.
 *
 * The base line for the cost of the entry instances. It acknowledges a write as soon as
 * the primary answers, so an acknowledged write can be lost in a failover.
 */
class DirectClient : public StatementClient
{
public:
  explicit DirectClient(const MemberAddresses& aMembers);
  ~DirectClient() override;

  [[nodiscard]] std::size_t Instances() const override { return 1; }
  v1::ExecuteReply Execute(std::size_t aInstance,
                           std::size_t aSession,
                           const v1::ExecuteRequest& aRequest) override;
  v1::OutcomeReply Outcome(std::size_t aInstance,
                           std::size_t aSession,
                           const v1::OutcomeRequest& aRequest) override;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle::experiment
