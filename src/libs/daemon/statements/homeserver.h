#pragma once

#include "daemon/statements/datapath.h"
#include "daemon/statements/outcomelookup.h"
#include "daemon/statements/readrunner.h"
#include "daemon/statements/requestchecks.h"
#include "daemon/statements/transactionrunner.h"
#include "daemon/statements/writerunner.h"
#include "peer.pb.h"

#include <string>

namespace papayaspindle {

/** Serves requests with this instance's own connections; never forwards. Thread-safe. */
class HomeServer
{
public:
  HomeServer(const DataPath& aPath, const RequestChecks& aChecks);

  /**
   * @param aMessage the request; from_instance and remaining_ms are not read
   * @param aDeadline end of the caller's patience, on this instance's clock
   */
  v1::ForwardReply Serve(const v1::ForwardRequest& aMessage,
                         TimePoint aDeadline,
                         const std::string& aTraceparent);

  [[nodiscard]] TransactionRunner& Transactions() { return mTransactions; }

private:
  v1::ExecuteReply Execute(HomeRequest& aRequest, const v1::ExecuteRequest& aMessage);
  v1::OutcomeReply Outcome(HomeRequest& aRequest, const v1::OutcomeRequest& aMessage);
  template<typename Message, typename Call>
  auto Checked(const Message& aMessage,
               TimePoint aDeadline,
               const std::string& aTraceparent,
               Call aCall);
  v1::ExecuteReply Finish(HomeRequest& aRequest,
                          bool aHasWritten,
                          v1::ExecuteReply aReply);
  [[nodiscard]] std::string TokenOf(const HomeRequest& aRequest) const;

  const DataPath& mPath;
  const RequestChecks& mChecks;
  OutcomeLookup mLookup;
  ReadRunner mReads;
  WriteRunner mWrites;
  TransactionRunner mTransactions;
};

} // namespace papayaspindle
