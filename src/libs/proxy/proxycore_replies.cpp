#include "proxy/proxycore.h"

#include "proxy/answerpolicy.h"
#include "proxy/proxytimes.h"

#include <algorithm>

namespace papayaspindle::proxy {

void
ProxyCore::OnReply(ConnectionKey aConnection, MemberReply aReply, TimePoint aNow)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  PoolConnection& connection = found->second;
  if (connection.mOutstanding.empty()) {
    mHooks.mLog(
      LogLevel::Warning, "unexpected_answer", { { "member", connection.mMember } });
    OnConnectionFailed(aConnection, aNow);
    mHooks.mCloseConnection(aConnection);
    return;
  }
  const OutstandingCommand command = connection.mOutstanding.front();
  connection.mOutstanding.pop_front();
  Member& member = mMembers.find(connection.mMember)->second;
  member.mLastReply = aNow;
  member.mUnreachableSince.reset();
  LearnPosition(connection, command, aReply, aNow);
  switch (command.mKind) {
    case CommandKind::Set:
    case CommandKind::Prepare:
    case CommandKind::Reset:
      // The statement behind it must not run with other values.
      if (aReply.mError || aReply.mText != kUnsigned) {
        LoseSession(aConnection, "session values could not be set", aNow);
      }
      return;
    case CommandKind::Begin:
    case CommandKind::BeginRead:
      OnBeginReply(aConnection, aReply, aNow);
      return;
    case CommandKind::Rollback:
      if (!connection.mOutstanding.empty()) {
        return;
      }
      if (aReply.mState == TransactionState::Idle) {
        MakeIdle(aConnection, connection, aNow);
      } else {
        Discard(aConnection, aNow);
      }
      return;
    case CommandKind::Status:
    case CommandKind::Pause:
    case CommandKind::Resume:
    case CommandKind::Demote:
      OnStatusReply(aConnection, aReply, aNow);
      return;
    default:
      OnStatementReply(aConnection, command, std::move(aReply), aNow);
      return;
  }
}

void
ProxyCore::LearnPosition(const PoolConnection& aConnection,
                         const OutstandingCommand& aCommand,
                         const MemberReply& aReply,
                         TimePoint aNow)
{
  Member& member = mMembers.find(aConnection.mMember)->second;
  if (aReply.mPosition && (!member.mPosition || *aReply.mPosition > *member.mPosition)) {
    member.mPosition = aReply.mPosition;
  }
  const bool isWrite =
    aCommand.mKind == CommandKind::Write ||
    (aCommand.mKind == CommandKind::Commit && aConnection.mTransactionOf);
  const bool provesLead =
    !aReply.mError && (aCommand.mKind == CommandKind::Begin || isWrite);
  if (aReply.mError == AnswerCode::ReadOnly) {
    NoteNotLeading(member, aNow);
  }
  if (!provesLead || !aReply.mPosition) {
    return;
  }
  // The COMMIT of a transaction that wrote nothing succeeds at any member.
  if (aCommand.mKind == CommandKind::Commit) {
    const auto session = mSessions.find(*aConnection.mTransactionOf);
    if (session == mSessions.end() || !session->second.mTransaction ||
        !session->second.mTransaction->mWrote) {
      return;
    }
  }
  Group& group = mGroups[member.mEntry.mGroup];
  group.mSamples.Add(*aReply.mPosition, aCommand.mSentAt);
  if (group.mProvenPrimary != aConnection.mMember) {
    mHooks.mLog(LogLevel::Info,
                "primary_proven",
                { { "group", member.mEntry.mGroup },
                  { "member", aConnection.mMember },
                  { "previous", group.mProvenPrimary },
                  { "position", ToString(*aReply.mPosition) } });
    group.mProvenPrimary = aConnection.mMember;
  }
  group.mProvenAt = aNow;
  group.mLeaderlessSince.reset();
  member.mNotLeadingUntil = {};
}

void
ProxyCore::NoteNotLeading(Member& aMember, TimePoint aNow)
{
  if (aMember.mNotLeadingUntil <= aNow) {
    aMember.mNotLeadingUntil = aNow + kNotLeadingPause;
    Group& group = mGroups[aMember.mEntry.mGroup];
    if (!group.mLeaderlessSince && aMember.mPrimarySince > 0) {
      group.mLeaderlessSince = aNow;
    }
    if (group.mProvenPrimary == aMember.mEntry.mId) {
      mHooks.mLog(
        LogLevel::Info,
        "primary_refused_lead",
        { { "group", aMember.mEntry.mGroup }, { "member", aMember.mEntry.mId } });
      group.mProvenPrimary.clear();
    }
  }
}

