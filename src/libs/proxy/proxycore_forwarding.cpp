#include "proxy/proxycore.h"

#include "proxy/hometable.h"
#include "proxy/proxytimes.h"

namespace papayaspindle::proxy {

namespace {

// Number of home instances that may refuse a statement before the client receives an
// error.
constexpr std::size_t kMaxHomeAttempts = 2;
// Number of home instances that may refuse a statement or be out of reach: all but the
// last one, which HomeTable would choose only as the least likely to answer.
constexpr std::size_t kMaxLostHomes = HomeTable::kHomesPerGroup - 1;
// Time for the home's answer to travel back: the home may answer as late as the deadline.
constexpr Duration kHomeAnswerMargin = std::chrono::milliseconds(50);

} // namespace

std::uint32_t
ProxyCore::HomesOf(const std::string& aCustomer, const std::string& aGroup) const
{
  const auto limits = mConfiguration.mGroups.find(aGroup);
  const std::uint32_t connections =
    limits == mConfiguration.mGroups.end() ? 1 : limits->second.mMaxConnections;
  return HomeSpread(
    mConfiguration.mCustomers.ShareOf(aCustomer), connections, mHooks.mHomeCount(aGroup));
}

std::optional<std::string>
ProxyCore::PickHome(const Operation& aOperation,
                    const std::set<std::string>& aExcluded,
                    TimePoint aNow) const
{
  if (aOperation.mCustomer.empty() || !mHooks.mPickCustomerHome) {
    return mHooks.mPickHome(aOperation.mGroup, aExcluded, aNow);
  }
  const std::uint32_t spread = HomesOf(aOperation.mCustomer, aOperation.mGroup);
  return mHooks.mPickCustomerHome(
    aOperation.mGroup, aOperation.mCustomer, spread, aExcluded, aNow);
}

bool
ProxyCore::IsServedHere(const Operation& aOperation, TimePoint aNow) const
{
  if (mSessions.at(aOperation.mSession).mIsForwarded) {
    return mHooks.mIsHome(aOperation.mGroup);
  }
  return IsOwnHome(aOperation, aNow);
}

bool
ProxyCore::IsOwnHome(const Operation& aOperation, TimePoint aNow) const
{
  if (!mHooks.mIsHome(aOperation.mGroup)) {
    return false;
  }
  if (aOperation.mCustomer.empty()) {
    return true;
  }
  const auto home = PickHome(aOperation, {}, aNow);
  return !home || *home == mSettings.mInstance;
}

void
ProxyCore::ForwardToHome(OperationKey aKey, Operation& aOperation, TimePoint aNow)
{
  if (HasWithdrawnKey(aOperation)) {
    FailOperation(aKey, AnswerCode::NotAuthorized, "the key was withdrawn", aNow);
    return;
  }
  Session& session = mSessions.at(aOperation.mSession);
  std::string home = session.mTransaction ? session.mTransaction->mHome : std::string();
  if (home.empty()) {
    const auto picked =
      session.mIsForwarded || aOperation.mRefusedHomes.size() >= kMaxLostHomes
        ? std::nullopt
        : PickHome(aOperation, aOperation.mRefusedHomes, aNow);
    if (picked == mSettings.mInstance) {
      aOperation.mHome.clear();
      WaitForMember(aKey, aOperation, aNow);
      return;
    }
    if (!picked) {
      FailOperation(aKey, AnswerCode::Busy, "no home of the group can be reached", aNow);
      return;
    }
    home = *picked;
  }
  ForwardedStatement forwarded;
  forwarded.mSession = aOperation.mSession;
  forwarded.mRoute = aOperation.mRoute;
  forwarded.mCustomer = aOperation.mCustomer;
  forwarded.mKey = session.mKey;
  forwarded.mKeyVersion = mConfiguration.mVersion;
  forwarded.mStatement = aOperation.mStatement;
  forwarded.mPurpose = aOperation.mPurpose;
  forwarded.mMayWrite = session.mTransaction && session.mTransaction->mMayWrite;
  forwarded.mWrites = aOperation.mWrites;
  forwarded.mValues = session.mValues;
  forwarded.mLastCommit = session.mLastCommit;
  forwarded.mWaited = aNow - aOperation.mArrivedAt;
  if (aOperation.mStatement.mKind == StatementKind::Execute) {
    forwarded.mPrepared = session.mPrepared.find(aOperation.mStatement.mName)->second;
  }
  if (session.mTransaction && aOperation.mWrites) {
    session.mTransaction->mWrote = true;
  }
  aOperation.mStage = OperationStage::Forwarded;
  aOperation.mHome = home;
  aOperation.mAttempts++;
  aOperation.mSentAt = aNow;
  ScheduleOperation(aKey, aOperation.mDeadline + kHomeAnswerMargin);
  aOperation.mDeadline += kHomeAnswerMargin;
  mHooks.mCount("statement_forwarded");
  mHooks.mForward(home, aKey, forwarded);
}

void
ProxyCore::OnForwardAnswer(OperationKey aOperation, ClientAnswer aAnswer, TimePoint aNow)
{
  const auto found = mOperations.find(aOperation);
  if (found == mOperations.end() || found->second.mStage != OperationStage::Forwarded) {
    return;
  }
  Operation& operation = found->second;
  const bool isFresh = operation.mPurpose != OperationPurpose::TransactionNext;
  if (aAnswer.mError == AnswerCode::Busy && isFresh &&
      operation.mRefusedHomes.size() + 1 < kMaxHomeAttempts &&
      aNow < operation.mArrivedAt + operation.mRoute.mLatencyObjective / 2) {
    operation.mRefusedHomes.insert(operation.mHome);
    Session& session = mSessions.at(operation.mSession);
    if (session.mTransaction) {
      session.mTransaction->mWrote = false;
    }
    ForwardToHome(aOperation, operation, aNow);
    return;
  }
  FinishForwardedOperation(aOperation, std::move(aAnswer), aNow);
}

void
ProxyCore::FinishForwardedOperation(OperationKey aKey,
                                    ClientAnswer aAnswer,
                                    TimePoint aNow)
{
  const Operation& operation = mOperations.at(aKey);
  Session& session = mSessions.at(operation.mSession);
  const bool isCommit = operation.mStatement.mKind == StatementKind::Commit;
  const bool inTransaction = InTransaction(operation);
  if (aAnswer.mError) {
    if (inTransaction) {
      session.mTransaction.reset();
      session.mState = isCommit ? TransactionState::Idle : TransactionState::Failed;
    }
  } else if (isCommit) {
    if (session.mTransaction && session.mTransaction->mWrote && aAnswer.mPosition) {
      session.mLastCommit = aAnswer.mPosition;
    }
    session.mTransaction.reset();
    session.mState = TransactionState::Idle;
  } else if (inTransaction) {
    session.mTransaction->mHome = operation.mHome;
  } else if (operation.mWrites && aAnswer.mPosition) {
    session.mLastCommit = aAnswer.mPosition;
  }
  FinishOperation(aKey, std::move(aAnswer), aNow);
}

void
ProxyCore::OnForwardFailed(OperationKey aOperation, bool aWasSent, TimePoint aNow)
{
  const auto found = mOperations.find(aOperation);
  if (found == mOperations.end() || found->second.mStage != OperationStage::Forwarded) {
    return;
  }
  Operation& operation = found->second;
  Session& session = mSessions.at(operation.mSession);
  const bool inTransaction = InTransaction(operation);
  const bool isFirst = operation.mPurpose == OperationPurpose::TransactionFirst;
  const bool isRepeatable =
    !aWasSent ||
    (!operation.mWrites && operation.mStatement.mKind != StatementKind::Commit);
  mHooks.mLog(LogLevel::Info,
              "home_lost",
              { { "id", operation.mStatement.mId },
                { "home", operation.mHome },
                { "sent", aWasSent ? "yes" : "no" } });
  operation.mRefusedHomes.insert(operation.mHome);
  if (aWasSent) {
    // A member may have run it, so its token isn't returned.
    operation.mTokenExpiresAt.reset();
  }
  if (isRepeatable && (!inTransaction || isFirst) && aNow < WaitLimit(operation)) {
    if (session.mTransaction) {
      session.mTransaction->mWrote = false;
    }
    ForwardToHome(aOperation, operation, aNow);
    return;
  }
  FailOperation(aOperation,
                LostAnswerCode(operation, session, aWasSent),
                "home did not answer",
                aNow);
}

void
ProxyCore::OnForwardRefused(OperationKey aOperation, TimePoint aNow)
{
  const auto found = mOperations.find(aOperation);
  if (found == mOperations.end() || found->second.mStage != OperationStage::Forwarded) {
    return;
  }
  const Operation& operation = found->second;
  if (operation.mPurpose == OperationPurpose::TransactionNext) {
    // The home holds the transaction open and has to roll it back, because the client
    // learns that it is aborted.
    mHooks.mEndForwardedTransaction(operation.mHome, operation.mSession);
  }
  OnForwardFailed(aOperation, false, aNow);
}

void
ProxyCore::OnHomeUnresponsive(std::string_view aHome, TimePoint aNow)
{
  std::vector<OperationKey> reads;
  for (const auto& [key, operation] : mOperations) {
    // A write or a transaction may still continue at its home, and must not run twice.
    const bool isRepeatable = operation.mPurpose == OperationPurpose::SingleRead;
    if (operation.mStage == OperationStage::Forwarded && operation.mHome == aHome &&
        isRepeatable && operation.mRefusedHomes.size() + 1 < kMaxHomeAttempts) {
      reads.push_back(key);
    }
  }
  for (const OperationKey key : reads) {
    mHooks.mCancelForward(key);
    OnForwardFailed(key, true, aNow);
  }
}

void
ProxyCore::OnForwardedStatement(SessionKey aSession,
                                ForwardedStatement aStatement,
                                TimePoint aNow)
{
  Session& session = mSessions[aSession];
  session.mIsForwarded = true;
  session.mLastActivity = aNow;
  session.mValues = std::move(aStatement.mValues);
  session.mLastCommit = aStatement.mLastCommit;
  session.mCustomer = std::move(aStatement.mCustomer);
  session.mKey = aStatement.mKey;
  session.mKeyVersion = aStatement.mKeyVersion;
  const bool isNext = aStatement.mPurpose == OperationPurpose::TransactionNext;
  const bool isFirst = aStatement.mPurpose == OperationPurpose::TransactionFirst;
  const bool hasConnection = session.mTransaction && session.mTransaction->mConnection;
  if (session.mOperation || (isNext && !hasConnection) || !mConfiguration.mVersion) {
    ClientAnswer refusal;
    refusal.mError = isNext ? AnswerCode::Aborted : AnswerCode::Busy;
    refusal.mText = "transaction not open at its home";
    mHooks.mAnswer(aSession, refusal);
    EndForwardedSession(aSession);
    return;
  }
  if (!aStatement.mRoute.mIsPublic &&
      IsKeyWithdrawn(
        mConfiguration, session.mKey, session.mCustomer, session.mKeyVersion)) {
    ClientAnswer refusal;
    refusal.mError = AnswerCode::NotAuthorized;
    refusal.mText = "the key was withdrawn";
    ReleaseTransaction(aSession, session, aNow);
    mHooks.mAnswer(aSession, refusal);
    EndForwardedSession(aSession);
    return;
  }
  if (!isNext) {
    // The entry instance may have given up an earlier transaction just before its answer
    // arrived.
    ReleaseTransaction(aSession, session, aNow);
    session.mState = TransactionState::Idle;
  }
  if (isFirst) {
    session.mState = TransactionState::Open;
    ClientTransaction& transaction = session.mTransaction.emplace();
    transaction.mMayWrite = aStatement.mMayWrite;
    transaction.mRoute = aStatement.mRoute;
  }
  if (aStatement.mStatement.mKind == StatementKind::Execute) {
    session.mPrepared[aStatement.mStatement.mName] = aStatement.mPrepared;
  }
  Operation operation;
  operation.mSession = aSession;
  operation.mRoute = isNext ? session.mTransaction->mRoute : std::move(aStatement.mRoute);
  operation.mGroup = operation.mRoute.mGroup;
  operation.mCustomer = session.mCustomer;
  session.mDatabase = operation.mRoute.mDatabase;
  operation.mPurpose = aStatement.mPurpose;
  operation.mWrites = aStatement.mWrites;
  operation.mStatement = std::move(aStatement.mStatement);
  const bool isPrimaryRoute = operation.mRoute.mConsistency == Consistency::Primary;
  const bool inTransaction = isFirst || isNext;
  operation.mNeedsPrimary =
    isPrimaryRoute ||
    (inTransaction ? session.mTransaction->mMayWrite : operation.mWrites);
  operation.mNeedsLeadershipProof =
    !inTransaction && !operation.mWrites && isPrimaryRoute;
  operation.mArrivedAt = aNow - aStatement.mWaited;
  operation.mDeadline = operation.mArrivedAt + operation.mRoute.mStatementTimeout;
  const OperationKey key = mNextOperation++;
  operation.mKey = key;
  session.mOperation = key;
  SubmitOperation(
    key, mOperations.emplace(key, std::move(operation)).first->second, aNow);
}

void
ProxyCore::EndForwardedSession(SessionKey aKey)
{
  const auto found = mSessions.find(aKey);
  if (found == mSessions.end() || found->second.mOperation) {
    return;
  }
  const std::optional<ClientTransaction>& transaction = found->second.mTransaction;
  if (!transaction || !transaction->mConnection) {
    mSessions.erase(found);
  }
}

} // namespace papayaspindle::proxy
