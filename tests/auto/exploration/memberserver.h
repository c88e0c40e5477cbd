#pragma once

#include "exploration/commandexecution.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayaspindle::exploration {

/** Connections between instances and members, with slots, limits, lost and late answers,
 * and resets. */
class MemberServer
{
public:
  using Groups = std::map<std::string, std::unique_ptr<SimulatedGroup>>;

  MemberServer(ExplorationContext& aContext,
               StatementLedger& aLedger,
               const Groups& aGroups,
               std::uint32_t aMaxConnections)
    : mContext(aContext)
    , mExecution(aContext, aLedger)
    , mGroups(aGroups)
    , mMaxConnections(aMaxConnections)
  {
  }

  void Open(SimulatedInstance& aInstance,
            proxy::ConnectionKey aKey,
            const proxy::MemberEntry& aMember,
            std::string_view aCustomer)
  {
    const ConnectionId id{ aInstance.Name(), aInstance.Process(), aKey };
    MemberConnection& connection = mConnections[id];
    connection.mInstance = aInstance.shared_from_this();
    connection.mMember = aMember.mId;
    connection.mGroup = aMember.mGroup;
    connection.mCustomer = aCustomer;
    const auto isPassable = [this, instance = aInstance.Name(), member = aMember.mId] {
      return mContext.mNetwork.CanReach(instance, member);
    };
    connection.mToMember = std::make_shared<OrderedChannel>(mContext.mClock, isPassable);
    connection.mToInstance =
      std::make_shared<OrderedChannel>(mContext.mClock, isPassable);
    connection.mToMember->Send(Latency(), [this, id] { OnOpening(id); });
  }

  void Send(SimulatedInstance& aInstance,
            proxy::ConnectionKey aKey,
            std::span<const proxy::MemberCommand> aCommands)
  {
    const ConnectionId id{ aInstance.Name(), aInstance.Process(), aKey };
    const auto found = mConnections.find(id);
    if (found == mConnections.end()) {
      return;
    }
    const std::vector<proxy::MemberCommand> commands(aCommands.begin(), aCommands.end());
    found->second.mToMember->Send(Latency(), [this, id, commands] {
      const auto receiver = mConnections.find(id);
      if (receiver != mConnections.end()) {
        auto& queue = receiver->second.mCommands;
        queue.insert(queue.end(), commands.begin(), commands.end());
        StartNext(id);
      }
    });
  }

  void Close(SimulatedInstance& aInstance, proxy::ConnectionKey aKey)
  {
    const ConnectionId id{ aInstance.Name(), aInstance.Process(), aKey };
    const auto found = mConnections.find(id);
    if (found != mConnections.end()) {
      found->second.mIsClosedByInstance = true;
      found->second.mToMember->Send(Latency(), [this, id] { Remove(id); });
    }
  }

  /** Ends all connections of a process; members notice a loss of power after 3 s. */
  void OnInstanceKilled(const SimulatedInstance& aInstance, bool aIsPowerLoss)
  {
    for (auto& [id, connection] : mConnections) {
      if (connection.mInstance.get() == &aInstance) {
        connection.mIsClosedByInstance = true;
        mContext.mClock.After(aIsPowerLoss ? kAbandonedAfter : Latency(),
                              [this, key = id] { Remove(key); });
      }
    }
  }

  /** Ends all connections to a member.
   *
   * @param aIsPowerLoss whether the instances receive no notice */
  void OnMemberKilled(const SimulatedMember& aMember, bool aIsPowerLoss)
  {
    for (const ConnectionId& id : ConnectionsOf(aMember.mId)) {
      if (aIsPowerLoss) {
        mConnections.erase(id);
      } else {
        Reset(id);
      }
    }
    mUsedSlots[aMember.mId] = 0;
    mWaiting[aMember.mId].clear();
    mIncarnation[aMember.mId]++;
  }

  /** Resets each connection to a member with a given chance. */
  void ResetSome(const std::string& aMember, std::uint64_t aPerMille)
  {
    for (const ConnectionId& id : ConnectionsOf(aMember)) {
      if (mContext.mRandom.Chance(aPerMille)) {
        Reset(id);
      }
    }
  }