void
ProxyCore::OnBeginReply(ConnectionKey aKey, const MemberReply& aReply, TimePoint aNow)
{
  PoolConnection& connection = mConnections.at(aKey);
  if (connection.mState == ConnectionState::Internal) {
    // A sample; the reply of its rollback follows.
    if (!aReply.mError) {
      Dispatch(mGroups[mMembers.find(connection.mMember)->second.mEntry.mGroup], aNow);
    }
    return;
  }
  const OperationKey key = *connection.mOperation;
  Operation& operation = mOperations.at(key);
  if (!aReply.mError && aReply.mState == TransactionState::Open) {
    SendStatement(
      operation, std::nullopt, operation.mIsWrapped && !InTransaction(operation), aNow);
    return;
  }
  const AnswerCode code = aReply.mError.value_or(AnswerCode::Unknown);
  const bool isClean = aReply.mError && aReply.mState == TransactionState::Idle;
  NoteRefusal(operation, code, aNow);
  operation.mConnection.reset();
  connection.mOperation.reset();
  if (isClean) {
    MakeIdle(aKey, connection, aNow);
  } else {
    Release(aKey, true, aNow);
  }
  // The statement itself was not sent.
  if (mOperations.contains(key)) {
    Requeue(key, operation, RetryPause(code), aNow);
  }
}

bool
ProxyCore::InTransaction(const Operation& aOperation) const
{
  return aOperation.mPurpose == OperationPurpose::TransactionFirst ||
         aOperation.mPurpose == OperationPurpose::TransactionNext;
}

void
ProxyCore::OnStatementReply(ConnectionKey aKey,
                            const OutstandingCommand& aCommand,
                            MemberReply aReply,
                            TimePoint aNow)
{
  PoolConnection& connection = mConnections.at(aKey);
  if (!connection.mOperation) {
    // Its client has left.
    Release(aKey, aReply.mState != TransactionState::Idle, aNow);
    return;
  }
  const OperationKey key = *connection.mOperation;
  Operation& operation = mOperations.at(key);
  Member& member = mMembers.find(connection.mMember)->second;
  if (!aReply.mError) {
    if (aReply.mText == kUnsigned) {
      LoseSession(aKey, "answer without a signature", aNow);
      return;
    }
    const Duration took = aNow - aCommand.mSentAt;
    member.mServiceTime += (took - member.mServiceTime) / kServiceTimeWeight;
    WorkEstimate& work = mWork[WorkIndex(operation)];
    member.mWindow.OnAnswer(work.QueuedOf(took),
                            ShortestObjective(member.mEntry.mGroup),
                            member.mEntry.mSlots,
                            aNow);
    work.Add(took);
    member.mLagBackoff = {};
    FinishSuccess(aKey, key, std::move(aReply), aNow);
    return;
  }
  LeaveFlight(operation);
  if (InTransaction(operation)) {
    OnTransactionError(key, operation, aReply, aNow);
  } else {
    OnSingleError(key, operation, aReply, aNow);
  }
}

void
ProxyCore::FinishSuccess(ConnectionKey aConnection,
                         OperationKey aKey,
                         MemberReply aReply,
                         TimePoint aNow)
{
  Operation& operation = mOperations.at(aKey);
  PoolConnection& connection = mConnections.at(aConnection);
  const auto session = mSessions.find(operation.mSession);
  const bool inTransaction = InTransaction(operation);
  const bool isCommit = operation.mStatement.mKind == StatementKind::Commit;
  LeaveFlight(operation);
  if (session != mSessions.end()) {
    Session& client = session->second;
    const bool wrote = operation.mWrites && !inTransaction;
    const bool committed = isCommit && client.mTransaction && client.mTransaction->mWrote;
    if ((wrote || committed) && aReply.mPosition) {
      client.mLastCommit = aReply.mPosition;
    }
    if (isCommit) {
      client.mTransaction.reset();
      client.mState = TransactionState::Idle;
    } else if (inTransaction) {
      client.mTransaction->mConnection = aConnection;
      connection.mTransactionOf = operation.mSession;
    }
  }
  connection.mOperation.reset();
  operation.mConnection.reset();
  const bool staysPinned = inTransaction && !isCommit;
  if (staysPinned) {
    FinishOperation(aKey, std::move(aReply), aNow);
    return;
  }
  connection.mTransactionOf.reset();
  const bool isClean =
    aReply.mState == TransactionState::Idle && connection.mOutstanding.empty();
  // A wrapped read's rollback is under way already.
  const bool isEnding = operation.mIsWrapped && !inTransaction;
  FinishOperation(aKey, std::move(aReply), aNow);
  const auto still = mConnections.find(aConnection);
  if (still == mConnections.end()) {
    return;
  }
  if (isEnding) {
    still->second.mState = ConnectionState::Internal;
  } else if (isClean) {
    MakeIdle(aConnection, still->second, aNow);
  } else {
    Release(aConnection, true, aNow);
  }
}

