#include "services/callerservice.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

CallerService::CallerService(Statements& aStatements,
                             CallDispatcher aDispatcher,
                             CallerLimits aLimits,
                             NowHook aNow)
  : mStatements(aStatements)
  , mDispatcher(aDispatcher)
  , mLimits(aLimits)
  , mNow(std::move(aNow))
{
}

grpc::ServerUnaryReactor*
CallerService::Execute(grpc::CallbackServerContext* aContext,
                       const v1::ExecuteRequest* aRequest,
                       v1::ExecuteReply* aReply)
{
  if (aRequest->statement().size() > mLimits.mStatementBytes) {
    CallDispatcher::SetError(aReply, ErrorKind::StatementTooLarge);
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }
  // A statement of an open transaction is accepted work: a drain lets it finish.
  const bool continues = !aRequest->transaction_id().empty();
  return DispatchTimed(
    aContext,
    aRequest,
    aReply,
    continues,
    [this](const v1::ExecuteRequest& aTimed, const std::string& aTraceparent) {
      return mStatements.Execute(aTimed, aTraceparent);
    });
}

grpc::ServerUnaryReactor*
CallerService::Begin(grpc::CallbackServerContext* aContext,
                     const v1::BeginRequest* aRequest,
                     v1::BeginReply* aReply)
{
  return DispatchTimed(
    aContext,
    aRequest,
    aReply,
    false,
    [this](const v1::BeginRequest& aTimed, const std::string& aTraceparent) {
      return mStatements.Begin(aTimed, aTraceparent);
    });
}

grpc::ServerUnaryReactor*
CallerService::Commit(grpc::CallbackServerContext* aContext,
                      const v1::CommitRequest* aRequest,
                      v1::ExecuteReply* aReply)
{
  return DispatchTimed(
    aContext,
    aRequest,
    aReply,
    true,
    [this](const v1::CommitRequest& aTimed, const std::string& aTraceparent) {
      return mStatements.Commit(aTimed, aTraceparent);
    });
}

grpc::ServerUnaryReactor*
CallerService::Rollback(grpc::CallbackServerContext* aContext,
                        const v1::RollbackRequest* aRequest,
                        v1::RollbackReply* aReply)
{
  return mDispatcher.Dispatch(
    aContext, aReply, true, [this, aRequest, aReply](const std::string& aTraceparent) {
      *aReply = mStatements.Rollback(*aRequest, aTraceparent);
    });
}

grpc::ServerUnaryReactor*
CallerService::Outcome(grpc::CallbackServerContext* aContext,
                       const v1::OutcomeRequest* aRequest,
                       v1::OutcomeReply* aReply)
{
  return DispatchTimed(
    aContext,
    aRequest,
    aReply,
    true,
    [this](const v1::OutcomeRequest& aTimed, const std::string& aTraceparent) {
      return mStatements.Outcome(aTimed, aTraceparent);
    });
}

template<typename Request, typename Reply, typename Call>
grpc::ServerUnaryReactor*
CallerService::DispatchTimed(grpc::CallbackServerContext* aContext,
                             const Request* aRequest,
                             Reply* aReply,
                             bool aContinues,
                             Call aCall)
{
  const TimePoint deadline = DeadlineOf(*aContext, aRequest->timeout_ms());
  return mDispatcher.Dispatch(
    aContext,
    aReply,
    aContinues,
    [this, aRequest, aReply, deadline, call = std::move(aCall)](
      const std::string& aTraceparent) {
      // The wait for a worker counts against the caller's deadline.
      const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - mNow());
      if (remaining.count() <= 0) {
        CallDispatcher::SetError(aReply, ErrorKind::DeadlineBeforeStart);
        return;
      }
      Request timed = *aRequest;
      timed.set_timeout_ms(static_cast<std::uint64_t>(remaining.count()));
      *aReply = call(timed, aTraceparent);
    });
}

TimePoint
CallerService::DeadlineOf(const grpc::CallbackServerContext& aContext,
                          std::uint64_t aTimeoutMs) const
{
  constexpr std::uint64_t kLongestMs = 3'600'000;
  const auto stated = std::chrono::milliseconds(std::min(aTimeoutMs, kLongestMs));
  const auto timeout = aTimeoutMs == 0 ? mLimits.mDefaultTimeout : stated;
  const auto callEnd = aContext.deadline();
  const auto wallNow = std::chrono::system_clock::now();
  if (callEnd >= wallNow + timeout) {
    return mNow() + timeout;
  }
  return mNow() + std::chrono::duration_cast<Duration>(callEnd - wallNow);
}

} // namespace papayaspindle
