#include "proxy/proxycore.h"
#include "proxy/proxytimes.h"

#include <utility>

namespace papayaspindle::proxy {

void
ProxyCore::OnSessionOpened(SessionKey aSession,
                           std::string_view aDatabase,
                           const std::optional<KeyDigest>& aKey,
                           TimePoint aNow)
{
  if (!HasConfiguration()) {
    mEarlySessions[aSession] = { std::string(aDatabase), aKey, aNow };
    return;
  }
  SessionAccess access =
    CheckAccess(mConfiguration, aDatabase, aKey, mSettings.mKeyPolicy);
  if (access.mDecision == AccessDecision::UnknownDatabase) {
    RefuseSession(
      aSession, aDatabase, AnswerCode::UnknownDatabase, "no route for the database");
    return;
  }
  if (access.mDecision == AccessDecision::NotAuthorized) {
    mHooks.mCount("session_not_authorized");
    RefuseSession(aSession, aDatabase, AnswerCode::NotAuthorized, "unknown key");
    return;
  }
  Session session;
  session.mDatabase = aDatabase;
  session.mKey = aKey;
  session.mCustomer = std::move(access.mCustomer);
  session.mOpenedAt = aNow;
  session.mLastActivity = aNow;
  mSessions.emplace(aSession, std::move(session));
  mHooks.mAcceptSession(aSession);
}

void
ProxyCore::RefuseSession(SessionKey aSession,
                         std::string_view aDatabase,
                         AnswerCode aCode,
                         std::string_view aReason)
{
  mHooks.mLog(LogLevel::Info,
              "session_refused",
              { { "database", std::string(aDatabase) },
                { "reason", std::string(aReason) },
                { "version", std::to_string(mConfiguration.mVersion) } });
  ClientAnswer refusal;
  refusal.mError = aCode;
  refusal.mText = aReason;
  mHooks.mAnswer(aSession, refusal);
  mHooks.mCloseSession(aSession);
}

void
ProxyCore::AdmitEarlySessions(TimePoint aNow)
{
  for (const auto& [key, early] : std::exchange(mEarlySessions, {})) {
    if (HasConfiguration()) {
      OnSessionOpened(key, early.mDatabase, early.mKey, aNow);
    } else if (aNow - early.mArrivedAt < kConfigurationTimeout) {
      mEarlySessions.emplace(key, early);
    } else {
      RefuseSession(key, early.mDatabase, AnswerCode::Busy, "no configuration yet");
    }
  }
}

void
ProxyCore::OnSessionClosed(SessionKey aSession, TimePoint aNow)
{
  mEarlySessions.erase(aSession);
  const auto found = mSessions.find(aSession);
  if (found == mSessions.end()) {
    return;
  }
  Session& session = found->second;
  if (session.mOperation) {
    const Operation& operation = mOperations.at(*session.mOperation);
    mHooks.mLog(LogLevel::Info,
                "statement_abandoned",
                { { "id", operation.mStatement.mId },
                  { "session", std::to_string(aSession) },
                  { "database", operation.mRoute.mDatabase },
                  { "member", operation.mMember },
                  { "home", operation.mHome } });
    AbandonOperation(*session.mOperation, session);
  }
  ReleaseTransaction(aSession, session, aNow);
  mSessions.erase(found);
}

void
ProxyCore::AbandonOperation(OperationKey aKey, Session& aSession)
{
  const Operation& operation = mOperations.at(aKey);
  if (operation.mStage == OperationStage::Forwarded) {
    mHooks.mCancelForward(aKey);
    RemoveOperation(aKey);
    return;
  }
  const bool isUnderWay = operation.mStage != OperationStage::Waiting &&
                          operation.mStage != OperationStage::AwaitingToken;
  if (isUnderWay && !aSession.mTransaction && !operation.mNeedsLeadershipProof) {
    // The operation occupies its connection until the member answers; the answer is
    // discarded.
    return;
  }
  const std::optional<ConnectionKey> connection = operation.mConnection;
  RemoveOperation(aKey);
  if (connection) {
    DiscardConnection(*connection);
    if (aSession.mTransaction) {
      aSession.mTransaction->mConnection.reset();
    }
  }
}

void
ProxyCore::RemoveOperation(OperationKey aKey)
{
  const auto found = mOperations.find(aKey);
  Operation& operation = found->second;
  RemoveFromInFlight(operation);
  if (operation.mStage == OperationStage::AwaitingToken) {
    mHooks.mCancelToken(operation.mCustomer, aKey);
  }
  if (operation.mStage == OperationStage::Waiting) {
    mGroups[operation.mGroup].mWaiting.Remove(aKey);
  }
  if (operation.mConnection) {
    const auto connection = mConnections.find(*operation.mConnection);
    if (connection != mConnections.end()) {
      connection->second.mOperation.reset();
    }
  }
  const auto session = mSessions.find(operation.mSession);
  if (session != mSessions.end()) {
    session->second.mOperation.reset();
  }
  mOperations.erase(found);
}

void
ProxyCore::UpdateSessionKeys(TimePoint aNow)
{
  std::vector<SessionKey> withdrawn;
  for (auto& [key, session] : mSessions) {
    if (session.mIsKeyWithdrawn) {
      continue;
    }
    const SessionAccess access =
      CheckAccess(mConfiguration, session.mDatabase, session.mKey, mSettings.mKeyPolicy);
    if (session.mIsForwarded) {
      if (access.mDecision == AccessDecision::NotAuthorized &&
          session.mKeyVersion < mConfiguration.mVersion) {
        withdrawn.push_back(key);
      }
    } else if (access.mDecision == AccessDecision::NotAuthorized) {
      withdrawn.push_back(key);
    } else if (access.mCustomer != session.mCustomer) {
      // The connection of an open transaction bears the previous customer's name.
      if (session.mState == TransactionState::Open && !session.mOperation) {
        AbortTransaction(key, session, "the key belongs to another customer", aNow);
      }
      session.mCustomer = access.mCustomer;
    }
  }
  for (const SessionKey key : withdrawn) {
    WithdrawKey(key, aNow);
  }
}

void
ProxyCore::WithdrawKey(SessionKey aKey, TimePoint aNow)
{
  Session& session = mSessions.at(aKey);
  session.mIsKeyWithdrawn = true;
  mHooks.mCount("session_key_withdrawn");
  mHooks.mLog(LogLevel::Info,
              "session_key_withdrawn",
              { { "session", std::to_string(aKey) },
                { "customer", session.mCustomer },
                { "version", std::to_string(mConfiguration.mVersion) } });
  if (session.mOperation) {
    const Operation& operation = mOperations.at(*session.mOperation);
    const OperationStage stage = operation.mStage;
    const std::optional<ConnectionKey> connection = operation.mConnection;
    if (stage == OperationStage::Waiting || stage == OperationStage::AwaitingToken ||
        stage == OperationStage::Beginning) {
      FailOperation(
        *session.mOperation, AnswerCode::NotAuthorized, "the key was withdrawn", aNow);
    }
    if (stage == OperationStage::Beginning && connection) {
      // Its BEGIN is not answered yet.
      DiscardConnection(*connection);
    }
    // A statement that was sent is answered before the session closes.
    return;
  }
  ReleaseTransaction(aKey, session, aNow);
  if (session.mIsForwarded) {
    EndForwardedSession(aKey);
  } else {
    CloseIfRequired(aKey, aNow);
  }
}

bool
ProxyCore::HasWithdrawnKey(const Operation& aOperation) const
{
  const auto session = mSessions.find(aOperation.mSession);
  return session != mSessions.end() && session->second.mIsKeyWithdrawn;
}

void
ProxyCore::AnswerBeforeStop(SessionKey aKey, TimePoint aNow)
{
  // Answering a statement may start the session's next queued statement.
  auto session = mSessions.find(aKey);
  while (session != mSessions.end() && session->second.mOperation) {
    const OperationKey key = *session->second.mOperation;
    const Operation& operation = mOperations.at(key);
    const bool isForwarded = operation.mStage == OperationStage::Forwarded;
    const bool wasSent = isForwarded || operation.mStage == OperationStage::Running;
    const std::optional<ConnectionKey> connection = operation.mConnection;
    if (isForwarded) {
      mHooks.mCancelForward(key);
    }
    FailOperation(key,
                  LostAnswerCode(operation, session->second, wasSent),
                  "the instance stops",
                  aNow);
    if (connection) {
      DiscardConnection(*connection);
    }
    session = mSessions.find(aKey);
  }
}

void
ProxyCore::CloseIfRequired(SessionKey aKey, TimePoint aNow)
{
  const auto found = mSessions.find(aKey);
  if (found == mSessions.end()) {
    return;
  }
  const Session& session = found->second;
  if (session.mIsKeyWithdrawn && !session.mOperation && !session.mIsForwarded) {
    mHooks.mCloseSession(aKey);
    OnSessionClosed(aKey, aNow);
    return;
  }
  if (!mDrainStart && !mCutOffSince) {
    return;
  }
  const bool isAtRest = session.mState == TransactionState::Idle && !session.mOperation;
  // A client that connects after the load balancer has noticed the partition would not
  // reach a better instance by reconnecting.
  const bool isCutOff = mCutOffSince && aNow - *mCutOffSince >= kReadinessPropagation &&
                        session.mOpenedAt < *mCutOffSince + kReadinessPropagation;
  if (isCutOff && isAtRest && !session.mIsForwarded) {
    mHooks.mCloseSession(aKey);
    OnSessionClosed(aKey, aNow);
    return;
  }
  if (!mDrainStart) {
    return;
  }
  const Duration passed = aNow - *mDrainStart;
  const bool isTransactionAtRest =
    session.mState != TransactionState::Idle && !session.mOperation;
  const bool mayClose = (isAtRest && passed >= kReadinessPropagation) ||
                        (isTransactionAtRest && passed >= mSettings.mGrace / 2) ||
                        passed >= mSettings.mGrace - kDrainCloseMargin;
  if (mayClose) {
    AnswerBeforeStop(aKey, aNow);
    if (!mSessions.contains(aKey)) {
      // Sending the last answer has already closed the session.
      return;
    }
    mHooks.mCloseSession(aKey);
    OnSessionClosed(aKey, aNow);
  }
}

} // namespace papayaspindle::proxy
