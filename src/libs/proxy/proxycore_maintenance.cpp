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
    const bool isKept = IsUsable(member) && group != nullptr &&
                        !group->mLimits.mName.empty() &&
                        mHooks.mIsHome(group->mLimits.mName);
    std::uint32_t connections = member.mConnections;
    for (const ConnectionKey key : member.mIdle) {
      const Duration unused = aNow - mConnections.at(key).mLastUsed;
      const bool isOld = unused > kIdleConnection;
      const bool isExtra =
        isKept && connections > HeldShare(*group) && unused > kIdleBorrowed;
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
    Discard(key);
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
      Discard(key);
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
    if (!member.mUnreachableSince && !member.mIdle.empty()) {
      const ConnectionKey key = member.mIdle.back();
      member.mIdle.pop_back();
      Sample(member, key, aNow);
    } else if (member.mOpening == 0 && MayOpen(member, aGroup, aNow)) {
      Open(member, aNow);
    }
  }
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
    if (known == nullptr || known->mUnreachableSince) {
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
        Discard(*query.mConnection);
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