  /** Drops connections over which nothing has passed for 3 s. */
  void DropAbandoned()
  {
    std::vector<ConnectionId> abandoned;
    for (auto& [id, connection] : mConnections) {
      if (mContext.mNetwork.CanReach(id.mInstance, connection.mMember)) {
        connection.mCutSince.reset();
      } else if (!connection.mCutSince) {
        connection.mCutSince = mContext.mClock.Now();
      } else if (mContext.mClock.Now() - *connection.mCutSince > kAbandonedAfter) {
        abandoned.push_back(id);
      }
    }
    for (const ConnectionId& id : abandoned) {
      Reset(id);
    }
  }

  /** @return connections that the member counts */
  [[nodiscard]] std::uint32_t CountOf(const std::string& aMember) const
  {
    return static_cast<std::uint32_t>(
      std::count_if(mConnections.begin(), mConnections.end(), [&](const auto& aEntry) {
        return aEntry.second.mMember == aMember && aEntry.second.mIsAccepted;
      }));
  }
  /** @return connections that the member counts and no process uses any more */
  [[nodiscard]] std::size_t AbandonedCount() const
  {
    return static_cast<std::size_t>(
      std::count_if(mConnections.begin(), mConnections.end(), [](const auto& aEntry) {
        return aEntry.second.mIsClosedByInstance;
      }));
  }
  [[nodiscard]] std::size_t OpenTransactions() const
  {
    return static_cast<std::size_t>(
      std::count_if(mConnections.begin(), mConnections.end(), [](const auto& aEntry) {
        return aEntry.second.mState != proxy::TransactionState::Idle;
      }));
  }

private:
  static constexpr Duration kAbandonedAfter = 3s;
  static constexpr Duration kHandshake = 12ms;
  static constexpr std::size_t kMaxWaiting = 12;

  Duration Latency() { return mContext.mRandom.Between(300us, 4ms); }

  SimulatedGroup& GroupOf(const MemberConnection& aConnection)
  {
    return *mGroups.at(aConnection.mGroup);
  }

  std::vector<ConnectionId> ConnectionsOf(const std::string& aMember) const
  {
    std::vector<ConnectionId> ids;
    for (const auto& [id, connection] : mConnections) {
      if (connection.mMember == aMember) {
        ids.push_back(id);
      }
    }
    return ids;
  }

  void OnOpening(const ConnectionId& aId)
  {
    const auto found = mConnections.find(aId);
    if (found == mConnections.end()) {
      return;
    }
    MemberConnection& connection = found->second;
    const auto process = connection.mInstance;
    if (!GroupOf(connection).At(connection.mMember).mIsAlive) {
      // A host without power answers nothing.
      if (mContext.mRandom.Chance(500)) {
        Reset(aId);
      }
      return;
    }
    if (CountOf(connection.mMember) >= mMaxConnections) {
      connection.mToInstance->Send(Latency(), [this, process, aId] {
        mConnections.erase(aId);
        process->Post([this, process, key = aId.mKey] {
          process->Core().OnConnectionRefused(
            key, proxy::AnswerCode::TooMany, mContext.mClock.Now());
        });
      });
      return;
    }
    connection.mIsAccepted = true;
    TakeSlotForHandshake(connection.mMember);
    connection.mToInstance->Send(Latency(), [process, key = aId.mKey] {
      process->Post([process, key] { process->Core().OnConnectionAccepted(key); });
    });
    const LogPosition position = GroupOf(connection).At(connection.mMember).Applied();
    connection.mToInstance->Send(
      kHandshake + Latency(), [this, process, position, key = aId.mKey] {
        process->Post([this, process, position, key] {
          process->Core().OnConnectionReady(key, position, mContext.mClock.Now());
        });
      });
  }

  void TakeSlotForHandshake(const std::string& aMember)
  {
    mUsedSlots[aMember]++;
    mContext.mClock.After(kHandshake,
                          [this, aMember, incarnation = mIncarnation[aMember]] {
                            ReleaseSlot(aMember, incarnation);
                          });
  }

  void Reset(const ConnectionId& aId)
  {
    const auto found = mConnections.find(aId);
    if (found == mConnections.end()) {
      return;
    }
    const auto process = found->second.mInstance;
    mConnections.erase(found);
    mContext.mClock.After(Latency(), [this, process, key = aId.mKey] {
      process->Post([this, process, key] {
        process->Core().OnConnectionFailed(key, mContext.mClock.Now());
      });
    });
  }

  void Remove(const ConnectionId& aId) { mConnections.erase(aId); }

  static bool NeedsSlot(proxy::CommandKind aKind)
  {
    return aKind == proxy::CommandKind::Read || aKind == proxy::CommandKind::Write ||
           aKind == proxy::CommandKind::Execute || aKind == proxy::CommandKind::Commit;
  }

