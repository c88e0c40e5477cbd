#include "proxy/proxycore.h"

#include "proxy/answerpolicy.h"
#include "proxy/proxytimes.h"

#include <algorithm>

namespace papayaspindle::proxy {

void
ProxyCore::RecordRefusal(Operation& aOperation, AnswerCode aCode, TimePoint aNow)
{
  Member& member = mMembers.find(aOperation.mMember)->second;
  mHooks.mLog(LogLevel::Info,
              "member_refused",
              { { "id", aOperation.mStatement.mId },
                { "member", aOperation.mMember },
                { "code", std::string(AnswerName(aCode)) },
                { "attempt", std::to_string(aOperation.mAttempts) } });
  aOperation.mRefusingMembers.insert(aOperation.mMember);
  if (aCode == AnswerCode::Busy) {
    member.mWindow.OnOverload(aNow);
  }
  if (aCode == AnswerCode::Lagging) {
    member.mLagBackoff =
      std::clamp(member.mLagBackoff * 2, kLagBackoffMin, kLagBackoffMax);
    const Session* session = nullptr;
    const auto found = mSessions.find(aOperation.mSession);
    if (found != mSessions.end()) {
      session = &found->second;
    }
    // A replica that lacks only the session's own last commit may still be fresh enough
    // for reads of other sessions.
    const bool isOwnCommit =
      session != nullptr && session->mLastCommit &&
      aOperation.mRoute.mConsistency == Consistency::ReadYourWrites;
    if (!isOwnCommit) {
      member.mLaggingUntil = aNow + member.mLagBackoff;
      if (!member.mLaggingSince) {
        member.mLaggingSince = aNow;
      }
    }
  }
}

void
ProxyCore::OnSingleError(OperationKey aKey,
                         Operation& aOperation,
                         const MemberReply& aReply,
                         TimePoint aNow)
{
  const ConnectionKey connectionKey = *aOperation.mConnection;
  PoolConnection& connection = mConnections.at(connectionKey);
  const AnswerCode code = *aReply.mError;
  const bool isRollbackSent = aOperation.mNeedsLeadershipProof;
  connection.mOperation.reset();
  aOperation.mConnection.reset();
  const RetryDecision step = RetryDecisionFor(
    code, aOperation.mWrites ? StatementEffect::Writes : StatementEffect::Reads);
  const bool retries =
    step == RetryDecision::RetryElsewhere && mSessions.contains(aOperation.mSession) &&
    (code != AnswerCode::Failed || aOperation.mAttempts < kMaxReadAttempts);
  if (retries) {
    RecordRefusal(aOperation, code, aNow);
  } else {
    ClientAnswer answer;
    answer.mError = code;
    answer.mText = aReply.mText;
    FinishOperation(aKey, std::move(answer), aNow);
  }
  if (isRollbackSent) {
    connection.mState = ConnectionState::Internal;
  } else if (code == AnswerCode::UnknownPrepared) {
    DiscardConnection(connectionKey);
  } else {
    ReleaseConnection(connectionKey, aReply.mState != TransactionState::Idle, aNow);
  }
  if (retries && mOperations.contains(aKey)) {
    Requeue(aKey, aOperation, RetryPause(code), aNow);
  }
}

void
ProxyCore::OnTransactionError(OperationKey aKey,
                              Operation& aOperation,
                              const MemberReply& aReply,
                              TimePoint aNow)
{
  const ConnectionKey connectionKey = *aOperation.mConnection;
  PoolConnection& connection = mConnections.at(connectionKey);
  const AnswerCode code = *aReply.mError;
  const bool notRun = GuaranteesNotRun(code);
  const bool isCommit = aOperation.mStatement.mKind == StatementKind::Commit;
  if (code == AnswerCode::Busy && aReply.mState == TransactionState::Open &&
      aNow + kRetryPause < WaitLimit(aOperation) && !HasWithdrawnKey(aOperation)) {
    // The statement keeps its connection and is sent again after the pause.
    aOperation.mStage = OperationStage::Waiting;
    aOperation.mRetryAt = aNow + kRetryPause;
    ScheduleOperation(aKey, aOperation.mRetryAt);
    return;
  }
  connection.mOperation.reset();
  connection.mTransactionSession.reset();
  aOperation.mConnection.reset();
  const auto session = mSessions.find(aOperation.mSession);
  if (session != mSessions.end() && session->second.mTransaction) {
    session->second.mTransaction->mConnection.reset();
  }
  if (aOperation.mPurpose == OperationPurpose::TransactionFirst && notRun &&
      session != mSessions.end()) {
    RecordRefusal(aOperation, code, aNow);
    session->second.mTransaction->mWrote = false;
    ReleaseConnection(connectionKey, true, aNow);
    Requeue(aKey, aOperation, RetryPause(code), aNow);
    return;
  }
  const bool mayHaveCommitted = isCommit && !notRun && session != mSessions.end() &&
                                session->second.mTransaction &&
                                session->second.mTransaction->mWrote;
  if (mayHaveCommitted) {
    FailOperation(aKey,
                  code == AnswerCode::Failed ? AnswerCode::Failed : AnswerCode::Unknown,
                  aReply.mText,
                  aNow);
  } else {
    FailOperation(aKey, AnswerCode::Aborted, AnswerName(code), aNow);
  }
  if (mConnections.contains(connectionKey)) {
    ReleaseConnection(connectionKey, aReply.mState != TransactionState::Idle, aNow);
  }
}

void
ProxyCore::OnAnswerLost(OperationKey aKey, std::string_view aReason, TimePoint aNow)
{
  Operation& operation = mOperations.at(aKey);
  if (operation.mConnection) {
    const auto connection = mConnections.find(*operation.mConnection);
    if (connection != mConnections.end()) {
      connection->second.mOperation.reset();
      connection->second.mTransactionSession.reset();
    }
    operation.mConnection.reset();
  }
  const auto session = mSessions.find(operation.mSession);
  if (session == mSessions.end()) {
    RemoveOperation(aKey);
    return;
  }
  mHooks.mLog(LogLevel::Info,
              "answer_lost",
              { { "id", operation.mStatement.mId },
                { "member", operation.mMember },
                { "attempt", std::to_string(operation.mAttempts) },
                { "reason", std::string(aReason) } });
  const bool wasSent = operation.mStage == OperationStage::Running;
  if (wasSent) {
    // A member may have run it, so its token isn't returned.
    operation.mTokenExpiresAt.reset();
  }
  const bool inTransaction = InTransaction(operation);
  std::optional<ClientTransaction>& transaction = session->second.mTransaction;
  if (transaction) {
    transaction->mConnection.reset();
  }
  const bool isFirstRead = operation.mPurpose == OperationPurpose::TransactionFirst &&
                           !operation.mWrites &&
                           operation.mStatement.mKind != StatementKind::Commit;
  const bool mayRepeat =
    !wasSent || (!inTransaction && !operation.mWrites) || isFirstRead;
  if (mayRepeat && operation.mPurpose != OperationPurpose::TransactionNext &&
      operation.mAttempts < kMaxReadAttempts && aNow < WaitLimit(operation)) {
    if (transaction) {
      transaction->mWrote = false;
    }
    operation.mRefusingMembers.insert(operation.mMember);
    Requeue(aKey, operation, Duration::zero(), aNow);
    return;
  }
  FailOperation(aKey, LostAnswerCode(operation, session->second, wasSent), aReason, aNow);
}

AnswerCode
ProxyCore::LostAnswerCode(const Operation& aOperation,
                          const Session& aSession,
                          bool aWasSent) const
{
  if (InTransaction(aOperation)) {
    const bool mayHaveCommitted = aWasSent &&
                                  aOperation.mStatement.mKind == StatementKind::Commit &&
                                  aSession.mTransaction && aSession.mTransaction->mWrote;
    return mayHaveCommitted ? AnswerCode::Unknown : AnswerCode::Aborted;
  }
  if (!aWasSent) {
    return AnswerCode::Busy;
  }
  return aOperation.mWrites ? AnswerCode::Unknown : AnswerCode::Timeout;
}

void
ProxyCore::AbandonConnection(ConnectionKey aKey, std::string_view aReason, TimePoint aNow)
{
  const auto found = mConnections.find(aKey);
  mHooks.mLog(
    LogLevel::Warning,
    "connection_out_of_step",
    { { "member", found->second.mMember }, { "reason", std::string(aReason) } });
  if (found->second.mOperation) {
    OnAnswerLost(*found->second.mOperation, aReason, aNow);
  }
  DiscardConnection(aKey);
}

} // namespace papayaspindle::proxy
