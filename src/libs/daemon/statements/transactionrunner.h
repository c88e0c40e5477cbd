#pragma once

#include "backend.pb.h"
#include "caller.pb.h"
#include "core/groupview.h"
#include "daemon/statements/attempt.h"
#include "daemon/statements/datapath.h"
#include "daemon/statements/transactiontable.h"

#include <string>
#include <variant>

namespace papayaspindle {

class OutcomeLookup;

/** Runs transactions, as their home. Each has one connection of its own. Thread-safe. */
class TransactionRunner
{
public:
  TransactionRunner(const DataPath& aPath, const OutcomeLookup& aLookup);

  v1::BeginReply Begin(HomeRequest& aRequest);
  /** @return reply without session token and hops */
  v1::ExecuteReply Execute(HomeRequest& aRequest, const v1::ExecuteRequest& aMessage);
  /** @return reply without session token and hops */
  v1::ExecuteReply Commit(HomeRequest& aRequest, const v1::CommitRequest& aMessage);
  v1::RollbackReply Rollback(HomeRequest& aRequest, const TransactionId& aId);

  /** Closes the connections of transactions that are idle for too long, which rolls them
   * back. */
  void CloseIdle();
  /** @return open transactions */
  [[nodiscard]] std::size_t Count() const { return mTable.Count(); }

private:
  std::variant<v1::BeginReply, AttemptFailure> BeginAt(HomeRequest& aRequest,
                                                       const GroupView& aView);
  v1::ExecuteReply CommitOpen(HomeRequest& aRequest,
                              const OpenTransaction& aTransaction,
                              const std::string& aRequestId);
  v1::ExecuteReply AcknowledgeCommit(HomeRequest& aRequest,
                                     const OpenTransaction& aTransaction,
                                     v1::SessionAnswer&& aAnswer,
                                     const std::string& aRequestId);
  /** @return the reply to a commit whose answer is lost or whose transaction is not open
   */
  v1::ExecuteReply LookUpCommit(HomeRequest& aRequest,
                                const std::string& aRequestId,
                                std::optional<std::uint64_t> aHighestSentTerm,
                                const Error& aWhenNotRun) const;

  const DataPath& mPath;
  const OutcomeLookup& mLookup;
  TransactionTable mTable;
};

} // namespace papayaspindle
