#include "daemon/statements/transactionrunner.h"

#include "convert/convert.h"
#include "daemon/statements/memberanswers.h"
#include "daemon/statements/membersession.h"
#include "daemon/statements/outcomelookup.h"
#include "daemon/statements/primaryaccess.h"
#include "daemon/statements/replies.h"
#include "daemon/statements/statementsettings.h"
#include "interfaces/connections.h"
#include "interfaces/instances.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

namespace {

Error
RolledBack(const std::string& aReason)
{
  return { ErrorKind::TransactionAborted, "the transaction was rolled back: " + aReason };
}

v1::SessionRequest
MessageOf(v1::StatementKind aKind)
{
  v1::SessionRequest message;
  message.set_kind(aKind);
  return message;
}

SessionTarget
TargetOf(const OpenTransaction& aTransaction)
{
  return { aTransaction.mPrimary, aTransaction.mTerm, true, true };
}

GroupView
ViewOf(const OpenTransaction& aTransaction)
{
  return { aTransaction.mGroup, aTransaction.mTerm, aTransaction.mPrimary };
}

/** @return whether the transaction stays open after a member's answer */
bool
StaysOpen(const std::optional<Error>& aError)
{
  return !aError || aError->mKind == ErrorKind::StatementFailed ||
         aError->mKind == ErrorKind::MalformedRequest;
}

} // namespace

TransactionRunner::TransactionRunner(const DataPath& aPath, const OutcomeLookup& aLookup)
  : mPath(aPath)
  , mLookup(aLookup)
  , mTable(aPath.mInstances.Self().mInstance,
           aPath.mSettings.mTransactionIdleTimeout,
           aPath.mHooks.mNow,
           aPath.mHooks.mRandom)
{
}

v1::BeginReply
TransactionRunner::Begin(HomeRequest& aRequest)
{
  const auto& hooks = mPath.mHooks;
  // A begin that may have been sent is as harmless to repeat as a read: the end of its
  // connection ends its transaction.
  RetryPolicy policy(
    RequestClass::Read, aRequest.mDeadline, mPath.mSettings.mRetries, hooks.mRandom);
  auto leastTerm = aRequest.SessionPosition().mTerm;
  for (;;) {
    const auto view =
      AwaitPrimary(mPath, aRequest.mGroup.mGroup, leastTerm, aRequest.mDeadline);
    if (!view) {
      return Refusal<v1::BeginReply>({ ErrorKind::NoPrimary, "" });
    }
    auto attempt = BeginAt(aRequest, *view);
    if (auto* reply = std::get_if<v1::BeginReply>(&attempt)) {
      return std::move(*reply);
    }
    const auto& failure = std::get<AttemptFailure>(attempt);
    const auto decision = DecisionAfter(failure.mKnowledge, policy, hooks.mNow());
    if (!decision.mMayRetry) {
      const bool isUnknown = failure.mError.mKind == ErrorKind::OutcomeUnknown;
      return Refusal<v1::BeginReply>(
        isUnknown ? RolledBack("the backend server did not answer") : failure.mError);
    }
    leastTerm = std::max(leastTerm, failure.mMemberTerm);
    AwaitLaterView(mPath, *view, hooks.mNow() + decision.mPause);
  }
}

std::variant<v1::BeginReply, AttemptFailure>
TransactionRunner::BeginAt(HomeRequest& aRequest, const GroupView& aView)
{
  auto opened =
    MemberSession::Open(mPath, aRequest, { aView.mPrimary, aView.mTerm, true, true });
  if (!IsOk(opened)) {
    return FailureOf(ErrorOf(opened));
  }
  auto& session = *ValueOf(opened);
  const auto limit = mPath.mHooks.mNow() + mPath.mSettings.mFirstAttempt;
  const auto answer = session.Run(MessageOf(v1::STATEMENT_KIND_BEGIN),
                                  std::min<TimePoint>(limit, aRequest.mDeadline));
  if (!IsOk(answer)) {
    return FailureOf(ErrorOf(answer));
  }
  if (const auto error = ErrorIn(ValueOf(answer))) {
    auto failure = FailureOf(*error);
    failure.mMemberTerm = ValueOf(answer).term();
    session.Condemn();
    return failure;
  }
  const auto id = mTable.Add(
    { aRequest.mGroup.mGroup, aView.mPrimary, aView.mTerm, session.Detach(), false });
  v1::BeginReply reply;
  reply.set_transaction_id(id.Text());
  return reply;
}

