#include "proxy/proxycore.h"

#include "proxy/answerpolicy.h"
#include "proxy/proxytimes.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

/** @return what the answer to a statement says about the member that sent it */
StatementOutcome
OutcomeOf(const MemberReply& aReply, const Operation& aOperation)
{
  if (!aReply.mError) {
    return StatementOutcome::Succeeded;
  }
  // Only the primary runs writes, so their failures can't be compared between members.
  // ConcurrencyWindow handles overload; the other codes depend on the statement or on the
  // member's role.
  const bool isFailure = *aReply.mError == AnswerCode::Failed ||
                         *aReply.mError == AnswerCode::Timeout ||
                         *aReply.mError == AnswerCode::Unknown;
  return isFailure && !aOperation.mNeedsPrimary ? StatementOutcome::Failed
                                                : StatementOutcome::NoInformation;
}

} // namespace

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
  RecordPosition(connection, command, aReply, aNow);
  switch (command.mKind) {
    case CommandKind::Set:
    case CommandKind::Prepare:
    case CommandKind::Reset:
      // The statement that follows this command must not run with other session values.
      if (aReply.mError || aReply.mText != kUnsigned) {
        AbandonConnection(aConnection, "session values could not be set", aNow);
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
        DiscardConnection(aConnection);
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
ProxyCore::RecordPosition(const PoolConnection& aConnection,
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
    (aCommand.mKind == CommandKind::Commit && aConnection.mTransactionSession);
  // The reply to the ROLLBACK of a sample, which any member sends, arrives in place of a
  // lost reply to BEGIN.
  const bool isBegin =
    aCommand.mKind == CommandKind::Begin && aReply.mState == TransactionState::Open;
  const bool provesLeadership = !aReply.mError && (isBegin || isWrite);
  if (aReply.mError == AnswerCode::ReadOnly) {
    RecordLeadershipRefusal(member, aNow);
  }
  if (!provesLeadership || !aReply.mPosition) {
    return;
  }
  // The COMMIT of a transaction that wrote nothing succeeds at any member and therefore
  // proves no leadership.
  if (aCommand.mKind == CommandKind::Commit) {
    const auto session = mSessions.find(*aConnection.mTransactionSession);
    if (session == mSessions.end() || !session->second.mTransaction ||
        !session->second.mTransaction->mWrote) {
      return;
    }
  }
  // Without a valid lease, the member may be an old leader that is not yet aware of its
  // replacement.
  if (!mHooks.mHasLeaderLease(
        member.mEntry.mGroup, aConnection.mMember, aCommand.mSentAt)) {
    return;
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
ProxyCore::UpdateSlowness(Member& aMember, Duration aTook, Duration aUsualTime)
{
  const auto change = aMember.mSlowness.Add(aTook, aUsualTime);
  if (!change) {
    return;
  }
  const bool isSlow = *change == SlownessWatch::Change::BecameSlow;
  const bool leads = mGroups[aMember.mEntry.mGroup].mProvenPrimary == aMember.mEntry.mId;
  mHooks.mCount(isSlow ? "member_became_slow" : "member_recovered");
  mHooks.mLog(isSlow ? LogLevel::Warning : LogLevel::Info,
              isSlow ? "member_slow" : "member_recovered",
              { { "member", aMember.mEntry.mId },
                { "group", aMember.mEntry.mGroup },
                { "zone", aMember.mEntry.mZone },
                { "leads", leads ? "yes" : "no" },
                { "times_usual", std::to_string(aMember.mSlowness.Ratio()) },
                { "in_flight", std::to_string(aMember.mInFlight) } });
}

void
ProxyCore::RecordLeadershipRefusal(Member& aMember, TimePoint aNow)
{
  if (aMember.mNotLeadingUntil <= aNow) {
    aMember.mNotLeadingUntil = aNow + kNotLeadingPause;
    Group& group = mGroups[aMember.mEntry.mGroup];
    const bool isDecided = mHooks.mLeader(aMember.mEntry.mGroup) == aMember.mEntry.mId;
    if (!group.mLeaderlessSince && (aMember.mPrimarySince || isDecided)) {
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
    // This BEGIN requested a position sample; the reply to its ROLLBACK follows.
    if (!aReply.mError && aReply.mState != TransactionState::Open) {
      AbandonConnection(aKey, "BEGIN without a transaction", aNow);
    } else if (!aReply.mError) {
      DispatchWaiting(mGroups[mMembers.find(connection.mMember)->second.mEntry.mGroup],
                      aNow);
    }
    return;
  }
  const OperationKey key = *connection.mOperation;
  Operation& operation = mOperations.at(key);
  if (!aReply.mError && aReply.mState == TransactionState::Open) {
    SendStatement(operation,
                  std::nullopt,
                  operation.mNeedsLeadershipProof && !InTransaction(operation),
                  aNow);
    return;
  }
  const AnswerCode code = aReply.mError.value_or(AnswerCode::Unknown);
  const bool isClean = aReply.mError && aReply.mState == TransactionState::Idle;
  RecordRefusal(operation, code, aNow);
  operation.mConnection.reset();
  connection.mOperation.reset();
  if (isClean) {
    MakeIdle(aKey, connection, aNow);
  } else {
    ReleaseConnection(aKey, true, aNow);
  }
  // Only BEGIN was sent, so the statement can safely be retried.
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

bool
ProxyCore::CommitsData(const Operation& aOperation) const
{
  if (!InTransaction(aOperation)) {
    return aOperation.mWrites;
  }
  const auto session = mSessions.find(aOperation.mSession);
  return aOperation.mStatement.mKind == StatementKind::Commit &&
         session != mSessions.end() && session->second.mTransaction &&
         session->second.mTransaction->mWrote;
}

void
ProxyCore::OnStatementReply(ConnectionKey aKey,
                            const OutstandingCommand& aCommand,
                            MemberReply aReply,
                            TimePoint aNow)
{
  PoolConnection& connection = mConnections.at(aKey);
  if (!connection.mOperation) {
    // The client has disconnected.
    ReleaseConnection(aKey, aReply.mState != TransactionState::Idle, aNow);
    return;
  }
  const OperationKey key = *connection.mOperation;
  Operation& operation = mOperations.at(key);
  Member& member = mMembers.find(connection.mMember)->second;
  WorkEstimate& work = mWorkEstimates.Of(operation.Class().mWork);
  member.mCapacity.OnEnd({ aCommand.mSentAt,
                           aNow,
                           work.Mean(),
                           OutcomeOf(aReply, operation),
                           member.mEntry.mSlots });
  if (!aReply.mError) {
    if (aReply.mText == kUnsigned) {
      AbandonConnection(aKey, "answer without a signature", aNow);
      return;
    }
    const Duration took = aNow - aCommand.mSentAt;
    member.mServiceTime += (took - member.mServiceTime) / kServiceTimeSmoothing;
    member.mWindow.OnAnswer(work.QueueTimeOf(took),
                            ShortestObjective(member.mEntry.mGroup),
                            member.mEntry.mSlots,
                            aNow);
    UpdateSlowness(member, took, work.Mean());
    work.Add(took);
    member.mLagBackoff = {};
    if (operation.mPurpose != OperationPurpose::TransactionNext) {
      member.mLaggingSince.reset();
    }
    if (CommitsData(operation) &&
        !mHooks.mHasLeaderLease(member.mEntry.mGroup, connection.mMember, aNow)) {
      // Without a valid lease, another member may already lead the group and lack this
      // commit.
      AbandonConnection(aKey, "commit without a permission for the leader", aNow);
      return;
    }
    FinishSuccess(aKey, key, std::move(aReply), aNow);
    return;
  }
  RemoveFromInFlight(operation);
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
  RemoveFromInFlight(operation);
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
      connection.mTransactionSession = operation.mSession;
    }
  }
  connection.mOperation.reset();
  operation.mConnection.reset();
  const bool staysPinned = inTransaction && !isCommit;
  if (staysPinned) {
    FinishOperation(aKey, std::move(aReply), aNow);
    return;
  }
  connection.mTransactionSession.reset();
  const bool isClean =
    aReply.mState == TransactionState::Idle && connection.mOutstanding.empty();
  // The ROLLBACK of a read that proves leadership was already sent with the read.
  const bool isRollbackSent = operation.mNeedsLeadershipProof && !inTransaction;
  FinishOperation(aKey, std::move(aReply), aNow);
  const auto remaining = mConnections.find(aConnection);
  if (remaining == mConnections.end()) {
    return;
  }
  if (isRollbackSent) {
    remaining->second.mState = ConnectionState::Internal;
  } else if (isClean) {
    MakeIdle(aConnection, remaining->second, aNow);
  } else {
    ReleaseConnection(aConnection, true, aNow);
  }
}

} // namespace papayaspindle::proxy
