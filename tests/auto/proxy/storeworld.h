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
 * A store, a promotion service and one group under several coordinators, on simulated
 * time. Calls take a while, and a test can lose answers, delay effects and cut instances
 * off.
 */
class StoreWorld
{
public:
  struct Instance
  {
    std::unique_ptr<PromotionCoordinator> mCoordinator;
    /** Reaches the store and the promotion service. */
    bool mHasStore = true;
    /** Reaches the primary. */
    bool mReachesPrimary = true;
    /** Is partitioned from most zones and knows it. */
    bool mIsCutOff = false;
    bool mIsFrozen = false;
    /** Takes this member for the primary, and finds that it doesn't lead. */
    std::string mOutdatedPrimary;
    std::optional<TimePoint> mDownSince;
  };

  struct AcceptedCall
  {
    PromotionCall mCall;
    TimePoint mAt;
  };

  explicit StoreWorld(std::size_t aInstances, std::uint64_t aSeed = 1)
    : mRandom(aSeed)
  {
    mReceived = { { "r1", 100 }, { "r2", 90 } };
    for (std::size_t index = 0; index < aInstances; index++) {
      const std::string name = "instance-" + std::to_string(index);
      mInstances[name].mCoordinator = std::make_unique<PromotionCoordinator>(
        name, LeadEndedBy::Platform, Store(name), Hooks(name));
    }
    Deliver();
  }

  /** Lets time pass in steps of 10 ms. */
  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += 10ms;
      RunDue();
      for (auto& [name, instance] : mInstances) {
        if (!instance.mIsFrozen) {
          UpdateHealth(instance);
          instance.mCoordinator->OnTimer(mNow);
        }
      }
    }
  }

  /** @return members that were promoted, in order */
  std::vector<std::string> Promoted() const
  {
    std::vector<std::string> members;
    for (const AcceptedCall& accepted : mAccepted) {
      if (members.empty() || members.back() != accepted.mCall.mMember) {
        members.push_back(accepted.mCall.mMember);
      }
    }
    return members;
  }

  /** Makes the store reachable or not, for every instance. */
  void SetStore(bool aIsThere)
  {
    for (auto& [name, instance] : mInstances) {
      instance.mHasStore = aIsThere;
    }
    if (aIsThere) {
      Deliver();
    }
  }

  /** Replaces an instance's process by a new one that knows nothing. */
  void Restart(const std::string& aName)
  {
    // Answers to calls of the old process must find nobody.
    mRetired.push_back(std::move(mInstances[aName].mCoordinator));
    mInstances[aName].mCoordinator = std::make_unique<PromotionCoordinator>(
      aName, LeadEndedBy::Platform, Store(aName), Hooks(aName));
    Deliver();
  }

  double Chance() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }

  TimePoint mNow{ std::chrono::hours(1) };
  std::map<std::string, Instance> mInstances;
  std::map<std::string, StoredRow> mRows;
  std::map<std::string, std::uint64_t> mReceived;
  std::string mPrimary = "p";
  bool mPrimaryLives = true;
  bool mPrimaryDrains = false;
  /** Instances report that all replicas lag and the primary has too much work. */
  bool mIsOverloadedByLag = false;
  Duration mReplicaLag = 10s;
  LogPosition mPrimaryPosition{ 1, 100 };
  /** The platform refuses each promotion. */
  bool mRefusesPromotion = false;
  /** Instances in the zone of the primary. */
  std::set<std::string> mInPrimaryZone;
  /** Members that were demoted, in order. */
  std::vector<std::string> mDemoted;
  /** Share of calls whose answer is lost, and of these, that take effect late. */
  double mLostShare = 0;
  double mLateShare = 0;
  std::uint32_t mSynchronous = 0;
  std::set<std::string> mSilentReplicas;
  std::vector<AcceptedCall> mAccepted;
  std::uint64_t mSeenToken = 0;
  /** Tokens with the instances that used them. */
  std::map<std::uint64_t, std::set<std::string>> mHoldersOfToken;
  std::vector<std::string> mViolations;

