#include "proxy/proxycore.h"

#include "proxy/proxytimes.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Prepared statements of a connection; beyond it the connection is cleared first.
constexpr std::size_t kMaxPrepared = 200;

} // namespace

std::uint32_t
ProxyCore::BaseShare(const Group& aGroup) const
{
  const std::uint32_t homes = std::max(mHooks.mHomeCount(aGroup.mLimits.mName), 1U);
  return std::max(aGroup.mLimits.mMaxConnections / homes, 1U);
}

std::uint32_t
ProxyCore::HeldShare(const Group& aGroup) const
{
  return std::max(BaseShare(aGroup) / kHeldPart, 1U);
}

bool
ProxyCore::MayOpen(const Member& aMember, const Group& aGroup, TimePoint aNow) const
{
  if (!IsUsable(aMember) || aMember.mOpening >= 2) {
    return false;
  }
  const std::uint32_t base = BaseShare(aGroup);
  if (aMember.mConnections < base) {
    return aNow >= aMember.mOpenAfter;
  }
  // Beyond its share an instance borrows what others leave unused; the member refuses
  // what exceeds the limit.
  return aNow >= aMember.mBorrowAfter && aNow >= aMember.mOpenAfter &&
         aMember.mConnections <
           std::min(base * kBorrowFactor + 1, aGroup.mLimits.mMaxConnections);
}

void
ProxyCore::Open(Member& aMember, TimePoint aNow)
{
  const ConnectionKey key = mNextConnection++;
  PoolConnection connection;
  connection.mMember = aMember.mEntry.mId;
  connection.mOpenedAt = aNow;
  connection.mLastUsed = aNow;
  mConnections.emplace(key, std::move(connection));
  aMember.mConnections++;
  aMember.mOpening++;
  mHooks.mCount("connection_opened");
  mHooks.mOpen(key, aMember.mEntry);
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
  member.mOpening--;
  member.mOpenBackoff = {};
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
                { "connections", std::to_string(member.mConnections) },
                { "code", std::to_string(static_cast<int>(aCode)) } });
  member.mLastReply = aNow;
  member.mUnreachableSince.reset();
  if (aCode == AnswerCode::Misrouted) {
    member.mIsMisrouted = true;
  }
  const Group* group = FindGroup(member.mEntry.mGroup);
  if (group != nullptr && member.mConnections > BaseShare(*group)) {
    member.mBorrowAfter = aNow + kBorrowPause;
  } else {
    // The instance is entitled to it: whoever borrowed it gives it back soon.
    member.mOpenAfter = aNow + kOpenBackoffFirst;
  }
  Discard(aConnection);
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
    member.mOpenBackoff =
      std::clamp(member.mOpenBackoff * 2, kOpenBackoffFirst, kOpenBackoffMost / 2);
    member.mOpenAfter = aNow + member.mOpenBackoff;
    if (!member.mUnreachableSince && member.mLastReply < connection.mOpenedAt) {
      member.mUnreachableSince = aNow;
      mHooks.mLog(LogLevel::Warning,
                  "member_unreachable",
                  { { "member", member.mEntry.mId }, { "group", member.mEntry.mGroup } });
    }
  }
  if (connection.mOperation) {
    LoseOperation(*connection.mOperation, "connection lost", aNow);
  } else if (connection.mTransactionOf) {
    const auto session = mSessions.find(*connection.mTransactionOf);
    if (session != mSessions.end()) {
      connection.mTransactionOf.reset();
      session->second.mTransaction->mConnection.reset();
      AbortTransaction(session->first, session->second, "connection lost", aNow);
    }
  }
  const bool wasOpening = connection.mState == ConnectionState::Opening;
  Discard(aConnection);
  // A lost connection may be the first sign of a dead member.
  const Group* group = FindGroup(member.mEntry.mGroup);
  if (!wasOpening && group != nullptr && member.mOpening == 0 &&
      MayOpen(member, *group, aNow)) {
    Open(member, aNow);
  }
}

void
ProxyCore::Send(ConnectionKey aKey,
                PoolConnection& aConnection,
                std::span<const MemberCommand> aCommands,
                TimePoint aNow)
{
  for (const MemberCommand& command : aCommands) {
    aConnection.mOutstanding.push_back({ command.mKind, aNow });
  }
  aConnection.mLastUsed = aNow;
  mHooks.mSend(aKey, aCommands);
}

void
ProxyCore::Release(ConnectionKey aKey, bool aNeedsRollback, TimePoint aNow)
{
  const auto found = mConnections.find(aKey);
  if (found == mConnections.end()) {
    return;
  }
  PoolConnection& connection = found->second;
  connection.mOperation.reset();
  connection.mTransactionOf.reset();
  if (!connection.mOutstanding.empty()) {
    Discard(aKey);
    return;
  }
  if (!aNeedsRollback) {
    MakeIdle(aKey, connection, aNow);
    return;
  }
  connection.mState = ConnectionState::Internal;
  const MemberCommand rollback{ .mKind = CommandKind::Rollback };
  Send(aKey, connection, { &rollback, 1 }, aNow);
}

void
ProxyCore::Discard(ConnectionKey aKey)
{
  const auto found = mConnections.find(aKey);
  if (found == mConnections.end()) {
    return;
  }
  const PoolConnection& connection = found->second;
  Member& member = mMembers.find(connection.mMember)->second;
  member.mConnections--;
  if (connection.mState == ConnectionState::Opening) {
    member.mOpening--;
  }
  std::erase(member.mIdle, aKey);
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
  if (!member.mIsListed || member.mIsMisrouted) {
    Discard(aKey);
    return;
  }
  aConnection.mState = ConnectionState::Idle;
  aConnection.mOperation.reset();
  aConnection.mTransactionOf.reset();
  aConnection.mLastUsed = aNow;
  member.mIdle.push_back(aKey);
  RunStatusQueries(aNow);
  Dispatch(mGroups[member.mEntry.mGroup], aNow);
}

ConnectionKey
ProxyCore::TakeIdle(Member& aMember, const Session& aSession)
{
  auto chosen = aMember.mIdle.end() - 1;
  for (auto idle = aMember.mIdle.begin(); idle != aMember.mIdle.end(); ++idle) {
    if (mConnections.at(*idle).mValues == aSession.mValues) {
      chosen = idle;
    }
  }
  const ConnectionKey key = *chosen;
  aMember.mIdle.erase(chosen);
  return key;
}

std::vector<MemberCommand>
ProxyCore::Prelude(const Session& aSession,
                   PoolConnection& aConnection,
                   const Statement& aStatement)
{
  std::vector<MemberCommand> commands;
  const bool hasForeignValue = std::any_of(
    aConnection.mValues.begin(), aConnection.mValues.end(), [&](const auto& aValue) {
      return !aSession.mValues.contains(aValue.first);
    });
  const bool isCrowded =
    aConnection.mPrepared.size() >= kMaxPrepared && !aConnection.mTransactionOf;
  if (hasForeignValue || isCrowded) {
    commands.push_back({ .mKind = CommandKind::Reset });
    aConnection.mValues.clear();
    aConnection.mPrepared.clear();
  }
  for (const auto& [name, value] : aSession.mValues) {
    std::string& current = aConnection.mValues[name];
    if (current != value) {
      commands.push_back(
        { .mKind = CommandKind::Set, .mName = name, .mArguments = value });
      current = value;
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