v1::ExecuteReply
TransactionRunner::Execute(HomeRequest& aRequest, const v1::ExecuteRequest& aMessage)
{
  const TransactionId id(aMessage.transaction_id());
  const auto borrowed = mTable.Borrow(id);
  if (!IsOk(borrowed)) {
    return Refusal<v1::ExecuteReply>(ErrorOf(borrowed));
  }
  auto transaction = ValueOf(borrowed);
  const auto session =
    MemberSession::Adopt(mPath, aRequest, TargetOf(transaction), transaction.mConnection);
  auto message = MessageOf(v1::STATEMENT_KIND_EXECUTE);
  message.set_statement(aMessage.statement());
  message.set_write(aMessage.access() == v1::ACCESS_MODE_WRITE);
  transaction.mHasWritten = transaction.mHasWritten || message.write();
  auto answer = session->Run(std::move(message), aRequest.mDeadline);
  const auto abort = [&](const std::string& aReason) {
    mTable.Remove(id);
    session->Condemn();
    return Refusal<v1::ExecuteReply>(RolledBack(aReason));
  };
  if (!IsOk(answer)) {
    return abort(ErrorOf(answer).mMessage);
  }
  const auto error = ErrorIn(ValueOf(answer));
  if (!StaysOpen(error) || ValueOf(answer).term() != transaction.mTerm) {
    return abort(error ? error->mMessage : "the term changed");
  }
  // The answer shows the primary's state, so it is confirmed like a read of the primary.
  const auto position = FromMessage(ValueOf(answer).position());
  if (AwaitConfirmation(mPath, aRequest, ViewOf(transaction), position) !=
      ReplicationOutcome::Acknowledged) {
    return abort("the primary's answer was not confirmed by a majority");
  }
  session->Detach();
  mTable.Return(id, transaction);
  if (error) {
    return Refusal<v1::ExecuteReply>(*error);
  }
  v1::ExecuteReply reply;
  reply.mutable_rows()->Swap(ValueOf(answer).mutable_rows());
  reply.set_affected(ValueOf(answer).affected());
  return reply;
}

v1::ExecuteReply
TransactionRunner::Commit(HomeRequest& aRequest, const v1::CommitRequest& aMessage)
{
  const TransactionId id(aMessage.transaction_id());
  const auto borrowed = mTable.Borrow(id);
  if (!IsOk(borrowed)) {
    const bool mayHaveCommitted =
      ErrorOf(borrowed).mKind == ErrorKind::UnknownTransaction &&
      !aMessage.request_id().empty();
    return mayHaveCommitted
             ? LookUpCommit(
                 aRequest, aMessage.request_id(), std::nullopt, ErrorOf(borrowed))
             : Refusal<v1::ExecuteReply>(ErrorOf(borrowed));
  }
  const auto& transaction = ValueOf(borrowed);
  if (transaction.mHasWritten && aMessage.request_id().empty()) {
    mTable.Return(id, transaction);
    return Refusal<v1::ExecuteReply>(
      { ErrorKind::MalformedRequest, "a transaction that wrote needs a request id" });
  }
  auto reply = CommitOpen(aRequest, transaction, aMessage.request_id());
  mTable.Remove(id);
  return reply;
}

