#include "proxy/proxycore.h"

#include "proxy/proxytimes.h"

#include <algorithm>

namespace papayaspindle::proxy {

void
ProxyCore::MaintainPools(TimePoint aNow)
{
  std::vector<ConnectionKey> surplus;
  for (auto& [id, member] : mMembers) {
    const Group* group = FindGroup(member.mEntry.mGroup);
    const bool isServedHere = IsUsable(member) && group != nullptr &&
                              !group->mLimits.mName.empty() &&
                              mHooks.mIsHome(group->mLimits.mName);
    const std::vector<ConnectionKey> closing =
      member.mPool.Surplus(isServedHere ? std::optional(ShareOf(*group)) : std::nullopt,
                           member.mEntry.mDraining,
                           aNow);
    surplus.insert(surplus.end(), closing.begin(), closing.end());
    // Keeping one connection open saves the next statement a handshake and detects an
    // unreachable member.
    if (isServedHere && !member.mEntry.mDraining && member.mPool.Count() == 0 &&
        MayOpen(member, *group, aNow) && !mDrainStart) {
      OpenConnection(member, {}, aNow);
    }
  }
  for (const ConnectionKey key : surplus) {
    DiscardConnection(key);
  }
  std::erase_if(mMembers, [&](auto& aEntry) {
    const bool isRemovable = !aEntry.second.mIsListed &&
                             aEntry.second.mPool.Count() == 0 &&
                             !IsRetained(aEntry.second, aNow);
    if (isRemovable) {
      std::erase(mGroups[aEntry.second.mEntry.mGroup].mMembers, aEntry.first);
    }
    return isRemovable;
  });
}

void
ProxyCore::CheckUnresponsiveConnections(TimePoint aNow)
{
  std::vector<std::pair<ConnectionKey, std::string_view>> unresponsive;
  for (auto& [key, connection] : mConnections) {
    Member& member = mMembers.find(connection.mMember)->second;
    if (connection.mState == ConnectionState::Opening) {
      const Duration limit = connection.mIsAccepted ? kOpenTimeout : kConnectTimeout;
      if (aNow - connection.mOpenedAt > limit) {
        unresponsive.emplace_back(key, "opening timed out");
      }
      continue;
    }
    if (connection.mOutstanding.empty()) {
      continue;
    }
    const Duration waited = aNow - connection.mOutstanding.front().mSentAt;
    const bool isMemberUnresponsive =
      member.mLastReply < connection.mOutstanding.front().mSentAt;
    const bool isLost =
      !isMemberUnresponsive &&
      waited > std::max(kLostAnswerTimeout, member.mServiceTime * kLostAnswerFactor);
    if (isMemberUnresponsive && waited > kUnresponsiveAfter &&
        member.mPool.OpeningCount() == 0) {
      const Group* group = FindGroup(member.mEntry.mGroup);
      if (group != nullptr && MayOpen(member, *group, aNow)) {
        OpenConnection(member, {}, aNow);
      }
    }
    const bool isTimedOut = isMemberUnresponsive && waited > kUnresponsiveAfter;
    if (connection.mState == ConnectionState::Internal && (isLost || isTimedOut)) {
      unresponsive.emplace_back(key, "no answer");
    } else if (connection.mOperation && (isLost || isTimedOut)) {
      const Operation& operation = mOperations.at(*connection.mOperation);
      const bool isCommit = operation.mStatement.mKind == StatementKind::Commit;
      // The outcome of a lost write or commit would be unknown, so the connection stays
      // open in case the answer still arrives.
      if (!isCommit && !operation.mWrites) {
        unresponsive.emplace_back(key, "no answer");
      }
    }
  }
  for (const auto& [key, reason] : unresponsive) {
    const auto found = mConnections.find(key);
    if (found == mConnections.end()) {
      continue;
    }
    if (found->second.mOperation) {
      OnAnswerLost(*found->second.mOperation, reason, aNow);
      DiscardConnection(key);
    } else {
      OnConnectionFailed(key, aNow);
    }
  }
}

void
ProxyCore::RequestSample(Member& aMember, ConnectionKey aConnection, TimePoint aNow)
{
  PoolConnection& connection = mConnections.at(aConnection);
  connection.mState = ConnectionState::Internal;
  mGroups[aMember.mEntry.mGroup].mLastSampleRequestedAt = aNow;
  const MemberCommand commands[] = { { .mKind = CommandKind::Begin },
                                     { .mKind = CommandKind::Rollback } };
  SendCommands(aConnection, connection, commands, aNow);
}

void
ProxyCore::SearchLeader(Group& aGroup, TimePoint aNow)
{
  if (aNow - aGroup.mLastLeaderSearch < kLeaderSearchInterval) {
    return;
  }
  aGroup.mLastLeaderSearch = aNow;
  for (const std::string& id : aGroup.mMembers) {
    Member& member = mMembers.find(id)->second;
    if (!IsUsable(member) || member.mEntry.mDraining) {
      continue;
    }
    if (!member.mUnreachableSince && member.mPool.HasIdle()) {
      RequestSample(member, *member.mPool.TakeIdle(), aNow);
    } else if (member.mPool.OpeningCount() == 0 && MayOpen(member, aGroup, aNow)) {
      OpenConnection(member, {}, aNow);
    }
  }
}

void
ProxyCore::MaintainSamples(TimePoint aNow)
{
  for (auto& [name, group] : mGroups) {
    if (aNow - group.mLastBoundedRead > kSamplingTimeout) {
      continue;
    }
    const std::optional<TimePoint> newest = group.mSamples.NewestRequestedAt();
    const bool isDue = (!newest || aNow - *newest > kSampleInterval) &&
                       aNow - group.mLastSampleRequestedAt > kSampleInterval;
    if (!isDue) {
      continue;
    }
    const Member* known = PrimaryMember(group, aNow);
    if (known == nullptr || known->mUnreachableSince) {
      SearchLeader(group, aNow);
      continue;
    }
    Member& primary = mMembers.find(known->mEntry.mId)->second;
    if (const auto key = primary.mPool.TakeIdle()) {
      RequestSample(primary, *key, aNow);
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
        DiscardConnection(*query.mConnection);
      } else {
        FinishStatusQuery(index, std::nullopt);
      }
      continue;
    }
    Member* member = FindMember(query.mMember);
    if (!query.mConnection && member != nullptr) {
      const Group* group = FindGroup(member->mEntry.mGroup);
      if (const auto key = member->mPool.TakeIdle()) {
        query.mConnection = key;
        PoolConnection& connection = mConnections.at(*key);
        connection.mState = ConnectionState::Internal;
        SendCommands(*key, connection, { &query.mCommand, 1 }, aNow);
      } else if (member->mPool.OpeningCount() == 0 && group != nullptr &&
                 (MayOpen(*member, *group, aNow) ||
                  (IsRetained(*member, aNow) && !member->mPool.IsPaused(aNow)))) {
        OpenConnection(*member, {}, aNow);
      }
    }
    index++;
  }
}

void
ProxyCore::OnStatusReply(ConnectionKey aKey, const MemberReply& aReply, TimePoint aNow)
{
  const auto connection = mConnections.find(aKey);
  if (connection != mConnections.end() && aReply.mStatus) {
    Member& member = mMembers.find(connection->second.mMember)->second;
    member.mTerm = std::max(member.mTerm, aReply.mStatus->mTerm);
  }
  for (std::size_t index = 0; index < mStatusQueries.size(); index++) {
    if (mStatusQueries[index].mConnection == aKey) {
      FinishStatusQuery(index, aReply);
      break;
    }
  }
  const auto found = mConnections.find(aKey);
  if (found != mConnections.end()) {
    ReleaseConnection(aKey, aReply.mState != TransactionState::Idle, aNow);
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
