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
  Discard(aConnection, aNow);
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
  Discard(aConnection, aNow);
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
    Discard(aKey, aNow);
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
ProxyCore::Discard(ConnectionKey aKey, TimePoint aNow)
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
  (void)aNow;
}

void
ProxyCore::MakeIdle(ConnectionKey aKey, PoolConnection& aConnection, TimePoint aNow)
{
  Member& member = mMembers.find(aConnection.mMember)->second;
  if (!member.mIsListed || member.mIsMisrouted) {
    Discard(aKey, aNow);
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

void
ProxyCore::MaintainPools(TimePoint aNow)
{
  std::vector<ConnectionKey> surplus;
  for (auto& [id, member] : mMembers) {
    const Group* group = FindGroup(member.mEntry.mGroup);
    const bool isKept = IsUsable(member) && group != nullptr &&
                        !group->mLimits.mName.empty() &&
                        mHooks.mIsHome(group->mLimits.mName);
    std::uint32_t connections = member.mConnections;
    for (const ConnectionKey key : member.mIdle) {
      const Duration unused = aNow - mConnections.at(key).mLastUsed;
      const bool isOld = unused > kIdleConnection;
      const bool isExtra =
        isKept && connections > BaseShare(*group) && unused > kIdleBorrowed;
      const bool isLeaving = isKept && member.mEntry.mDraining && isOld;
      if (!isKept || isExtra || isLeaving) {
        surplus.push_back(key);
        connections--;
      }
    }
    // One connection is held ready, which also tells whether the member lives.
    if (isKept && !member.mEntry.mDraining && member.mConnections == 0 &&
        MayOpen(member, *group, aNow) && !mDrainStart) {
      Open(member, aNow);
    }
  }
  for (const ConnectionKey key : surplus) {
    Discard(key, aNow);
  }
  std::erase_if(mMembers, [&](auto& aEntry) {
    const bool isForgotten = !aEntry.second.mIsListed && aEntry.second.mConnections == 0;
    if (isForgotten) {
      std::erase(mGroups[aEntry.second.mEntry.mGroup].mMembers, aEntry.first);
    }
    return isForgotten;
  });
}

void
ProxyCore::CheckSilentConnections(TimePoint aNow)
{
  std::vector<std::pair<ConnectionKey, std::string_view>> silent;
  for (auto& [key, connection] : mConnections) {
    Member& member = mMembers.find(connection.mMember)->second;
    if (connection.mState == ConnectionState::Opening) {
      const Duration limit = connection.mIsAccepted ? kOpenTimeout : kConnectTimeout;
      if (aNow - connection.mOpenedAt > limit) {
        silent.emplace_back(key, "opening timed out");
      }
      continue;
    }
    if (connection.mOutstanding.empty()) {
      continue;
    }
    const Duration waited = aNow - connection.mOutstanding.front().mSentAt;
    const bool isMemberSilent =
      member.mLastReply < connection.mOutstanding.front().mSentAt;
    const bool isLost =
      !isMemberSilent &&
      waited > std::max(kLostAnswer, member.mServiceTime * kLostAnswerFactor);
    if (isMemberSilent && waited > kSilence && member.mOpening == 0) {
      const Group* group = FindGroup(member.mEntry.mGroup);
      if (group != nullptr && MayOpen(member, *group, aNow)) {
        Open(member, aNow);
      }
    }
    const bool isSilent = isMemberSilent && waited > kSilence;
    if (connection.mState == ConnectionState::Internal && (isLost || isSilent)) {
      silent.emplace_back(key, "no answer");
    } else if (connection.mOperation && (isLost || isSilent)) {
      const Operation& operation = mOperations.at(*connection.mOperation);
      const bool isCommit = operation.mStatement.mKind == StatementKind::Commit;
      // Where the outcome would be unknown, the answer may still come.
      if (!isCommit && !operation.mWrites) {
        silent.emplace_back(key, "no answer");
      }
    }
  }
  for (const auto& [key, why] : silent) {
    const auto found = mConnections.find(key);
    if (found == mConnections.end()) {
      continue;
    }
    if (found->second.mOperation) {
      LoseOperation(*found->second.mOperation, why, aNow);
      Discard(key, aNow);
    } else {
      OnConnectionFailed(key, aNow);
    }
  }
}

void
ProxyCore::Sample(Member& aMember, ConnectionKey aConnection, TimePoint aNow)
{
  PoolConnection& connection = mConnections.at(aConnection);
  connection.mState = ConnectionState::Internal;
  mGroups[aMember.mEntry.mGroup].mLastSampleAsked = aNow;
  const MemberCommand commands[] = { { .mKind = CommandKind::Begin },
                                     { .mKind = CommandKind::Rollback } };
  Send(aConnection, connection, commands, aNow);
}

void
ProxyCore::MaintainSamples(TimePoint aNow)
{
  for (auto& [name, group] : mGroups) {
    if (aNow - group.mLastBoundedRead > kSampleDemand) {
      continue;
    }
    const std::optional<TimePoint> newest = group.mSamples.NewestAt();
    const bool isDue = (!newest || aNow - *newest > kSampleInterval) &&
                       aNow - group.mLastSampleAsked > kSampleInterval;
    if (!isDue) {
      continue;
    }
    const Member* known = PrimaryMember(group, aNow);
    if (known == nullptr) {
      SearchLeader(group, aNow);
      continue;
    }
    Member& primary = mMembers.find(known->mEntry.mId)->second;
    if (!primary.mIdle.empty()) {
      const ConnectionKey key = primary.mIdle.back();
      primary.mIdle.pop_back();
      Sample(primary, key, aNow);
    }
  }
}

void
ProxyCore::QueryStatus(std::string_view aMember,
                       const MemberCommand& aCommand,
                       Duration aTimeout,
                       TimePoint aNow,
                       StatusHook aHook)
{
  mStatusQueries.push_back(
    { std::string(aMember), aCommand, aNow + aTimeout, std::move(aHook), std::nullopt });
  RunStatusQueries(aNow);
}

void
ProxyCore::RunStatusQueries(TimePoint aNow)
{
  for (std::size_t index = 0; index < mStatusQueries.size();) {
    StatusQuery& query = mStatusQueries[index];
    if (aNow >= query.mDeadline) {
      if (query.mConnection) {
        // Discarding the connection finishes the query.
        Discard(*query.mConnection, aNow);
      } else {
        FinishStatusQuery(index, std::nullopt);
      }
      continue;
    }
    Member* member = FindMember(query.mMember);
    if (!query.mConnection && member != nullptr) {
      const Group* group = FindGroup(member->mEntry.mGroup);
      if (!member->mIdle.empty()) {
        const ConnectionKey key = member->mIdle.back();
        member->mIdle.pop_back();
        query.mConnection = key;
        PoolConnection& connection = mConnections.at(key);
        connection.mState = ConnectionState::Internal;
        Send(key, connection, { &query.mCommand, 1 }, aNow);
      } else if (member->mOpening == 0 && group != nullptr &&
                 MayOpen(*member, *group, aNow)) {
        Open(*member, aNow);
      }
    }
    index++;
  }
}

void
ProxyCore::OnStatusReply(ConnectionKey aKey, const MemberReply& aReply, TimePoint aNow)
{
  for (std::size_t index = 0; index < mStatusQueries.size(); index++) {
    if (mStatusQueries[index].mConnection == aKey) {
      FinishStatusQuery(index, aReply);
      break;
    }
  }
  const auto found = mConnections.find(aKey);
  if (found != mConnections.end()) {
    Release(aKey, aReply.mState != TransactionState::Idle, aNow);
  }
}

void
ProxyCore::FinishStatusQuery(std::size_t aIndex, const std::optional<MemberReply>& aReply)
{
  const StatusHook hook = std::move(mStatusQueries[aIndex].mHook);
  mStatusQueries.erase(mStatusQueries.begin() + static_cast<std::ptrdiff_t>(aIndex));
  hook(aReply);
}

} // namespace papayaspindle::proxy
