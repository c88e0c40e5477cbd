#include "proxy/proxycore.h"

#include "proxy/answerpolicy.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

std::string
MillisecondText(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

} // namespace

void
ProxyCore::ScheduleOperation(OperationKey aKey, TimePoint aAt)
{
  mOperationTimers.emplace(aAt, aKey);
}

void
ProxyCore::StartOnConnection(OperationKey aKey,
                             Operation& aOperation,
                             ConnectionKey aConnection,
                             const std::optional<LogPosition>& aAfter,
                             TimePoint aNow)
{
  PoolConnection& connection = mConnections.at(aConnection);
  connection.mState = ConnectionState::InUse;
  connection.mOperation = aKey;
  aOperation.mConnection = aConnection;
  aOperation.mMember = connection.mMember;
  aOperation.mAttempts++;
  aOperation.mSentAt = aNow;
  ScheduleOperation(aKey, aOperation.mDeadline);
  LogRouting(aOperation, aAfter, aNow);
  const bool needsBegin = aOperation.mPurpose == OperationPurpose::TransactionFirst ||
                          aOperation.mNeedsLeadershipProof;
  if (!needsBegin) {
    SendStatement(aOperation, aAfter, false, aNow);
    return;
  }
  aOperation.mStage = OperationStage::Beginning;
  std::vector<MemberCommand> commands =
    SetupCommands(mSessions.at(aOperation.mSession), connection, aOperation.mStatement);
  MemberCommand begin;
  // Unlike BEGIN READ, BEGIN fails at a member that has lost its leadership.
  const bool isReadWrite = aOperation.mNeedsPrimary || aOperation.mNeedsLeadershipProof;
  begin.mKind = isReadWrite ? CommandKind::Begin : CommandKind::BeginRead;
  begin.mAfter = aAfter;
  commands.push_back(std::move(begin));
  SendCommands(aConnection, connection, commands, aNow);
}

void
ProxyCore::LogRouting(const Operation& aOperation,
                      const std::optional<LogPosition>& aAfter,
                      TimePoint aNow)
{
  const Member& member = mMembers.find(aOperation.mMember)->second;
  const auto sampled = mGroups[aOperation.mGroup].mSamples.NewestRequestedAt();
  mHooks.mLog(LogLevel::Info,
              "statement_routed",
              { { "id", aOperation.mStatement.mId },
                { "member", aOperation.mMember },
                { "attempt", std::to_string(aOperation.mAttempts) },
                { "waited_ms", MillisecondText(aNow - aOperation.mArrivedAt) },
                { "proof",
                  aAfter                             ? ToString(*aAfter)
                  : aOperation.mNeedsLeadershipProof ? "lead"
                                                     : "none" },
                { "sample_age_ms", sampled ? MillisecondText(aNow - *sampled) : "none" },
                { "in_flight", std::to_string(member.mInFlight) },
                { "window", std::to_string(member.Limit()) },
                { "version", std::to_string(mConfiguration.mVersion) } });
}

void
ProxyCore::SendStatement(Operation& aOperation,
                         const std::optional<LogPosition>& aAfter,
                         bool aWithRollback,
                         TimePoint aNow)
{
  PoolConnection& connection = mConnections.at(*aOperation.mConnection);
  const Session& session = mSessions.at(aOperation.mSession);
  std::vector<MemberCommand> commands =
    SetupCommands(session, connection, aOperation.mStatement);
  MemberCommand command;
  command.mId = aOperation.mStatement.mId;
  command.mArguments = aOperation.mStatement.mArguments;
  command.mAfter = aAfter;
  switch (aOperation.mStatement.mKind) {
    case StatementKind::Read:
      command.mKind = CommandKind::Read;
      break;
    case StatementKind::Write:
      command.mKind = CommandKind::Write;
      break;
    case StatementKind::Commit:
      command.mKind = CommandKind::Commit;
      break;
    default: {
      const PreparedStatement& prepared =
        session.mPrepared.find(aOperation.mStatement.mName)->second;
      command.mKind = CommandKind::Execute;
      command.mName = PreparedName(prepared.mKind, prepared.mShape);
      break;
    }
  }
  commands.push_back(std::move(command));
  if (aWithRollback) {
    commands.push_back({ .mKind = CommandKind::Rollback });
  }
  if (!aOperation.mIsInFlight) {
    aOperation.mIsInFlight = true;
    mMembers.find(aOperation.mMember)->second.mInFlight++;
  }
  if (aOperation.mWrites && session.mTransaction) {
    mSessions.at(aOperation.mSession).mTransaction->mWrote = true;
  }
  aOperation.mStage = OperationStage::Running;
  aOperation.mSentAt = aNow;
  Member& member = mMembers.find(aOperation.mMember)->second;
  member.mCapacity.OnStart(member.mInFlight, aNow);
  member.mSharing.OnInFlight(member.mInFlight, aNow);
  SendCommands(*aOperation.mConnection, connection, commands, aNow);
}

void
ProxyCore::RemoveFromInFlight(Operation& aOperation)
{
  if (!aOperation.mIsInFlight) {
    return;
  }
  aOperation.mIsInFlight = false;
  Member& member = mMembers.find(aOperation.mMember)->second;
  member.mInFlight -= std::min(member.mInFlight, 1U);
}

