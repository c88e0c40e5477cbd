#include "proxy/proxycore.h"

#include "proxy/proxytimes.h"

#include <utility>

namespace papayaspindle::proxy {

void
ProxyCore::OnStatement(SessionKey aSession, Statement aStatement, TimePoint aNow)
{
  const auto found = mSessions.find(aSession);
  if (found == mSessions.end()) {
    return;
  }
  Session& session = found->second;
  session.mLastActivity = aNow;
  if (session.mOperation || !session.mBacklog.empty()) {
    if (session.mBacklog.size() >= kMaxBacklog) {
      mHooks.mLog(LogLevel::Warning, "session_backlog_full", {});
      mHooks.mCloseSession(aSession);
      OnSessionClosed(aSession, aNow);
      return;
    }
    session.mBacklog.push_back(std::move(aStatement));
    return;
  }
  HandleStatement(aSession, session, std::move(aStatement), aNow);
  CloseIfRequired(aSession, aNow);
}

void
ProxyCore::HandleStatement(SessionKey aKey,
                           Session& aSession,
                           Statement aStatement,
                           TimePoint aNow)
{
  if (aStatement.mKind == StatementKind::Malformed) {
    AnswerError(aKey, aSession, AnswerCode::BadMessage, "statement not understood");
    return;
  }
  if (aSession.mIsKeyWithdrawn) {
    AnswerError(aKey, aSession, AnswerCode::NotAuthorized, "the key was withdrawn");
    return;
  }
  if (aSession.mState == TransactionState::Failed) {
    HandleInFailedTransaction(aKey, aSession, aStatement);
    return;
  }
  switch (aStatement.mKind) {
    case StatementKind::Set:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
      HandleSessionCommand(aKey, aSession, aStatement);
      return;
    case StatementKind::Begin:
    case StatementKind::BeginRead:
      HandleBegin(aKey, aSession, aStatement.mKind == StatementKind::Begin);
      return;
    case StatementKind::Rollback:
      HandleRollback(aKey, aSession, aNow);
      return;
    case StatementKind::Commit:
      if (aSession.mState == TransactionState::Idle) {
        AnswerError(aKey, aSession, AnswerCode::BadMessage, "no transaction to commit");
        return;
      }
      break;
    case StatementKind::Execute:
      if (!aSession.mPrepared.contains(aStatement.mName)) {
        AnswerError(
          aKey, aSession, AnswerCode::UnknownPrepared, "prepared statement not known");
        return;
      }
      break;
    default:
      break;
  }
  StartOperation(aKey, aSession, std::move(aStatement), aNow);
}

void
ProxyCore::HandleBegin(SessionKey aKey, Session& aSession, bool aMayWrite)
{
  if (aSession.mState != TransactionState::Idle) {
    AnswerError(aKey, aSession, AnswerCode::BadMessage, "transaction already open");
    return;
  }
  // BEGIN is sent to the member together with the transaction's first statement.
  aSession.mState = TransactionState::Open;
  aSession.mTransaction.emplace().mMayWrite = aMayWrite;
  AnswerSuccess(aKey, aSession);
}

void
ProxyCore::HandleRollback(SessionKey aKey, Session& aSession, TimePoint aNow)
{
  if (aSession.mState == TransactionState::Idle) {
    AnswerError(aKey, aSession, AnswerCode::BadMessage, "no transaction to roll back");
    return;
  }
  ReleaseTransaction(aKey, aSession, aNow);
  aSession.mState = TransactionState::Idle;
  AnswerSuccess(aKey, aSession);
}

void
ProxyCore::HandleInFailedTransaction(SessionKey aKey,
                                     Session& aSession,
                                     const Statement& aStatement)
{
  if (aStatement.mKind == StatementKind::Rollback) {
    aSession.mTransaction.reset();
    aSession.mState = TransactionState::Idle;
    AnswerSuccess(aKey, aSession);
    return;
  }
  if (aStatement.mKind == StatementKind::Commit) {
    aSession.mTransaction.reset();
    aSession.mState = TransactionState::Idle;
    AnswerError(aKey, aSession, AnswerCode::Aborted, "transaction was rolled back");
    return;
  }
  // The transaction may have been aborted while no statement was running. In that case,
  // mTransaction is still set and this answer is the first to report the abort.
  const bool wasReported = !aSession.mTransaction;
  aSession.mTransaction.reset();
  AnswerError(aKey,
              aSession,
              wasReported ? AnswerCode::BadMessage : AnswerCode::Aborted,
              "transaction was rolled back");
}

void
ProxyCore::StartOperation(SessionKey aKey,
                          Session& aSession,
                          Statement aStatement,
                          TimePoint aNow)
{
  Operation operation;
  operation.mSession = aKey;
  const auto route = mConfiguration.mRoutes.find(aSession.mDatabase);
  const bool isPinned = aSession.mTransaction && (aSession.mTransaction->mConnection ||
                                                  !aSession.mTransaction->mHome.empty());
  if (isPinned && aSession.mTransaction->mCustomer != aSession.mCustomer) {
    // A statement was running when the key moved to another customer.
    AbortTransaction(aKey, aSession, "the key belongs to another customer", aNow);
    HandleInFailedTransaction(aKey, aSession, aStatement);
    return;
  }
  if (isPinned) {
    operation.mRoute = aSession.mTransaction->mRoute;
  } else if (route != mConfiguration.mRoutes.end()) {
    operation.mRoute = route->second;
  } else {
    if (aSession.mTransaction) {
      AbortTransaction(aKey, aSession, "route was removed", aNow);
      aSession.mTransaction.reset();
    }
    AnswerError(aKey, aSession, AnswerCode::UnknownDatabase, "no route for the database");
    return;
  }
  const StatementKind kind = aStatement.mKind;
  operation.mWrites =
    kind == StatementKind::Write ||
    (kind == StatementKind::Execute &&
     aSession.mPrepared.find(aStatement.mName)->second.mKind == PreparedKind::Write);
  operation.mGroup = operation.mRoute.mGroup;
  operation.mCustomer = aSession.mCustomer;
  const bool isPrimaryRoute = operation.mRoute.mConsistency == Consistency::Primary;
  if (aSession.mTransaction) {
    aSession.mTransaction->mRoute = operation.mRoute;
    aSession.mTransaction->mCustomer = operation.mCustomer;
    operation.mPurpose =
      isPinned ? OperationPurpose::TransactionNext : OperationPurpose::TransactionFirst;
    operation.mNeedsPrimary = aSession.mTransaction->mMayWrite || isPrimaryRoute;
  } else {
    PlanSingleStatement(operation);
  }
  operation.mStatement = std::move(aStatement);
  operation.mArrivedAt = aNow;
  operation.mDeadline = aNow + operation.mRoute.mStatementTimeout;
  const OperationKey key = mNextOperation++;
  operation.mKey = key;
  aSession.mOperation = key;
  Operation& started = mOperations.emplace(key, std::move(operation)).first->second;
  if (NeedsToken(started)) {
    RequestToken(key, started, aNow);
  } else {
    SubmitOperation(key, started, aNow);
  }
}

void
ProxyCore::PlanSingleStatement(Operation& aOperation)
{
  const bool isPrimaryRoute = aOperation.mRoute.mConsistency == Consistency::Primary;
  aOperation.mPurpose =
    aOperation.mWrites ? OperationPurpose::SingleWrite : OperationPurpose::SingleRead;
  aOperation.mNeedsPrimary = aOperation.mWrites || isPrimaryRoute;
  aOperation.mNeedsLeadershipProof = !aOperation.mWrites && isPrimaryRoute;
}

void
ProxyCore::SubmitOperation(OperationKey aKey, Operation& aOperation, TimePoint aNow)
{
  const std::optional<ClientTransaction>& transaction =
    mSessions.at(aOperation.mSession).mTransaction;
  if (transaction && transaction->mConnection) {
    aOperation.mConnection = transaction->mConnection;
    aOperation.mMember = mConnections.at(*aOperation.mConnection).mMember;
    mConnections.at(*aOperation.mConnection).mOperation = aKey;
    ScheduleOperation(aKey, aOperation.mDeadline);
    SendStatement(aOperation, std::nullopt, false, aNow);
    return;
  }
  const bool isRemote = transaction && !transaction->mHome.empty();
  if (isRemote || !IsServedHere(aOperation, aNow)) {
    ForwardToHome(aKey, aOperation, aNow);
    return;
  }
  WaitForMember(aKey, aOperation, aNow);
}

void
ProxyCore::WaitForMember(OperationKey aKey, Operation& aOperation, TimePoint aNow)
{
  aOperation.mStage = OperationStage::Waiting;
  Group& group = mGroups[aOperation.mGroup];
  if (aOperation.mRoute.mConsistency != Consistency::Primary) {
    group.mLastBoundedRead = aNow;
  }
  group.mWaiting.Add(aOperation.QueueEntry());
  ScheduleOperation(aKey, std::min(ObjectiveLimit(aOperation), WaitLimit(aOperation)));
  DispatchWaiting(group, aNow);
  RefuseIfOverloaded(aKey, group, aNow);
}

void
ProxyCore::SendAnswer(SessionKey aKey, Session& aSession, ClientAnswer aAnswer)
{
  aAnswer.mState = aSession.mState;
  mHooks.mAnswer(aKey, aAnswer);
}

void
ProxyCore::AnswerError(SessionKey aKey,
                       Session& aSession,
                       AnswerCode aCode,
                       std::string_view aText)
{
  if (aSession.mState == TransactionState::Open) {
    aSession.mState = TransactionState::Failed;
    ReleaseTransaction(aKey, aSession, aSession.mLastActivity);
  }
  ClientAnswer answer;
  answer.mError = aCode;
  answer.mText = aText;
  SendAnswer(aKey, aSession, std::move(answer));
}

void
ProxyCore::AnswerSuccess(SessionKey aKey, Session& aSession)
{
  ClientAnswer answer;
  answer.mText = kUnsigned;
  SendAnswer(aKey, aSession, std::move(answer));
}

void
ProxyCore::RunBacklog(SessionKey aKey, TimePoint aNow)
{
  auto found = mSessions.find(aKey);
  while (found != mSessions.end() && !found->second.mOperation &&
         !found->second.mBacklog.empty()) {
    Statement next = std::move(found->second.mBacklog.front());
    found->second.mBacklog.pop_front();
    HandleStatement(aKey, found->second, std::move(next), aNow);
    found = mSessions.find(aKey);
  }
  CloseIfRequired(aKey, aNow);
}

void
ProxyCore::ReleaseTransaction(SessionKey aKey, Session& aSession, TimePoint aNow)
{
  if (aSession.mTransaction && aSession.mTransaction->mConnection) {
    ReleaseConnection(*aSession.mTransaction->mConnection, true, aNow);
  }
  if (aSession.mTransaction && !aSession.mTransaction->mHome.empty()) {
    mHooks.mEndForwardedTransaction(aSession.mTransaction->mHome, aKey);
  }
  aSession.mTransaction.reset();
}

void
ProxyCore::AbortTransaction(SessionKey aKey,
                            Session& aSession,
                            std::string_view aReason,
                            TimePoint aNow)
{
  mHooks.mLog(
    LogLevel::Info,
    "transaction_aborted",
    { { "session", std::to_string(aKey) }, { "reason", std::string(aReason) } });
  if (aSession.mTransaction && aSession.mTransaction->mConnection) {
    ReleaseConnection(*aSession.mTransaction->mConnection, true, aNow);
    aSession.mTransaction->mConnection.reset();
  }
  if (aSession.mTransaction && !aSession.mTransaction->mHome.empty()) {
    mHooks.mEndForwardedTransaction(aSession.mTransaction->mHome, aKey);
    aSession.mTransaction->mHome.clear();
  }
  aSession.mState = TransactionState::Failed;
}

} // namespace papayaspindle::proxy
