#include "proxy/proxycore.h"

#include "proxy/proxytimes.h"

namespace papayaspindle::proxy {

namespace {

std::size_t
EntryBytes(std::size_t aNameBytes, std::size_t aTextBytes)
{
  return aNameBytes + aTextBytes + kEntryOverheadBytes;
}

std::size_t
StatementBytes(const Statement& aStatement)
{
  return sizeof(Statement) + aStatement.mId.size() + aStatement.mName.size() +
         aStatement.mArguments.size();
}

} // namespace

void
ProxyCore::HandleSessionCommand(SessionKey aKey,
                                Session& aSession,
                                const Statement& aStatement)
{
  const std::size_t bytes =
    EntryBytes(aStatement.mName.size(), aStatement.mArguments.size());
  const auto value = aSession.mValues.find(aStatement.mName);
  const auto prepared = aSession.mPrepared.find(aStatement.mName);
  const std::size_t preparedBytes =
    prepared == aSession.mPrepared.end()
      ? 0
      : EntryBytes(aStatement.mName.size(), prepared->second.mShape.size());
  if (aStatement.mKind == StatementKind::Set) {
    const std::size_t valueBytes =
      value == aSession.mValues.end()
        ? 0
        : EntryBytes(aStatement.mName.size(), value->second.size());
    if (!ReserveState(aKey, aSession, valueBytes, bytes)) {
      return;
    }
    aSession.mValues[aStatement.mName] = aStatement.mArguments;
  } else if (aStatement.mKind == StatementKind::Prepare) {
    if (!ReserveState(aKey, aSession, preparedBytes, bytes)) {
      return;
    }
    aSession.mPrepared[aStatement.mName] = { aStatement.mPreparedKind,
                                             aStatement.mArguments };
  } else if (prepared == aSession.mPrepared.end()) {
    AnswerError(
      aKey, aSession, AnswerCode::UnknownPrepared, "prepared statement not known");
    return;
  } else {
    aSession.mStateBytes -= preparedBytes;
    aSession.mPrepared.erase(prepared);
  }
  AnswerSuccess(aKey, aSession);
}

bool
ProxyCore::ReserveState(SessionKey aKey,
                        Session& aSession,
                        std::size_t aOldBytes,
                        std::size_t aNewBytes)
{
  const std::size_t bytes = aSession.mStateBytes - aOldBytes + aNewBytes;
  if (aNewBytes > aOldBytes && bytes > mSettings.mMaxSessionBytes) {
    mHooks.mCount("session_state_refused");
    mHooks.mLog(LogLevel::Warning,
                "session_state_refused",
                { { "session", std::to_string(aKey) },
                  { "bytes", std::to_string(bytes) },
                  { "limit", std::to_string(mSettings.mMaxSessionBytes) } });
    AnswerError(aKey,
                aSession,
                AnswerCode::TooLarge,
                "too many session values and prepared statements");
    return false;
  }
  aSession.mStateBytes = bytes;
  return true;
}

SessionUsage
ProxyCore::UsageOf(SessionKey aSession) const
{
  SessionUsage usage;
  const auto found = mSessions.find(aSession);
  if (found == mSessions.end()) {
    return usage;
  }
  const Session& session = found->second;
  usage.mStateBytes = session.mStateBytes;
  usage.mHasTransaction = session.mTransaction.has_value();
  if (session.mIsForwarded) {
    for (const auto& [name, value] : session.mValues) {
      usage.mStateBytes += EntryBytes(name.size(), value.size());
    }
  }
  usage.mQueued = session.mBacklog.size();
  for (const Statement& statement : session.mBacklog) {
    usage.mStatementBytes += StatementBytes(statement);
  }
  if (session.mOperation) {
    const Operation& operation = mOperations.at(*session.mOperation);
    usage.mStatementBytes += StatementBytes(operation.mStatement);
    usage.mIsRunning = operation.mStage != OperationStage::Waiting &&
                       operation.mStage != OperationStage::AwaitingToken;
  }
  return usage;
}

} // namespace papayaspindle::proxy