void
ProxyCore::Requeue(OperationKey aKey,
                   Operation& aOperation,
                   Duration aPause,
                   TimePoint aNow)
{
  RemoveFromInFlight(aOperation);
  aOperation.mStage = OperationStage::Waiting;
  aOperation.mConnection.reset();
  if (HasWithdrawnKey(aOperation)) {
    FailOperation(aKey, AnswerCode::NotAuthorized, "the key was withdrawn", aNow);
    return;
  }
  if (aNow + aPause >= WaitLimit(aOperation)) {
    FailOperation(aKey, AnswerCode::Busy, "no member could run it in time", aNow);
    return;
  }
  aOperation.mRetryAt = aNow + aPause;
  mHooks.mCount("operation_retried");
  Group& group = mGroups[aOperation.mGroup];
  group.mWaiting.AddByArrival(aOperation.QueueEntry());
  ScheduleOperation(
    aKey, aPause > Duration::zero() ? aOperation.mRetryAt : WaitLimit(aOperation));
  if (aPause == Duration::zero()) {
    DispatchWaiting(group, aNow);
  }
}

void
ProxyCore::OnOperationTimer(OperationKey aKey, TimePoint aNow)
{
  const auto found = mOperations.find(aKey);
  if (found == mOperations.end()) {
    return;
  }
  Operation& operation = found->second;
  if (operation.mStage == OperationStage::AwaitingToken) {
    FailOperation(aKey, AnswerCode::Busy, "the rate limit was not checked in time", aNow);
    return;
  }
  if (operation.mStage == OperationStage::Waiting) {
    OnWaitingTimer(aKey, operation, aNow);
    return;
  }
  if (aNow < operation.mDeadline) {
    return;
  }
  if (operation.mStage == OperationStage::Forwarded) {
    mHooks.mCancelForward(aKey);
    if (InTransaction(operation)) {
      // The home may have answered already, and then holds the transaction open.
      mHooks.mEndForwardedTransaction(operation.mHome, operation.mSession);
    }
    OnForwardFailed(aKey, true, aNow);
    return;
  }
  const ConnectionKey connection = *operation.mConnection;
  OnAnswerLost(aKey, "no answer before the timeout", aNow);
  DiscardConnection(connection);
}

void
ProxyCore::FinishOperation(OperationKey aKey, ClientAnswer aAnswer, TimePoint aNow)
{
  Operation& operation = mOperations.at(aKey);
  const SessionKey sessionKey = operation.mSession;
  const Duration took = aNow - operation.mArrivedAt;
  mHooks.mRecordLatency("statement_time", took);
  const bool isLate = took > operation.mRoute.mLatencyObjective;
  if (aAnswer.mError || isLate) {
    mHooks.mLog(
      LogLevel::Info,
      aAnswer.mError ? "statement_failed" : "statement_late",
      { { "id", operation.mStatement.mId },
        { "session", std::to_string(sessionKey) },
        { "database", operation.mRoute.mDatabase },
        { "customer", operation.mCustomer },
        { "member", operation.mMember },
        { "home", operation.mHome },
        { "attempts", std::to_string(operation.mAttempts) },
        { "took_ms", MillisecondText(took) },
        { "sent_ms_ago",
          operation.mSentAt == TimePoint() ? "none"
                                           : MillisecondText(aNow - operation.mSentAt) },
        { "version", std::to_string(mConfiguration.mVersion) },
        { "outcome", aAnswer.mError ? aAnswer.mText : "served" } });
  }
  mHooks.mCount(aAnswer.mError ? "statement_failed" : "statement_served");
  // A statement that was aborted may have run before its transaction was rolled back.
  const bool hasNotRun = aAnswer.mError && aAnswer.mError != AnswerCode::Aborted &&
                         GuaranteesNotRun(*aAnswer.mError);
  if (operation.mTokenExpiresAt && hasNotRun) {
    mHooks.mReturnToken(operation.mCustomer, *operation.mTokenExpiresAt, aNow);
  }
  RemoveOperation(aKey);
  const auto found = mSessions.find(sessionKey);
  if (found == mSessions.end()) {
    return;
  }
  SendAnswer(sessionKey, found->second, std::move(aAnswer));
  if (found->second.mIsForwarded) {
    EndForwardedSession(sessionKey);
    return;
  }
  RunBacklog(sessionKey, aNow);
}

void
ProxyCore::FailOperation(OperationKey aKey,
                         AnswerCode aCode,
                         std::string_view aReason,
                         TimePoint aNow)
{
  const Operation& operation = mOperations.at(aKey);
  // A statement that waits to be sent again keeps its transaction's connection.
  const bool holdsConnection =
    operation.mStage == OperationStage::Waiting && operation.mConnection.has_value();
  const ConnectionKey heldConnection = operation.mConnection.value_or(0);
  const auto found = mSessions.find(operation.mSession);
  if (found != mSessions.end() && found->second.mTransaction) {
    Session& session = found->second;
    session.mTransaction.reset();
    session.mState = operation.mStatement.mKind == StatementKind::Commit
                       ? TransactionState::Idle
                       : TransactionState::Failed;
  }
  ClientAnswer answer;
  answer.mError = aCode;
  answer.mText = aReason;
  FinishOperation(aKey, std::move(answer), aNow);
  if (holdsConnection) {
    ReleaseConnection(heldConnection, true, aNow);
  }
}

} // namespace papayaspindle::proxy