  void StartNext(const ConnectionId& aId)
  {
    const auto found = mConnections.find(aId);
    if (found == mConnections.end() || found->second.mIsExecuting ||
        found->second.mCommands.empty()) {
      return;
    }
    MemberConnection& connection = found->second;
    connection.mIsExecuting = true;
    if (!NeedsSlot(connection.mCommands.front().mKind)) {
      mContext.mClock.After(mContext.mRandom.Between(50us, 500us),
                            [this, aId] { Execute(aId); });
      return;
    }
    const SimulatedMember& member = GroupOf(connection).At(connection.mMember);
    std::deque<ConnectionId>& waiting = mWaiting[member.mId];
    if (mUsedSlots[member.mId] < member.mSlots) {
      StartInSlot(aId, member);
    } else if (waiting.size() < kMaxWaiting) {
      waiting.push_back(aId);
    } else {
      connection.mCommands.pop_front();
      Reply(aId, CommandExecution::ErrorReply(proxy::AnswerCode::Busy, connection));
    }
  }

  void StartInSlot(const ConnectionId& aId, const SimulatedMember& aMember)
  {
    mUsedSlots[aMember.mId]++;
    mContext.mClock.After(
      mContext.mRandom.Between(1ms, 12ms) * aMember.mSlowness,
      [this, aId, id = aMember.mId, incarnation = mIncarnation[aMember.mId]] {
        if (incarnation == mIncarnation[id]) {
          Execute(aId);
        }
        ReleaseSlot(id, incarnation);
      });
  }

  void ReleaseSlot(const std::string& aMember, std::uint64_t aIncarnation)
  {
    if (aIncarnation != mIncarnation[aMember]) {
      return;
    }
    mUsedSlots[aMember]--;
    std::deque<ConnectionId>& waiting = mWaiting[aMember];
    while (!waiting.empty()) {
      const ConnectionId next = waiting.front();
      waiting.pop_front();
      const auto found = mConnections.find(next);
      if (found != mConnections.end()) {
        StartInSlot(next, GroupOf(found->second).At(aMember));
        return;
      }
    }
  }

  void Execute(const ConnectionId& aId)
  {
    const auto found = mConnections.find(aId);
    if (found == mConnections.end()) {
      return;
    }
    MemberConnection& connection = found->second;
    const proxy::MemberCommand command = connection.mCommands.front();
    connection.mCommands.pop_front();
    mExecution.Execute(
      GroupOf(connection),
      connection,
      command,
      [this, aId](const proxy::MemberReply& aReply) { Reply(aId, aReply); });
  }

  /** Sends the reply to a command, and starts the connection's next one. */
  void Reply(const ConnectionId& aId, const proxy::MemberReply& aReply)
  {
    const auto found = mConnections.find(aId);
    if (found == mConnections.end()) {
      return;
    }
    MemberConnection& connection = found->second;
    connection.mIsExecuting = false;
    if (mContext.mRandom.Chance(mContext.mLostAnswers)) {
      mContext.mJournal.Note(GroupOf(connection).Name(),
                             fmt::format("{} loses an answer to {}, of state {}{}",
                                         connection.mMember,
                                         aId.mInstance,
                                         static_cast<int>(aReply.mState),
                                         aReply.mError ? " (error)" : ""));
      if (mContext.mRandom.Chance(500)) {
        Reset(aId);
        return;
      }
    } else {
      const Duration delay = mContext.mRandom.Chance(mContext.mLateAnswers)
                               ? mContext.mRandom.Between(50ms, 900ms)
                               : Latency();
      connection.mToInstance->Send(
        delay, [this, process = connection.mInstance, key = aId.mKey, aReply] {
          process->Post([this, process, key, aReply] {
            process->Core().OnReply(key, aReply, mContext.mClock.Now());
          });
        });
    }
    StartNext(aId);
  }

  ExplorationContext& mContext;
  CommandExecution mExecution;
  const Groups& mGroups;
  std::uint32_t mMaxConnections;
  std::map<ConnectionId, MemberConnection> mConnections;
  std::map<std::string, std::uint32_t> mUsedSlots;
  std::map<std::string, std::deque<ConnectionId>> mWaiting;
  /** Number of times that each member was killed. */
  std::map<std::string, std::uint64_t> mIncarnation;
};

} // namespace papayaspindle::exploration