v1::ExecuteReply
TransactionRunner::CommitOpen(HomeRequest& aRequest,
                              const OpenTransaction& aTransaction,
                              const std::string& aRequestId)
{
  const auto session = MemberSession::Adopt(
    mPath, aRequest, TargetOf(aTransaction), aTransaction.mConnection);
  auto message = MessageOf(v1::STATEMENT_KIND_COMMIT);
  message.set_request_id(aRequestId);
  const auto limit = mPath.mHooks.mNow() + mPath.mSettings.mFirstAttempt;
  auto answer =
    session->Run(std::move(message), std::min<TimePoint>(limit, aRequest.mDeadline));
  if (!IsOk(answer)) {
    session->Release();
    const bool mayHaveRun = ErrorOf(answer).mKind != ErrorKind::MemberUnreachable;
    const auto aborted = RolledBack(ErrorOf(answer).mMessage);
    return mayHaveRun && aTransaction.mHasWritten
             ? LookUpCommit(aRequest, aRequestId, aTransaction.mTerm, aborted)
             : Refusal<v1::ExecuteReply>(aborted);
  }
  if (const auto error = ErrorIn(ValueOf(answer))) {
    session->Condemn();
    return Refusal<v1::ExecuteReply>(
      error->mKind == ErrorKind::StaleTerm ? RolledBack(error->mMessage) : *error);
  }
  if (!aTransaction.mHasWritten) {
    // Each of its reads is confirmed already.
    return {};
  }
  session->Release();
  return AcknowledgeCommit(
    aRequest, aTransaction, std::move(ValueOf(answer)), aRequestId);
}

v1::ExecuteReply
TransactionRunner::AcknowledgeCommit(HomeRequest& aRequest,
                                     const OpenTransaction& aTransaction,
                                     v1::SessionAnswer&& aAnswer,
                                     const std::string& aRequestId)
{
  const auto outcome = AwaitAcknowledgement(
    mPath, aRequest, ViewOf(aTransaction), FromMessage(aAnswer.position()));
  if (outcome == ReplicationOutcome::Superseded) {
    return LookUpCommit(aRequest,
                        aRequestId,
                        aTransaction.mTerm,
                        RolledBack("the primary was replaced before the commit spread"));
  }
  if (outcome != ReplicationOutcome::Acknowledged) {
    return Refusal<v1::ExecuteReply>({ ErrorKind::OutcomeUnknown, "" });
  }
  v1::ExecuteReply reply;
  reply.set_affected(aAnswer.affected());
  reply.set_repeated(aAnswer.repeated());
  *reply.mutable_position() = aAnswer.position();
  return reply;
}

v1::ExecuteReply
TransactionRunner::LookUpCommit(HomeRequest& aRequest,
                                const std::string& aRequestId,
                                std::optional<std::uint64_t> aHighestSentTerm,
                                const Error& aWhenNotRun) const
{
  const auto outcome = mLookup.Run(aRequest, aRequestId, aHighestSentTerm);
  if (outcome.mExecution == Execution::NotRun) {
    return Refusal<v1::ExecuteReply>(aWhenNotRun);
  }
  if (outcome.mExecution != Execution::Ran) {
    return Refusal<v1::ExecuteReply>({ ErrorKind::OutcomeUnknown, "" });
  }
  v1::ExecuteReply reply;
  reply.set_affected(outcome.mAffected);
  reply.set_repeated(true);
  *reply.mutable_position() = ToMessage(outcome.mPosition);
  return reply;
}

v1::RollbackReply
TransactionRunner::Rollback(HomeRequest& aRequest, const TransactionId& aId)
{
  const auto borrowed = mTable.Borrow(aId);
  if (!IsOk(borrowed)) {
    return Refusal<v1::RollbackReply>(ErrorOf(borrowed));
  }
  const auto& transaction = ValueOf(borrowed);
  const auto session =
    MemberSession::Adopt(mPath, aRequest, TargetOf(transaction), transaction.mConnection);
  const auto answer =
    session->Run(MessageOf(v1::STATEMENT_KIND_ROLLBACK), aRequest.mDeadline);
  // Without an answer, the end of the connection rolls back.
  if (!IsOk(answer) || ErrorIn(ValueOf(answer))) {
    session->Condemn();
  }
  mTable.Remove(aId);
  return {};
}

void
TransactionRunner::CloseIdle()
{
  for (const auto& transaction : mTable.RemoveIdle()) {
    mPath.mConnections.Release(transaction.mConnection, ConnectionState::Unknown);
  }
}

} // namespace papayaspindle
