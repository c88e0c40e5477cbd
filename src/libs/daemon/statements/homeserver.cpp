#include "daemon/statements/homeserver.h"

#include "convert/convert.h"
#include "daemon/statements/replies.h"
#include "decision/session/sessiontokencodec.h"
#include "interfaces/instances.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

HomeServer::HomeServer(const DataPath& aPath, const RequestChecks& aChecks)
  : mPath(aPath)
  , mChecks(aChecks)
  , mLookup(aPath)
  , mReads(aPath)
  , mWrites(aPath)
  , mTransactions(aPath, mLookup)
{
}

/** Calls aCall(request) for a message that passes the checks. */
template<typename Message, typename Call>
auto
HomeServer::Checked(const Message& aMessage,
                    TimePoint aDeadline,
                    const std::string& aTraceparent,
                    Call aCall)
{
  using Reply = decltype(aCall(std::declval<HomeRequest&>()));
  auto request = mChecks.Check(aMessage);
  if (!IsOk(request)) {
    return Refusal<Reply>(ErrorOf(request));
  }
  auto& checked = ValueOf(request);
  checked.mDeadline = aDeadline;
  checked.mTraceparent = aTraceparent;
  return aCall(checked);
}

v1::ForwardReply
HomeServer::Serve(const v1::ForwardRequest& aMessage,
                  TimePoint aDeadline,
                  const std::string& aTraceparent)
{
  v1::ForwardReply reply;
  const auto checked = [&](const auto& aRequest, auto aCall) {
    return Checked(aRequest, aDeadline, aTraceparent, aCall);
  };
  switch (aMessage.request_case()) {
    case v1::ForwardRequest::kExecute:
      *reply.mutable_execute() = checked(aMessage.execute(), [&](HomeRequest& aRequest) {
        const bool hasWritten = aMessage.execute().transaction_id().empty() &&
                                aMessage.execute().access() == v1::ACCESS_MODE_WRITE;
        return Finish(aRequest, hasWritten, Execute(aRequest, aMessage.execute()));
      });
      break;
    case v1::ForwardRequest::kBegin:
      *reply.mutable_begin() = checked(aMessage.begin(), [&](HomeRequest& aRequest) {
        return mTransactions.Begin(aRequest);
      });
      break;
    case v1::ForwardRequest::kCommit:
      *reply.mutable_execute() = checked(aMessage.commit(), [&](HomeRequest& aRequest) {
        return Finish(aRequest, true, mTransactions.Commit(aRequest, aMessage.commit()));
      });
      break;
    case v1::ForwardRequest::kRollback:
      *reply.mutable_rollback() =
        checked(aMessage.rollback(), [&](HomeRequest& aRequest) {
          const TransactionId id(aMessage.rollback().transaction_id());
          return mTransactions.Rollback(aRequest, id);
        });
      break;
    case v1::ForwardRequest::kOutcome:
      *reply.mutable_outcome() = checked(aMessage.outcome(), [&](HomeRequest& aRequest) {
        return Outcome(aRequest, aMessage.outcome());
      });
      break;
    default:
      *reply.mutable_error() =
        ToMessage(Error{ ErrorKind::MalformedRequest, "the peer's request is empty" });
      break;
  }
  return reply;
}

v1::ExecuteReply
HomeServer::Execute(HomeRequest& aRequest, const v1::ExecuteRequest& aMessage)
{
  if (!aMessage.transaction_id().empty()) {
    return mTransactions.Execute(aRequest, aMessage);
  }
  if (aMessage.access() == v1::ACCESS_MODE_WRITE) {
    return mWrites.Run(aRequest, aMessage.statement(), aMessage.request_id());
  }
  return mReads.Run(
    aRequest, aMessage.statement(), mChecks.MaxStaleness(aRequest, aMessage));
}

v1::OutcomeReply
HomeServer::Outcome(HomeRequest& aRequest, const v1::OutcomeRequest& aMessage)
{
  // The first send may still be under way at any instance, in a term that is not known
  // here, so no absence of the id proves "not run".
  const auto outcome = mLookup.Run(aRequest, aMessage.request_id(), std::nullopt);
  v1::OutcomeReply reply;
  reply.set_execution(ToMessage(outcome.mExecution));
  if (outcome.mExecution == Execution::Ran) {
    reply.set_affected(outcome.mAffected);
    *reply.mutable_position() = ToMessage(outcome.mPosition);
    aRequest.mSession.Raise(aRequest.mGroup.mGroup, outcome.mPosition);
  }
  reply.set_session_token(TokenOf(aRequest));
  return reply;
}

v1::ExecuteReply
HomeServer::Finish(HomeRequest& aRequest, bool aHasWritten, v1::ExecuteReply aReply)
{
  if (aHasWritten && !aReply.has_error() && aReply.has_position()) {
    aRequest.mSession.Raise(aRequest.mGroup.mGroup, FromMessage(aReply.position()));
  }
  aReply.set_session_token(TokenOf(aRequest));
  for (auto& hop : aRequest.mHops) {
    *aReply.add_hops() = std::move(hop);
  }
  return aReply;
}

std::string
HomeServer::TokenOf(const HomeRequest& aRequest) const
{
  auto bytes = mPath.mTokens.Encode(aRequest.mSession);
  // The checks refuse a write that would not fit, so there always are bytes.
  auto* encoded = std::get_if<std::string>(&bytes);
  return encoded == nullptr ? std::string() : std::move(*encoded);
}

} // namespace papayaspindle
