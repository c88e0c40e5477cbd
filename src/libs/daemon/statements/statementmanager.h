#pragma once

#include "daemon/statements/statementhooks.h"
#include "daemon/statements/statementsettings.h"
#include "interfaces/statements.h"

#include <cstddef>
#include <memory>

namespace papayaspindle {

class Connections;
class FreshnessBoard;
class Groups;
class Homes;
class Instances;
class MemberControl;
class PeerCalls;
class PeerHandlers;
class Tracer;

/** What the manager of statements uses; all outlive it. */
struct StatementReferences
{
  Groups& mGroups;
  Homes& mHomes;
  Instances& mInstances;
  Connections& mConnections;
  MemberControl& mMembers;
  PeerCalls& mPeers;
  PeerHandlers& mHandlers;
  FreshnessBoard& mFreshness;
  Tracer& mTracer;
};

/**
 * Serves callers' statements: as a home with its own connections, otherwise by forwarding
 * to a home. Registers the handler of the peer method "Forward", which never forwards
 * again, so a request takes at most one hop between instances.
 *
 * Calls block on the caller's thread, at most until the request's deadline.
 */
class StatementManager : public Statements
{
public:
  StatementManager(const StatementReferences& aReferences,
                   StatementSettings aSettings,
                   StatementHooks aHooks);
  ~StatementManager() override;

  v1::ExecuteReply Execute(const v1::ExecuteRequest& aRequest,
                           const std::string& aTraceparent) override;
  v1::BeginReply Begin(const v1::BeginRequest& aRequest,
                       const std::string& aTraceparent) override;
  v1::ExecuteReply Commit(const v1::CommitRequest& aRequest,
                          const std::string& aTraceparent) override;
  v1::RollbackReply Rollback(const v1::RollbackRequest& aRequest,
                             const std::string& aTraceparent) override;
  v1::OutcomeReply Outcome(const v1::OutcomeRequest& aRequest,
                           const std::string& aTraceparent) override;

  /** Rolls back transactions that are idle for too long; called periodically. */
  void CloseIdleTransactions();
  /** @return transactions that are open at this home */
  [[nodiscard]] std::size_t OpenTransactions() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
