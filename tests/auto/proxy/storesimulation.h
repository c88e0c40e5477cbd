#pragma once

#include "proxy/leadership/promotioncoordinator.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/**
 * Simulates a store, a promotion service and one group under several coordinators, on
 * simulated time. Calls take some time, and a test can lose answers, delay effects and
 * cut off instances.
 */
class StoreSimulation
{
public:
  struct Instance
  {
    std::unique_ptr<PromotionCoordinator> mCoordinator;
    /** The instance can reach the store and the promotion service. */
    bool mReachesStore = true;
    /** The instance can reach the primary. */
    bool mReachesPrimary = true;
    /** The instance is partitioned from most zones and has detected it. */
    bool mIsCutOff = false;
    bool mIsFrozen = false;
    /** Former primary that the instance still considers the primary, and that refuses to
     * lead; empty for none. */
    std::string mOutdatedPrimary;
    std::optional<TimePoint> mDownSince;
  };

  struct AcceptedCall
  {
    PromotionCall mCall;
    TimePoint mAt;
  };

  explicit StoreSimulation(std::size_t aInstances, std::uint64_t aSeed = 1)
    : mRandom(aSeed)
  {
    mReceivedPositions = { { "r1", 100 }, { "r2", 90 } };
    for (std::size_t index = 0; index < aInstances; index++) {
      const std::string name = "instance-" + std::to_string(index);
      mInstances[name].mCoordinator = std::make_unique<PromotionCoordinator>(
        name, LeadershipEnforcer::Platform, Store(name), Hooks(name));
    }
    DeliverRows();
  }

  /** Advances the simulated time in steps of 10 ms. */
  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += 10ms;
      RunDueTasks();
      for (auto& [name, instance] : mInstances) {
        if (!instance.mIsFrozen) {
          UpdateHealth(instance);
          instance.mCoordinator->OnTimer(mNow);
        }
      }
    }
  }

  /** @return promoted members in order, without immediate repetitions */
  std::vector<std::string> PromotedMembers() const
  {
    std::vector<std::string> members;
    for (const AcceptedCall& accepted : mAcceptedCalls) {
      if (members.empty() || members.back() != accepted.mCall.mMember) {
        members.push_back(accepted.mCall.mMember);
      }
    }
    return members;
  }

  /** Makes the store reachable or not, for every instance. */
  void SetStoreAvailable(bool aIsAvailable)
  {
    for (auto& [name, instance] : mInstances) {
      instance.mReachesStore = aIsAvailable;
    }
    if (aIsAvailable) {
      DeliverRows();
    }
  }

  /** Restarts an instance with an empty state. */
  void Restart(const std::string& aName)
  {
    // The old coordinator stays alive, because answers to its calls are still delivered
    // to it.
    mEndedProcesses.push_back(std::move(mInstances[aName].mCoordinator));
    mInstances[aName].mCoordinator = std::make_unique<PromotionCoordinator>(
      aName, LeadershipEnforcer::Platform, Store(aName), Hooks(aName));
    DeliverRows();
  }

  /** A state of the store. */
  struct StoreCopy
  {
    std::map<std::string, StoredRow> mRows;
    std::uint64_t mRevision = 0;
    TimePoint mAt;
  };

  /** @return the store's state at a time, or the oldest one */
  StoreCopy CopyAt(TimePoint aAt) const
  {
    StoreCopy copy;
    for (const StoreCopy& earlier : mEarlierStates) {
      if (earlier.mAt <= aAt) {
        copy = earlier;
      }
    }
    return copy;
  }

  /** The store returns to an older state and gives out its revisions again. Writes on
   * their way are executed in that state. */
  void ReturnTo(const StoreCopy& aCopy)
  {
    mRows = aCopy.mRows;
    mRevision = aCopy.mRevision;
    mIncarnation++;
    RecordState();
    DeliverRows();
  }

  /** Replaces the value of a stored row, whatever its revision. */
  void Replace(const std::string& aKey, const std::string& aValue)
  {
    StoredRow& row = mRows.at(aKey);
    row.mValue = aValue;
    row.mRevision = ++mRevision;
    RecordState();
    DeliverRows();
  }

  double Chance() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }

  TimePoint mNow{ std::chrono::hours(1) };
  std::map<std::string, Instance> mInstances;
  std::map<std::string, StoredRow> mRows;
  std::map<std::string, std::uint64_t> mReceivedPositions;
  std::string mPrimary = "p";
  bool mIsPrimaryAlive = true;
  /** The primary was demoted, and no member has replaced it yet. */
  bool mHasPrimaryStepped = false;
  bool mIsPrimaryDraining = false;
  /** Instances observe that all replicas lag and that the primary is overloaded. */
  bool mIsOverloadedByLag = false;
  Duration mReplicaLag = 10s;
  LogPosition mPrimaryPosition{ 1, 100 };
  /** The platform refuses each promotion. */
  bool mRefusesPromotion = false;
  /** Instances in the primary's zone. */
  std::set<std::string> mInstancesInPrimaryZone;
  /** Members that were demoted, in order. */
  std::vector<std::string> mDemotedMembers;
  /** Members that had been demoted when the platform accepted the last call. */
  std::vector<std::string> mDemotedBeforeCall;
  /** Share of calls whose answer is lost, and share of these that take effect late. */
  double mLostAnswerShare = 0;
  double mLateEffectShare = 0;
  std::uint32_t mSynchronousReplicaCount = 0;
  std::set<std::string> mUnresponsiveReplicas;
  /** Replicas that run but have left the directory. */
  std::set<std::string> mUnlistedReplicas;
  std::vector<AcceptedCall> mAcceptedCalls;
  std::uint64_t mNewestToken = 0;
  /** Instances that have used each token. */
  std::map<std::uint64_t, std::set<std::string>> mTokenHolders;
  std::vector<std::string> mViolations;
  /** Incarnation of the store; 0 if it announces none. */
  std::uint64_t mIncarnation = 0;

