#pragma once

#include "caller.grpc.pb.h"
#include "core/hooks.h"
#include "interfaces/statements.h"
#include "services/calldispatcher.h"

#include <chrono>
#include <cstddef>

namespace papayaspindle {

/** Limits of callers' requests. */
struct CallerLimits
{
  std::size_t mStatementBytes = 0;
  /** Deadline of calls that state none. */
  std::chrono::milliseconds mDefaultTimeout{};
};

/** The gRPC service for callers; hands each call to a worker. */
class CallerService : public v1::Caller::CallbackService
{
public:
  CallerService(Statements& aStatements,
                CallDispatcher aDispatcher,
                CallerLimits aLimits,
                NowHook aNow);

  grpc::ServerUnaryReactor* Execute(grpc::CallbackServerContext* aContext,
                                    const v1::ExecuteRequest* aRequest,
                                    v1::ExecuteReply* aReply) override;
  grpc::ServerUnaryReactor* Begin(grpc::CallbackServerContext* aContext,
                                  const v1::BeginRequest* aRequest,
                                  v1::BeginReply* aReply) override;
  grpc::ServerUnaryReactor* Commit(grpc::CallbackServerContext* aContext,
                                   const v1::CommitRequest* aRequest,
                                   v1::ExecuteReply* aReply) override;
  grpc::ServerUnaryReactor* Rollback(grpc::CallbackServerContext* aContext,
                                     const v1::RollbackRequest* aRequest,
                                     v1::RollbackReply* aReply) override;
  grpc::ServerUnaryReactor* Outcome(grpc::CallbackServerContext* aContext,
                                    const v1::OutcomeRequest* aRequest,
                                    v1::OutcomeReply* aReply) override;

private:
  template<typename Request, typename Reply, typename Call>
  grpc::ServerUnaryReactor* DispatchTimed(grpc::CallbackServerContext* aContext,
                                          const Request* aRequest,
                                          Reply* aReply,
                                          bool aContinues,
                                          Call aCall);
  [[nodiscard]] TimePoint DeadlineOf(const grpc::CallbackServerContext& aContext,
                                     std::uint64_t aTimeoutMs) const;

  Statements& mStatements;
  CallDispatcher mDispatcher;
  const CallerLimits mLimits;
  const NowHook mNow;
};

} // namespace papayaspindle