private:
  std::vector<std::unique_ptr<PromotionCoordinator>> mRetired;

  void At(Duration aDelay, std::function<void()> aTask)
  {
    mDue.emplace(mNow + aDelay, std::move(aTask));
  }

  void RunDue()
  {
    while (!mDue.empty() && mDue.begin()->first <= mNow) {
      const auto task = std::move(mDue.begin()->second);
      mDue.erase(mDue.begin());
      task();
    }
  }

  void UpdateHealth(Instance& aInstance)
  {
    const bool isDown = !mPrimaryLives || !aInstance.mReachesPrimary;
    if (!isDown) {
      aInstance.mDownSince.reset();
    } else if (!aInstance.mDownSince) {
      aInstance.mDownSince = mNow;
    }
  }

  /** Brings every reachable instance the rows. */
  void Deliver()
  {
    std::vector<StoredRow> rows;
    for (const auto& [key, row] : mRows) {
      rows.push_back(row);
    }
    for (auto& [name, instance] : mInstances) {
      if (instance.mHasStore && !instance.mIsFrozen) {
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
    At(5ms, [this] { Deliver(); });
    return Written{ row.mRevision, 0 };
  }

  PromotionAnswer Promote(const PromotionCall& aCall)
  {
    if (mRefusesPromotion || aCall.mToken < mSeenToken) {
      return PromotionAnswer::Refused;
    }
    mSeenToken = aCall.mToken;
    mHoldersOfToken[aCall.mToken].insert(aCall.mHolder);
    if (mHoldersOfToken[aCall.mToken].size() > 1) {
      mViolations.push_back("two holders used one token");
    }
    mAccepted.push_back({ aCall, mNow });
    At(1s, [this, member = aCall.mMember] {
      mPrimary = member;
      mPrimaryLives = true;
      mPrimaryDrains = false;
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
      if (!mInstances[aName].mHasStore) {
        At(900ms, [aHook] { aHook(StoreFailure::Refused); });
        return;
      }
      if (Chance() < mLostShare) {
        const Duration delay = Chance() < mLateShare ? 2500ms : 6ms;
        At(delay, [this, aWrite] { Apply(aWrite); });
        At(1500ms, [aHook] { aHook(StoreFailure::NoAnswer); });
        return;
      }
      At(6ms, [this, aWrite, aHook] { aHook(Apply(aWrite)); });
    };
    store.mPromote = [this, aName](const PromotionCall& aCall,
                                   std::function<void(PromotionAnswer)> aHook) {
      if (Chance() < mLostShare) {
        const Duration delay = Chance() < mLateShare ? 2500ms : 10ms;
        At(delay, [this, aCall] { Promote(aCall); });
        At(1200ms, [aHook] { aHook(PromotionAnswer::NoAnswer); });
        return;
      }
      At(10ms, [this, aCall, aHook] { aHook(Promote(aCall)); });
    };
    return store;
  }

  PromotionHooks Hooks(const std::string& aName)
  {
    PromotionHooks hooks;
    hooks.mGroups = [] { return std::vector<std::string>{ "group" }; };
    hooks.mPrimary = [this, aName](std::string_view, TimePoint) {
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
      health.mIsDraining = mPrimaryDrains;
      health.mDownSince = instance.mDownSince;
      health.mIsOverloadedByLag = mIsOverloadedByLag && !instance.mDownSince;
      health.mPosition = mPrimaryPosition;
      health.mLastReply = instance.mDownSince ? *instance.mDownSince : mNow;
      return health;
    };
    hooks.mReplicas = [this](std::string_view) {
      std::vector<MemberEntry> replicas;
      for (const auto& [id, received] : mReceived) {
        if (id != mPrimary) {
          MemberEntry entry;
          entry.mId = id;
          replicas.push_back(entry);
        }
      }
      return replicas;
    };
    hooks.mIsStandby = [this](std::string_view, const std::string& aInstance) {
      return mInstances.contains(aInstance) && !mInPrimaryZone.contains(aInstance);
    };
    hooks.mIsCutOff = [this, aName] { return mInstances[aName].mIsCutOff; };
    hooks.mNewestTerm = [](std::string_view) { return 1; };
    hooks.mSynchronousReplicas = [this](std::string_view) { return mSynchronous; };
    hooks.mQueryStatus = [this](std::string_view aMember,
                                const MemberCommand& aCommand,
                                Duration aTimeout,
                                TimePoint,
                                StatusHook aHook) {
      const std::string member(aMember);
      if (aCommand.mKind == CommandKind::Pause) {
        mPaused.insert(member);
        mWasPaused = true;
      } else if (aCommand.mKind == CommandKind::Resume) {
        mPaused.erase(member);
      } else if (aCommand.mKind == CommandKind::Demote) {
        mDemoted.push_back(member);
      }
      if (mSilentReplicas.contains(member)) {
        At(aTimeout, [aHook] { aHook(std::nullopt); });
        return;
      }
      At(5ms, [this, member, aHook] {
        MemberReply reply;
        reply.mStatus = MemberStatus{
          MemberRole::Replica, 1, LogPosition{ 1, mReceived[member] }, 0, mReplicaLag
        };
        aHook(reply);
      });
    };
    hooks.mExpect = [](std::string_view, std::string_view, TimePoint) {};
    hooks.mNow = [this] { return mNow; };
    hooks.mLog = [](LogLevel, std::string_view, std::initializer_list<LogField>) {};
    return hooks;
  }

  std::multimap<TimePoint, std::function<void()>> mDue;
  std::uint64_t mRevision = 0;
  std::mt19937_64 mRandom;

public:
  std::set<std::string> mPaused;
  bool mWasPaused = false;
};

} // namespace papayaspindle::proxy