void
ProxyCore::NoteRefusal(Operation& aOperation, AnswerCode aCode, TimePoint aNow)
{
  Member& member = mMembers.find(aOperation.mMember)->second;
  mHooks.mLog(LogLevel::Info,
              "member_refused",
              { { "id", aOperation.mStatement.mId },
                { "member", aOperation.mMember },
                { "code", std::string(AnswerName(aCode)) },
                { "attempt", std::to_string(aOperation.mAttempts) } });
  aOperation.mRefusedBy.insert(aOperation.mMember);
  if (aCode == AnswerCode::Busy) {
    member.mWindow.OnOverload(aNow);
  }
  if (aCode == AnswerCode::Lagging) {
    member.mLagBackoff =
      std::clamp(member.mLagBackoff * 2, kLagBackoffFirst, kLagBackoffMost);
    const Session* session = nullptr;
    const auto found = mSessions.find(aOperation.mSession);
    if (found != mSessions.end()) {
      session = &found->second;
    }
    // Lacking the session's own last commit says nothing about other sessions' reads.
    const bool isOwnCommit =
      session != nullptr && session->mLastCommit &&
      aOperation.mRoute.mConsistency == Consistency::ReadYourWrites;
    if (!isOwnCommit) {
      member.mLaggingUntil = aNow + member.mLagBackoff;
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
  const bool isEnding = aOperation.mIsWrapped;
  connection.mOperation.reset();
  aOperation.mConnection.reset();
  const AnswerStep step = StepAfter(
    code, aOperation.mWrites ? StatementEffect::Writes : StatementEffect::Reads);
  const bool retries =
    step == AnswerStep::RetryElsewhere && mSessions.contains(aOperation.mSession) &&
    (code != AnswerCode::Failed || aOperation.mAttempts < kReadAttempts);
  if (retries) {
    NoteRefusal(aOperation, code, aNow);
  } else {
    ClientAnswer answer;
    answer.mError = code;
    answer.mText = aReply.mText;
    FinishOperation(aKey, std::move(answer), aNow);
  }
  if (isEnding) {
    connection.mState = ConnectionState::Internal;
  } else if (code == AnswerCode::UnknownPrepared) {
    Discard(connectionKey, aNow);
  } else {
    Release(connectionKey, aReply.mState != TransactionState::Idle, aNow);
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
  const bool notRun = HasNotRun(code);
  const bool isCommit = aOperation.mStatement.mKind == StatementKind::Commit;
  if (code == AnswerCode::Busy && aReply.mState == TransactionState::Open &&
      aNow + kRetryPause < WaitLimit(aOperation)) {
    // Stays on its connection; sent again after the pause.
    aOperation.mStage = OperationStage::Waiting;
    aOperation.mRetryAt = aNow + kRetryPause;
    ScheduleOperation(aKey, aOperation.mRetryAt);
    return;
  }
  connection.mOperation.reset();
  connection.mTransactionOf.reset();
  aOperation.mConnection.reset();
  const auto session = mSessions.find(aOperation.mSession);
  if (session != mSessions.end() && session->second.mTransaction) {
    session->second.mTransaction->mConnection.reset();
  }
  if (aOperation.mPurpose == OperationPurpose::TransactionFirst && notRun &&
      session != mSessions.end()) {
    NoteRefusal(aOperation, code, aNow);
    session->second.mTransaction->mWrote = false;
    Release(connectionKey, true, aNow);
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
    Release(connectionKey, aReply.mState != TransactionState::Idle, aNow);
  }
}

void
ProxyCore::LoseOperation(OperationKey aKey, std::string_view aWhy, TimePoint aNow)
{
  Operation& operation = mOperations.at(aKey);
  if (operation.mConnection) {
    const auto connection = mConnections.find(*operation.mConnection);
    if (connection != mConnections.end()) {
      connection->second.mOperation.reset();
      connection->second.mTransactionOf.reset();
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
                { "reason", std::string(aWhy) } });
  const bool wasSent = operation.mStage == OperationStage::Running;
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
      operation.mAttempts < kReadAttempts && aNow < WaitLimit(operation)) {
    if (transaction) {
      transaction->mWrote = false;
    }
    operation.mRefusedBy.insert(operation.mMember);
    Requeue(aKey, operation, Duration::zero(), aNow);
    return;
  }
  if (inTransaction) {
    const bool mayHaveCommitted = wasSent && transaction && transaction->mWrote &&
                                  operation.mStatement.mKind == StatementKind::Commit;
    FailOperation(
      aKey, mayHaveCommitted ? AnswerCode::Unknown : AnswerCode::Aborted, aWhy, aNow);
  } else if (operation.mWrites && wasSent) {
    FailOperation(aKey, AnswerCode::Unknown, aWhy, aNow);
  } else {
    FailOperation(aKey, wasSent ? AnswerCode::Timeout : AnswerCode::Busy, aWhy, aNow);
  }
}

void
ProxyCore::LoseSession(ConnectionKey aKey, std::string_view aWhy, TimePoint aNow)
{
  const auto found = mConnections.find(aKey);
  mHooks.mLog(LogLevel::Warning,
              "connection_out_of_step",
              { { "member", found->second.mMember }, { "reason", std::string(aWhy) } });
  if (found->second.mOperation) {
    LoseOperation(*found->second.mOperation, aWhy, aNow);
  }
  Discard(aKey, aNow);
}

} // namespace papayaspindle::proxy
