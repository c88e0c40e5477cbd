#include "proxy/proxycore.h"

#include "proxy/proxytimes.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// A connection with this many prepared statements is reset before its next use outside a
// transaction.
constexpr std::size_t kMaxPreparedStatements = 200;

} // namespace

PoolShare
ProxyCore::ShareOf(const Group& aGroup) const
{
  const std::uint32_t homes = std::max(mHooks.mHomeCount(aGroup.mLimits.mName), 1U);
  const std::uint32_t connections = aGroup.mLimits.mMaxConnections;
  return { std::max(connections / homes, 1U), connections, HasCustomers() };
}

bool
ProxyCore::MayOpen(const Member& aMember, const Group& aGroup, TimePoint aNow) const
{
  return IsUsable(aMember) && aMember.mPool.MayOpen(ShareOf(aGroup), aNow);
}

void
ProxyCore::OpenConnection(Member& aMember, std::string_view aCustomer, TimePoint aNow)
{
  const ConnectionKey key = mNextConnection++;
  PoolConnection connection;
  connection.mMember = aMember.mEntry.mId;
  connection.mOpenedAt = aNow;
  mConnections.emplace(key, std::move(connection));
  aMember.mPool.OnOpening(key, aCustomer);
  mHooks.mCount("connection_opened");
  mHooks.mOpen(key, aMember.mEntry, aCustomer);
}

void
ProxyCore::OnConnectionAccepted(ConnectionKey aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found != mConnections.end()) {
    found->second.mIsAccepted = true;
  }
}

void
ProxyCore::OnConnectionReady(ConnectionKey aConnection,
                             const std::optional<LogPosition>& aPosition,
                             TimePoint aNow)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  Member& member = mMembers.find(found->second.mMember)->second;
  member.mPool.OnReady(aConnection);
  found->second.mState = ConnectionState::Internal;
  member.mLastReply = aNow;
  if (member.mUnreachableSince) {
    mHooks.mLog(LogLevel::Info, "member_reachable", { { "member", member.mEntry.mId } });
    member.mUnreachableSince.reset();
  }
  if (aPosition && (!member.mPosition || *aPosition > *member.mPosition)) {
    member.mPosition = aPosition;
  }
  MakeIdle(aConnection, found->second, aNow);
}

void
ProxyCore::OnConnectionRefused(ConnectionKey aConnection,
                               AnswerCode aCode,
                               TimePoint aNow)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  Member& member = mMembers.find(found->second.mMember)->second;
  mHooks.mLog(LogLevel::Info,
              "connection_refused",
              { { "member", member.mEntry.mId },
                { "connections", std::to_string(member.mPool.Count()) },
                { "code", std::to_string(static_cast<int>(aCode)) } });
  member.mLastReply = aNow;
  member.mUnreachableSince.reset();
  if (aCode == AnswerCode::Misrouted) {
    member.mIsMisrouted = true;
  }
  member.mPool.OnRefused(aConnection, ShareOf(mGroups[member.mEntry.mGroup]), aNow);
  DiscardConnection(aConnection);
}

void
ProxyCore::OnConnectionFailed(ConnectionKey aConnection, TimePoint aNow)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  PoolConnection& connection = found->second;
  Member& member = mMembers.find(connection.mMember)->second;
  if (connection.mState == ConnectionState::Opening) {
    member.mPool.OnOpeningFailed(aNow);
    if (!member.mUnreachableSince && member.mLastReply < connection.mOpenedAt) {
      member.mUnreachableSince = aNow;
      mHooks.mLog(LogLevel::Warning,
                  "member_unreachable",
                  { { "member", member.mEntry.mId }, { "group", member.mEntry.mGroup } });
    }
  }
  if (connection.mOperation) {
    OnAnswerLost(*connection.mOperation, "connection lost", aNow);
  } else if (connection.mTransactionSession) {
    const auto session = mSessions.find(*connection.mTransactionSession);
    if (session != mSessions.end()) {
      connection.mTransactionSession.reset();
      session->second.mTransaction->mConnection.reset();
      AbortTransaction(session->first, session->second, "connection lost", aNow);
    }
  }
  const bool wasOpening = connection.mState == ConnectionState::Opening;
  DiscardConnection(aConnection);
  // A lost connection may be the first sign of a failed member; opening a new one shows
  // whether the member is reachable.
  const Group* group = FindGroup(member.mEntry.mGroup);
  if (!wasOpening && group != nullptr && member.mPool.OpeningCount() == 0 &&
      MayOpen(member, *group, aNow)) {
    OpenConnection(member, {}, aNow);
  }
}