private:
  std::vector<std::unique_ptr<PromotionCoordinator>> mEndedProcesses;

  void Schedule(Duration aDelay, std::function<void()> aTask)
  {
    mScheduledTasks.emplace(mNow + aDelay, std::move(aTask));
  }

  void RunDueTasks()
  {
    while (!mScheduledTasks.empty() && mScheduledTasks.begin()->first <= mNow) {
      const auto task = std::move(mScheduledTasks.begin()->second);
      mScheduledTasks.erase(mScheduledTasks.begin());
      task();
    }
  }

  void UpdateHealth(Instance& aInstance)
  {
    const bool isDown = !mIsPrimaryAlive || !aInstance.mReachesPrimary;
    if (!isDown) {
      aInstance.mDownSince.reset();
    } else if (!aInstance.mDownSince) {
      aInstance.mDownSince = mNow;
    }
  }

  /** Delivers the rows to every instance that can reach the store and isn't frozen. */
  void DeliverRows()
  {
    std::vector<StoredRow> rows;
    for (const auto& [key, row] : mRows) {
      rows.push_back(row);
      rows.back().mIncarnation = mIncarnation;
    }
    for (auto& [name, instance] : mInstances) {
      if (instance.mReachesStore && !instance.mIsFrozen) {
        instance.mCoordinator->OnIncarnation(mIncarnation, mNow);
        instance.mCoordinator->OnRows(rows, mNow);
      }
    }
  }

  WriteResult Apply(const ConditionalWrite& aWrite)
  {
    StoredRow& row = mRows[aWrite.mRow.mKey];
    if (row.mRevision != aWrite.mRow.mRevision) {
      return RowConflict{};
    }
    row = aWrite.mRow;
    row.mRevision = ++mRevision;
    RecordState();
    Schedule(5ms, [this] { DeliverRows(); });
    return Written{ row.mRevision, 0, mIncarnation };
  }

  void RecordState() { mEarlierStates.push_back({ mRows, mRevision, mNow }); }

  PromotionAnswer Promote(const PromotionCall& aCall)
  {
    if (mRefusesPromotion || aCall.mToken < mNewestToken) {
      return PromotionAnswer::Refused;
    }
    mNewestToken = aCall.mToken;
    mTokenHolders[aCall.mToken].insert(aCall.mHolder);
    if (mTokenHolders[aCall.mToken].size() > 1) {
      mViolations.push_back("two holders used one token");
    }
    mAcceptedCalls.push_back({ aCall, mNow });
    mDemotedBeforeCall = mDemotedMembers;
    Schedule(1s, [this, member = aCall.mMember] {
      mPrimary = member;
      mHasPrimaryStepped = false;
      mIsPrimaryAlive = true;
      mIsPrimaryDraining = false;
      mIsOverloadedByLag = false;
      for (auto& [name, instance] : mInstances) {
        instance.mReachesPrimary = true;
      }
    });
    return PromotionAnswer::Accepted;
  }

  SharedStore Store(const std::string& aName)
  {
    SharedStore store;
    store.mWrite = [this, aName](const ConditionalWrite& aWrite,
                                 std::function<void(const WriteResult&)> aHook) {
      if (!mInstances[aName].mReachesStore) {
        Schedule(900ms, [aHook] { aHook(StoreFailure::Refused); });
        return;
      }
      if (Chance() < mLostAnswerShare) {
        const Duration delay = Chance() < mLateEffectShare ? 2500ms : 6ms;
        Schedule(delay, [this, aWrite] { Apply(aWrite); });
        Schedule(1500ms, [aHook] { aHook(StoreFailure::NoAnswer); });
        return;
      }
      Schedule(6ms, [this, aName, aWrite, aHook] {
        const WriteResult result = Apply(aWrite);
        if (aWrite.mRow.mIncarnation == mIncarnation) {
          aHook(result);
          return;
        }
        // The answer tells the instance of the return.
        mInstances[aName].mCoordinator->OnIncarnation(mIncarnation, mNow);
        aHook(StoreFailure::NoAnswer);
        Schedule(5ms, [this] { DeliverRows(); });
      });
    };
    store.mPromote = [this, aName](const PromotionCall& aCall,
                                   std::function<void(PromotionAnswer)> aHook) {
      if (Chance() < mLostAnswerShare) {
        const Duration delay = Chance() < mLateEffectShare ? 2500ms : 10ms;
        Schedule(delay, [this, aCall] { Promote(aCall); });
        Schedule(1200ms, [aHook] { aHook(PromotionAnswer::NoAnswer); });
        return;
      }
      Schedule(10ms, [this, aCall, aHook] { aHook(Promote(aCall)); });
    };
    return store;
  }

  std::vector<MemberEntry> ListedReplicas() const
  {
    std::vector<MemberEntry> replicas;
    for (const auto& [id, received] : mReceivedPositions) {
      if (id != mPrimary && !mUnlistedReplicas.contains(id)) {
        replicas.push_back({ .mId = id });
      }
    }
    return replicas;
  }

  PromotionHooks Hooks(const std::string& aName)
  {
    PromotionHooks hooks;
    hooks.mGroups = [] { return std::vector<std::string>{ "group" }; };
    hooks.mPrimaryHealth = [this, aName](std::string_view, TimePoint) {
      Instance& instance = mInstances[aName];
      PrimaryHealth health;
      health.mMember = mPrimary;
      if (!instance.mOutdatedPrimary.empty()) {
        health.mMember = instance.mOutdatedPrimary;
        health.mIsListed = true;
        health.mDownSince = mNow - 3s;
        return health;
      }
      health.mIsListed = true;
      health.mIsDraining = mIsPrimaryDraining;
      health.mDownSince = instance.mDownSince;
      health.mIsOverloadedByLag = mIsOverloadedByLag && !instance.mDownSince;
      health.mPosition = mPrimaryPosition;
      health.mLastReply = instance.mDownSince ? *instance.mDownSince : mNow;
      return health;
    };
    hooks.mReplicas = [this](std::string_view) { return ListedReplicas(); };
    hooks.mMembers = [this](std::string_view) {
      std::vector<MemberEntry> members = ListedReplicas();
      members.push_back({ .mId = mPrimary });
      return members;
    };
    hooks.mIsStandby = [this](std::string_view, const std::string& aInstance) {
      return mInstances.contains(aInstance) &&
             !mInstancesInPrimaryZone.contains(aInstance);
    };
    hooks.mIsCutOff = [this, aName] { return mInstances[aName].mIsCutOff; };
    hooks.mNewestTerm = [](std::string_view) { return 1; };
    hooks.mSynchronousReplicas = [this](std::string_view) {
      return mSynchronousReplicaCount;
    };
    hooks.mSendCommand = [this](std::string_view aMember,
                                const MemberCommand& aCommand,
                                Duration aTimeout,
                                TimePoint,
                                StatusHook aHook) {
      const std::string member(aMember);
      if (aCommand.mKind == CommandKind::Pause) {
        mPausedReplicas.insert(member);
        mHasPausedReplicas = true;
      } else if (aCommand.mKind == CommandKind::Resume) {
        mPausedReplicas.erase(member);
      } else if (aCommand.mKind == CommandKind::Demote &&
                 (member != mPrimary || mIsPrimaryAlive)) {
        mDemotedMembers.push_back(member);
        mHasPrimaryStepped = mHasPrimaryStepped || member == mPrimary;
      }
      const bool isDown = member == mPrimary && !mIsPrimaryAlive;
      if (isDown || mUnresponsiveReplicas.contains(member)) {
        Schedule(aTimeout, [aHook] { aHook(std::nullopt); });
        return;
      }
      Schedule(5ms, [this, member, aHook] {
        MemberReply reply;
        const bool isPrimary = member == mPrimary && !mHasPrimaryStepped;
        const auto received = mReceivedPositions.find(member);
        reply.mStatus =
          MemberStatus{ isPrimary ? MemberRole::Primary : MemberRole::Replica,
                        1,
                        received == mReceivedPositions.end()
                          ? mPrimaryPosition
                          : LogPosition{ 1, received->second },
                        mPausedReplicas.contains(member) ? 2U : 0U,
                        mReplicaLag };
        aHook(reply);
      });
    };
    hooks.mOnPromotionAccepted = [](std::string_view, std::string_view, TimePoint) {};
    hooks.mNow = [this] { return mNow; };
    hooks.mLog = [](LogLevel, std::string_view, std::initializer_list<LogField>) {};
    return hooks;
  }

  std::multimap<TimePoint, std::function<void()>> mScheduledTasks;
  std::uint64_t mRevision = 0;
  std::vector<StoreCopy> mEarlierStates;
  std::mt19937_64 mRandom;

public:
  std::set<std::string> mPausedReplicas;
  bool mHasPausedReplicas = false;
};

} // namespace papayaspindle::proxy
