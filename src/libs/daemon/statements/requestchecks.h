#pragma once

#include "caller.pb.h"
#include "core/error.h"
#include "daemon/statements/datapath.h"
#include "daemon/statements/transactiontable.h"

namespace papayaspindle {

/** Checks requests; every error is "not run". Thread-safe. */
class RequestChecks
{
public:
  RequestChecks(const Groups& aGroups,
                const SessionTokenCodec& aTokens,
                const StatementSettings& aSettings);

  /**
   * Errors: MalformedRequest, StatementTooLarge, UnknownGroup, UnknownTransaction,
   * BadSessionToken.
   *
   * @return the request without deadline and trace context
   */
  [[nodiscard]] Result<HomeRequest> Check(const v1::ExecuteRequest& aMessage) const;
  /** @copydoc Check */
  [[nodiscard]] Result<HomeRequest> Check(const v1::BeginRequest& aMessage) const;
  /** @copydoc Check */
  [[nodiscard]] Result<HomeRequest> Check(const v1::CommitRequest& aMessage) const;
  /** @copydoc Check */
  [[nodiscard]] Result<HomeRequest> Check(const v1::RollbackRequest& aMessage) const;
  /** @copydoc Check */
  [[nodiscard]] Result<HomeRequest> Check(const v1::OutcomeRequest& aMessage) const;

  /** @return oldest data that a checked read accepts; 0 when it states none */
  [[nodiscard]] Duration MaxStaleness(const HomeRequest& aRequest,
                                      const v1::ExecuteRequest& aMessage) const;

private:
  [[nodiscard]] Result<HomeRequest> CheckSession(const std::string& aGroup,
                                                 const std::string& aToken) const;
  [[nodiscard]] Result<TransactionAddress> CheckTransaction(
    const std::string& aTransactionId) const;

  const Groups& mGroups;
  const SessionTokenCodec& mTokens;
  const StatementSettings& mSettings;
};

} // namespace papayaspindle