void
ProxyCore::SendCommands(ConnectionKey aKey,
                        PoolConnection& aConnection,
                        std::span<const MemberCommand> aCommands,
                        TimePoint aNow)
{
  for (const MemberCommand& command : aCommands) {
    aConnection.mOutstanding.push_back({ command.mKind, aNow });
  }
  mHooks.mSend(aKey, aCommands);
}

void
ProxyCore::ReleaseConnection(ConnectionKey aKey, bool aNeedsRollback, TimePoint aNow)
{
  const auto found = mConnections.find(aKey);
  if (found == mConnections.end()) {
    return;
  }
  PoolConnection& connection = found->second;
  connection.mOperation.reset();
  connection.mTransactionSession.reset();
  if (!connection.mOutstanding.empty()) {
    DiscardConnection(aKey);
    return;
  }
  if (!aNeedsRollback) {
    MakeIdle(aKey, connection, aNow);
    return;
  }
  connection.mState = ConnectionState::Internal;
  const MemberCommand rollback{ .mKind = CommandKind::Rollback };
  SendCommands(aKey, connection, { &rollback, 1 }, aNow);
}

void
ProxyCore::DiscardConnection(ConnectionKey aKey)
{
  const auto found = mConnections.find(aKey);
  if (found == mConnections.end()) {
    return;
  }
  mMembers.find(found->second.mMember)->second.mPool.Remove(aKey);
  mConnections.erase(found);
  for (std::size_t index = 0; index < mStatusQueries.size(); index++) {
    if (mStatusQueries[index].mConnection == aKey) {
      FinishStatusQuery(index, std::nullopt);
      break;
    }
  }
  mHooks.mCloseConnection(aKey);
}

void
ProxyCore::MakeIdle(ConnectionKey aKey, PoolConnection& aConnection, TimePoint aNow)
{
  Member& member = mMembers.find(aConnection.mMember)->second;
  const bool isQueried =
    IsRetained(member, aNow) &&
    std::any_of(
      mStatusQueries.begin(), mStatusQueries.end(), [&](const StatusQuery& aQuery) {
        return aQuery.mMember == aConnection.mMember && !aQuery.mConnection;
      });
  if ((!member.mIsListed && !isQueried) || member.mIsMisrouted) {
    DiscardConnection(aKey);
    return;
  }
  aConnection.mState = ConnectionState::Idle;
  aConnection.mOperation.reset();
  aConnection.mTransactionSession.reset();
  member.mPool.OnIdle(aKey, aNow);
  RunStatusQueries(aNow);
  DispatchWaiting(mGroups[member.mEntry.mGroup], aNow);
}

std::vector<MemberCommand>
ProxyCore::SetupCommands(const Session& aSession,
                         PoolConnection& aConnection,
                         const Statement& aStatement)
{
  std::vector<MemberCommand> commands;
  const bool hasForeignValue = std::any_of(
    aConnection.mValues.begin(), aConnection.mValues.end(), [&](const auto& aValue) {
      return !aSession.mValues.contains(aValue.first);
    });
  const bool isCrowded = aConnection.mPrepared.size() >= kMaxPreparedStatements &&
                         !aConnection.mTransactionSession;
  if (hasForeignValue || isCrowded) {
    commands.push_back({ .mKind = CommandKind::Reset });
    aConnection.mValues.clear();
    aConnection.mPrepared.clear();
  }
  for (const auto& [name, value] : aSession.mValues) {
    AppliedValue& current = aConnection.mValues[name];
    if (!current.Matches(value)) {
      commands.push_back(
        { .mKind = CommandKind::Set, .mName = name, .mArguments = value });
      current = AppliedValue(value);
    }
  }
  if (aStatement.mKind == StatementKind::Execute) {
    const PreparedStatement& prepared = aSession.mPrepared.find(aStatement.mName)->second;
    const std::string name = PreparedName(prepared.mKind, prepared.mShape);
    if (aConnection.mPrepared.insert(name).second) {
      commands.push_back({ .mKind = CommandKind::Prepare,
                           .mName = name,
                           .mArguments = prepared.mShape,
                           .mPreparedKind = prepared.mKind });
    }
  }
  return commands;
}

} // namespace papayaspindle::proxy
