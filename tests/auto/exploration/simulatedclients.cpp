#include "exploration/simulatedclients.h"

namespace papayaspindle::exploration {

void
SimulatedClients::Act(SimulatedInstance& aInstance, const Place& aPlace)
{
  const auto session = mSlots.find(aPlace);
  if (session == mSlots.end()) {
    Open(aInstance, aPlace);
    return;
  }
  SimulatedClient& client = mClients.at({ aPlace.first, session->second });
  const bool isProbe = IsProbe(aPlace);
  if (!isProbe && mContext.mRandom.Chance(15)) {
    const proxy::SessionKey key = session->second;
    mSlots.erase(session);
    Close(aInstance, key);
    return;
  }
  if (!client.mIsAccepted || (!client.mSent.empty() && !MaySendAhead(client))) {
    return;
  }
  if (mMayIdle && mContext.mClock.Now() < client.mIdleUntil) {
    return;
  }
  if (mMayIdle && !isProbe && client.mState == proxy::TransactionState::Open &&
      mContext.mRandom.Chance(20)) {
    client.mIdleUntil = mContext.mClock.Now() + mContext.mRandom.Between(500ms, 7s);
    return;
  }
  Send(aInstance, session->second, client, ChooseStatement(client, isProbe));
}

bool
SimulatedClients::MaySendAhead(const SimulatedClient& aClient)
{
  const proxy::StatementKind last = aClient.mSent.back().mStatement.mKind;
  return aClient.mState == proxy::TransactionState::Idle && aClient.mSent.size() < 3 &&
         (last == proxy::StatementKind::Read || last == proxy::StatementKind::Write) &&
         mContext.mRandom.Chance(100);
}

void
SimulatedClients::Open(SimulatedInstance& aInstance, const Place& aPlace)
{
  const proxy::SessionKey key = ++mNextSession;
  SimulatedClient& client = mClients[{ aPlace.first, key }];
  mSlots[aPlace] = key;
  client.mName = fmt::format("session-{}", key);
  auto route = mConfiguration.mRoutes.begin();
  if (IsProbe(aPlace)) {
    route = mConfiguration.mRoutes.find(
      fmt::format("main-{}", aPlace.second - kClientsPerInstance));
  } else {
    std::advance(route, mContext.mRandom.Below(mConfiguration.mRoutes.size()));
  }
  client.mRoute = route->second;
  std::optional<proxy::KeyDigest> digest;
  if (!mCustomers.empty()) {
    client.mCustomer = mCustomers[mContext.mRandom.Below(mCustomers.size())];
    digest = proxy::DigestOf("key of " + client.mCustomer);
  }
  const auto process = aInstance.shared_from_this();
  process->Post([this, process, key, digest, database = client.mRoute.mDatabase] {
    process->Core().OnSessionOpened(key, database, digest, mContext.mClock.Now());
  });
}

void
SimulatedClients::Close(SimulatedInstance& aInstance, proxy::SessionKey aKey)
{
  const auto found = mClients.find({ aInstance.Name(), aKey });
  if (found == mClients.end()) {
    return;
  }
  Abandon(found->second);
  mClients.erase(found);
  const auto process = aInstance.shared_from_this();
  process->Post([this, process, aKey] {
    process->Core().OnSessionClosed(aKey, mContext.mClock.Now());
  });
}

void
SimulatedClients::Abandon(SimulatedClient& aClient)
{
  const bool isCommitting =
    std::any_of(aClient.mSent.begin(), aClient.mSent.end(), [](const auto& aSent) {
      return aSent.mStatement.mKind == proxy::StatementKind::Commit;
    });
  if (!isCommitting) {
    RefuseAll(aClient);
  }
}

void
SimulatedClients::RefuseAll(SimulatedClient& aClient)
{
  for (const std::string& id : std::exchange(aClient.mWrites, {})) {
    mLedger.OnRefused(id);
  }
}

proxy::Statement
SimulatedClients::ChooseStatement(const SimulatedClient& aClient, bool aIsProbe)
{
  proxy::Statement statement;
  statement.mArguments = "item";
  statement.mId = fmt::format("s{}", ++mNextStatement);
  if (aIsProbe) {
    statement.mKind = proxy::StatementKind::Write;
    return statement;
  }
  const bool isAhead = !aClient.mSent.empty();
  if (aClient.mState == proxy::TransactionState::Failed) {
    statement.mKind = proxy::StatementKind::Rollback;
    return statement;
  }
  const std::uint64_t choice = isAhead ? 15 : mContext.mRandom.Below(24);
  const std::string name(1, static_cast<char>('a' + mContext.mRandom.Below(2)));
  const bool isOpen = aClient.mState == proxy::TransactionState::Open;
  if (choice < 1) {
    statement.mKind = proxy::StatementKind::Set;
    statement.mName = name;
    statement.mArguments = std::to_string(mContext.mRandom.Below(3));
  } else if (choice < 2) {
    statement.mKind = proxy::StatementKind::Prepare;
    statement.mName = name;
    statement.mArguments = fmt::format("shape{}", mContext.mRandom.Below(3));
    statement.mPreparedKind = mContext.mRandom.Chance(500) ? proxy::PreparedKind::Read
                                                           : proxy::PreparedKind::Write;
  } else if (choice < 4 && aClient.mPrepared.contains(name)) {
    statement.mKind = proxy::StatementKind::Execute;
    statement.mName = name;
  } else if (choice < 8 && isOpen) {
    statement.mKind = mContext.mRandom.Chance(250) ? proxy::StatementKind::Rollback
                                                   : proxy::StatementKind::Commit;
  } else if (choice < 7) {
    statement.mKind = mContext.mRandom.Chance(200) ? proxy::StatementKind::BeginRead
                                                   : proxy::StatementKind::Begin;
  } else {
    statement.mKind = mContext.mRandom.Chance(500) ? proxy::StatementKind::Write
                                                   : proxy::StatementKind::Read;
  }
  return statement;
}

TimePoint
SimulatedClients::VisibleBefore(const SimulatedClient& aClient) const
{
  return mContext.mClock.Now() - aClient.mRoute.mMaxStaleness;
}

void
SimulatedClients::Send(SimulatedInstance& aInstance,
                       proxy::SessionKey aKey,
                       SimulatedClient& aClient,
                       const proxy::Statement& aStatement)
{
  StatementExpectation expected;
  expected.mGroup = aClient.mRoute.mGroup;
  expected.mSession = aClient.mName;
  expected.mCustomer = aClient.mCustomer;
  expected.mValues = aClient.mValues;
  expected.mIsWrite = aStatement.mKind == proxy::StatementKind::Write;
  if (aStatement.mKind == proxy::StatementKind::Execute) {
    const auto& [shape, kind] = aClient.mPrepared.at(aStatement.mName);
    expected.mShape = shape;
    expected.mIsWrite = kind == proxy::PreparedKind::Write;
  }
  expected.mInTransaction = aClient.mState == proxy::TransactionState::Open;
  const bool begins = aStatement.mKind == proxy::StatementKind::Begin ||
                      aStatement.mKind == proxy::StatementKind::BeginRead;
  if (begins) {
    aClient.mVisibleBefore = VisibleBefore(aClient);
  }
  expected.mVisibleBefore =
    expected.mInTransaction ? aClient.mVisibleBefore : VisibleBefore(aClient);
  if (aClient.mRoute.mConsistency == proxy::Consistency::ReadYourWrites) {
    expected.mOwnCommit = aClient.mOwnCommit;
  }
  mLedger.Expect(aStatement.mId, expected);
  mContext.mJournal.Note(aStatement.mId,
                         fmt::format("{} sends kind {} on {} to {}",
                                     aClient.mName,
                                     static_cast<int>(aStatement.mKind),
                                     aClient.mRoute.mDatabase,
                                     aInstance.Name()));
  aClient.mSent.push_back({ aStatement, mContext.mClock.Now() });
  const auto process = aInstance.shared_from_this();
  process->Post([this, process, aKey, statement = aStatement, name = aClient.mCustomer] {
    const auto& customers = process->Core().Configuration().mCustomers;
    if (!name.empty() && customers.FindByName(name) == nullptr) {
      mLedger.Forbid(statement.mId);
    }
    process->Core().OnStatement(aKey, statement, mContext.mClock.Now());
  });
}

bool
SimulatedClients::PromisesNoEffect(proxy::AnswerCode aCode)
{
  return aCode == proxy::AnswerCode::Busy || aCode == proxy::AnswerCode::Aborted ||
         aCode == proxy::AnswerCode::Lagging || aCode == proxy::AnswerCode::ReadOnly ||
         aCode == proxy::AnswerCode::Misrouted || aCode == proxy::AnswerCode::TooMany;
}

void
SimulatedClients::OnError(SimulatedClient& aClient,
                          const proxy::Statement& aStatement,
                          proxy::AnswerCode aCode)
{
  const bool isCommit = aStatement.mKind == proxy::StatementKind::Commit;
  if (PromisesNoEffect(aCode)) {
    mLedger.OnRefused(aStatement.mId);
    RefuseAll(aClient);
  } else if (!isCommit) {
    // A transaction that has failed before its COMMIT is rolled back.
    RefuseAll(aClient);
  }
  aClient.mWrites.clear();
}

void
SimulatedClients::OnSuccess(SimulatedClient& aClient,
                            const std::string& aInstance,
                            const proxy::Statement& aStatement,
                            const proxy::ClientAnswer& aAnswer)
{
  switch (aStatement.mKind) {
    case proxy::StatementKind::Set:
      aClient.mValues[aStatement.mName] = aStatement.mArguments;
      return;
    case proxy::StatementKind::Prepare:
      aClient.mPrepared[aStatement.mName] = { aStatement.mArguments,
                                              aStatement.mPreparedKind };
      return;
    case proxy::StatementKind::Begin:
    case proxy::StatementKind::BeginRead:
      return;
    case proxy::StatementKind::Rollback:
      RefuseAll(aClient);
      return;
    case proxy::StatementKind::Commit:
      for (const std::string& id : std::exchange(aClient.mWrites, {})) {
        OnWriteAcknowledged(aClient, aInstance, id);
      }
      return;
    default:
      break;
  }
  if (!mLedger.Find(aStatement.mId)->mIsWrite) {
    mLedger.OnReadAnswered(aStatement.mId, aAnswer.mText);
  } else if (aAnswer.mText != "sig-" + aStatement.mId + "-0") {
    mLedger.OnForeignAnswer(aStatement.mId, aAnswer.mText);
  } else if (mLedger.Find(aStatement.mId)->mInTransaction) {
    aClient.mWrites.push_back(aStatement.mId);
  } else {
    OnWriteAcknowledged(aClient, aInstance, aStatement.mId);
  }
}

void
SimulatedClients::OnWriteAcknowledged(SimulatedClient& aClient,
                                      const std::string& aInstance,
                                      const std::string& aId)
{
  SimulatedGroup& group = *mGroups.at(aClient.mRoute.mGroup);
  const CommitRecord* commit = mLedger.CommitOf(aId);
  const bool isKept = commit != nullptr && group.Leader().HasReceived(commit->mNumber);
  aClient.mOwnCommit = mLedger.OnAcknowledged(aId, isKept, group.MayLose());
  mLastWrites[{ group.Name(), aInstance }] = mContext.mClock.Now();
}

} // namespace papayaspindle::exploration
