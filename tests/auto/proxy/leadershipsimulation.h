#pragma once

#include "proxy/leadership/conditionalwriter.h"
#include "proxy/leadership/leaderleases.h"
#include "proxy/leadership/leasekeeper.h"
#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/promotioncoordinator.h"
#include "proxy/leadership/storerecovery.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/** Mechanisms that a test can disable to show that violations are detected. */
struct LeadershipFaults
{
  /** Instances use the leader that their directory lists without holding a lease on it.
   */
  bool mIgnoresLeases = false;
  /** Followers reply to the instance that pauses them that they are paused, and continue
   * to receive commits. */
  bool mIgnoresPause = false;
  /** An old leader ignores the command to step down. */
  bool mIgnoresDemote = false;
  /** Followers in the leader's zone renew leases, although claims don't wait for them. */
  bool mRenewsInLeaderZone = false;
  /** Instances use the rows of a store that has returned to an older state at once. */
  bool mSkipsRecovery = false;
};

/** Properties of the simulated platform and group. */
struct LeadershipPlatform
{
  LeadershipEnforcer mEnforcer = LeadershipEnforcer::Instances;
  /** Number of replicas that receive a commit before it is acknowledged. */
  std::uint32_t mSynchronousReplicas = 0;
  /** Time from a call to the effect of the promotion. */
  Duration mPromotionDelay = 300ms;
  /** First incarnation of the store; 0 if it announces none. */
  std::uint64_t mIncarnation = 0;
};

/**
 * Simulates one group of three members, and instances that write to the group, read from
 * it and promote its members, on simulated time.
 *
 * A test can cut links between instances, members and the store, freeze and restart
 * instances, stop, restart and add members, and lose or delay calls. A member that stops
 * or can't reach the store leaves the directory of groups with synchronous replicas. The
 * simulation checks each answer that a client receives.
 */
class LeadershipSimulation
{
public:
  struct Member
  {
    std::string mZone;
    bool mIsAlive = true;
    bool mIsPrimary = false;
    std::uint64_t mTerm = 1;
    std::uint64_t mHeldTerm = 0;
    /** Terms of pauses that the member has ignored, by the instance that it replies to as
     * if it were paused. */
    std::map<std::string, std::uint64_t> mIgnoredPauses;
    /** Numbers of the commits, in the order of the log. */
    std::vector<std::uint64_t> mLog;
    bool mIsDraining = false;
    /** The member can reach the store, and so keeps its directory entry. */
    bool mReachesStore = true;
    TimePoint mLastHeartbeat;
    /** Number of the member's process, which its directory entry tells as a start time.
     */
    std::uint64_t mProcessNumber = 0;
    bool mWasAlive = true;
    /** The member becomes a replica after a crash, unless it is still the newest leader.
     */
    bool mReturnsAsFollower = false;
    /** Since when the member has been connected to the newest leader. */
    std::optional<TimePoint> mConnectedToLeaderSince;
  };

  struct Instance
  {
    std::unique_ptr<LeaderLeases> mLeases;
    std::unique_ptr<LeaseKeeper> mKeeper;
    std::unique_ptr<ConditionalWriter> mWriter;
    std::unique_ptr<StoreRecovery> mRecovery;
    /** Newest incarnation of the store that the instance knows. */
    std::uint64_t mIncarnation = 0;
    /** When the instance's feed learns of the store's last return. */
    TimePoint mLearnsReturnAt;
    std::unique_ptr<PromotionCoordinator> mCoordinator;
    bool mReachesStore = true;
    bool mIsFrozen = false;
    /** Members that the instance can't reach. */
    std::set<std::string> mUnreachableMembers;
    std::map<std::string, TimePoint> mUnreachableSince;
    std::optional<TimePoint> mRefusedSince;
    /** Member that the instance's directory lists as the primary. */
    std::string mListedPrimary = "p";
    /** Members that the instance's directory lists. */
    std::set<std::string> mListedMembers;
    /** Processes of the members that the directory has listed last. */
    std::map<std::string, std::uint64_t> mListedProcesses;
    TimePoint mRowsReadAt;
    /** Answers that arrived while the instance was frozen. */
    std::vector<std::function<void()>> mDelayedTasks;
    /** Number of the process; answers to an earlier process are dropped. */
    std::uint64_t mProcessNumber = 0;
  };

  LeadershipSimulation(std::size_t aInstances,
                       std::uint64_t aSeed,
                       LeadershipFaults aFaults = {},
                       LeadershipPlatform aPlatform = {})
    : mFaults(aFaults)
    , mPlatform(aPlatform)
    , mRandom(aSeed)
    , mIncarnation(aPlatform.mIncarnation)
  {
    RecordState();
    // Half of the groups have two members in one zone.
    mMembers["p"].mZone = "zone-a";
    mMembers["r1"].mZone = "zone-b";
    mMembers["r2"].mZone = aSeed % 2 == 0 ? "zone-a" : "zone-c";
    mMembers["p"].mIsPrimary = true;
    for (auto& [id, member] : mMembers) {
      member.mLastHeartbeat = mNow;
    }
    for (std::size_t index = 0; index < aInstances; index++) {
      Start("instance-" + std::to_string(index));
    }
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      while (!mScheduledTasks.empty() && mScheduledTasks.begin()->first <= mNow) {
        const auto task = std::move(mScheduledTasks.begin()->second);
        mScheduledTasks.erase(mScheduledTasks.begin());
        task();
      }
      UpdateMembers();
      for (auto& [name, instance] : mInstances) {
        if (instance.mIsFrozen) {
          continue;
        }
        for (const auto& task : std::exchange(instance.mDelayedTasks, {})) {
          task();
        }
        UpdateHealth(instance);
        instance.mKeeper->OnTimer(mNow);
        instance.mWriter->OnTimer(mNow);
        instance.mRecovery->OnTimer(mNow);
        instance.mCoordinator->OnTimer(mNow);
        if (mHasClients) {
          SendClientRequest(name, instance);
        }
      }
    }
  }

  /** Restarts an instance with an empty state. */
  void Restart(const std::string& aName)
  {
    mEndedProcesses.push_back(std::move(mInstances[aName]));
    const std::uint64_t process = mEndedProcesses.back().mProcessNumber;
    mInstances.erase(aName);
    Start(aName, process + 1);
  }

  /** @return holder of the group's claim, or an empty string if there is none */
  std::string ClaimHolder() const
  {
    const auto found = mRows.find(LeadershipKey("group"));
    const auto row =
      found == mRows.end() ? std::nullopt : DecodeLeadership(found->second.mValue);
    return row && row->mState == LeadershipState::Claimed ? row->mHolder : std::string();
  }

  /** The store returns to the state that it had some time ago, and gives out its
   * revisions again. Writes on their way are executed in that state. The feeds of the
   * instances learn of it within their wait. */
  void ReturnStore(Duration aAge)
  {
    const StoreState state = *std::find_if(
      mStoreStates.rbegin(), mStoreStates.rend(), [&](const StoreState& aState) {
        return aState.mAt <= mNow - aAge || &aState == &mStoreStates.front();
      });
    mRows = state.mRows;
    mRevision = state.mRevision;
    mIncarnation++;
    RecordState();
    for (auto& [name, instance] : mInstances) {
      instance.mLearnsReturnAt =
        mNow + 1ms * std::uniform_int_distribution<int>(0, 2000)(mRandom);
    }
  }

  /** Makes a crashed member return as a follower if it was replaced meanwhile. */
  void ReturnAsFollower(const std::string& aMember)
  {
    mMembers[aMember].mReturnsAsFollower = true;
  }

  /** Runs a task after a delay, also between the steps of a test. */
  void After(Duration aDelay, std::function<void()> aTask)
  {
    Schedule(aDelay, std::move(aTask));
  }

  /** Starts another replica, which writes its directory entry and receives the log of the
   * leader. */
  void StartMember(const std::string& aId, const std::string& aZone)
  {
    Member& member = mMembers[aId];
    member.mZone = aZone;
    member.mLastHeartbeat = mNow;
  }

  /** Restarts the process of a member that runs, which ends its pause. The directory
   * shows the restart only if the member reaches the store. */
  void RestartMember(const std::string& aId)
  {
    Member& member = mMembers[aId];
    if (!member.mIsAlive) {
      return;
    }
    member.mProcessNumber++;
    member.mHeldTerm = 0;
    member.mConnectedToLeaderSince.reset();
    member.mIsPrimary = member.mIsPrimary && aId == mLeader;
    std::erase_if(mUnreceivedCommits, [&](const UnreceivedCommit& aPending) {
      return aPending.mLeader == aId;
    });
  }

  double Chance() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }

  /** @return whether a claim has left some member paused */
  bool IsAnyPaused() const
  {
    return std::any_of(mMembers.begin(), mMembers.end(), [](const auto& aMember) {
      return aMember.second.mHeldTerm != 0;
    });
  }

  /** @return whether all instances may use the rows of the store's incarnation */
  bool AreRowsUsable() const
  {
    return std::all_of(mInstances.begin(), mInstances.end(), [this](const auto& aEntry) {
      return aEntry.second.mIncarnation == mIncarnation &&
             aEntry.second.mRecovery->AreRowsUsable();
    });
  }

  /** @return whether the newest leader has served some client within the last second */
  bool IsServed() const { return mLastServedAt > mNow - 1s; }

  TimePoint mNow{ std::chrono::hours(1) };
  std::map<std::string, Member> mMembers;
  std::map<std::string, Instance> mInstances;
  bool mHasClients = true;
  /** Scheduled restarts and starts of members take place. */
  bool mDoMembersChange = true;
  double mLostAnswerShare = 0;
  /** Instances that can't reach the store receive its rows through another instance that
   * can. */
  bool mReadsThroughOthers = false;
  double mLateEffectShare = 0;
  /** Pairs of members that are disconnected from each other. */
  std::set<std::pair<std::string, std::string>> mDisconnectedPairs;
  std::vector<std::string> mViolations;
  /** Acknowledged commits that the new leader lacked when it was promoted. */
  std::size_t mLostCommits = 0;
  std::size_t mAcknowledgedCommits = 0;
  /** Number of writes of the leadership row. */
  std::size_t mLeadershipWrites = 0;
  std::uint64_t mNewestToken = 0;
  /** Holders of the tokens of all calls that were executed. */
  std::map<std::uint64_t, std::string> mTokenHolders;
  std::vector<std::string> mPromotedMembers;
  TimePoint mLastServedAt;

private:
  static constexpr Duration kStep = 10ms;
  static constexpr Duration kOldLeaderStopDelay = 1s;
  /** Three heartbeat intervals of a member. */
  static constexpr Duration kEntryLifetime = 1500ms;
  /** Interval in which instances without leases read the rows. */
  static constexpr Duration kRowsReadInterval = 200ms;

  struct StoreState
  {
    TimePoint mAt;
    std::map<std::string, StoredRow> mRows;
    std::uint64_t mRevision = 0;
  };

  struct Commit
  {
    TimePoint mAcknowledgedAt;
    bool mIsLost = false;
  };

  /** A commit that no replica has received yet. */
  struct UnreceivedCommit
  {
    std::uint64_t mCommit = 0;
    std::string mLeader;
    std::function<void()> mAcknowledge;
  };

  bool IsSynchronous() const { return mPlatform.mSynchronousReplicas > 0; }

  void Schedule(Duration aDelay, std::function<void()> aTask)
  {
    mScheduledTasks.emplace(mNow + aDelay, std::move(aTask));
  }

  /** Delivers an answer to a process of an instance after a delay: once the instance
   * isn't frozen, and not at all if the process has ended. */
  void DeliverAnswer(const std::string& aName,
                     std::uint64_t aProcess,
                     Duration aDelay,
                     std::function<void()> aTask)
  {
    Schedule(aDelay, [this, aName, aProcess, task = std::move(aTask)] {
      Instance& instance = mInstances[aName];
      if (instance.mProcessNumber != aProcess) {
        return;
      }
      if (instance.mIsFrozen) {
        instance.mDelayedTasks.push_back(task);
      } else {
        task();
      }
    });
  }

  bool CanReach(const std::string& aName, const std::string& aMember) const
  {
    return !mInstances.at(aName).mUnreachableMembers.contains(aMember) &&
           mMembers.at(aMember).mIsAlive;
  }

  bool AreConnected(const std::string& aLeft, const std::string& aRight) const
  {
    return mMembers.at(aLeft).mIsAlive && mMembers.at(aRight).mIsAlive &&
           !mDisconnectedPairs.contains({ aLeft, aRight }) &&
           !mDisconnectedPairs.contains({ aRight, aLeft });
  }

  void UpdateMembers()
  {
    const Member& leader = mMembers[mLeader];
    for (auto& [id, member] : mMembers) {
      if (member.mIsAlive && std::exchange(member.mReturnsAsFollower, false) &&
          id != mLeader) {
        member.mIsPrimary = false;
      }
      if (id == mLeader || !leader.mIsAlive || !AreConnected(id, mLeader)) {
        member.mConnectedToLeaderSince.reset();
        continue;
      }
      if (!member.mConnectedToLeaderSince) {
        member.mConnectedToLeaderSince = mNow;
      }
      if (member.mIsPrimary) {
        // An old leader only stops once it has been connected to the new one for a while.
        if (mNow - *member.mConnectedToLeaderSince < kOldLeaderStopDelay) {
          continue;
        }
        member.mIsPrimary = false;
      }
      if (member.mHeldTerm == 0) {
        ReplicateLog(member, leader);
      }
    }
    AcknowledgeReceivedCommits();
    for (auto& [id, member] : mMembers) {
      if (member.mIsAlive && !member.mWasAlive) {
        member.mProcessNumber++;
      }
      member.mWasAlive = member.mIsAlive;
      if (member.mIsAlive && member.mReachesStore) {
        member.mLastHeartbeat = mNow;
      }
    }
  }

  static bool Contains(const Member& aMember, std::uint64_t aCommit)
  {
    return std::find(aMember.mLog.rbegin(), aMember.mLog.rend(), aCommit) !=
           aMember.mLog.rend();
  }

  /** Answers the commits that enough replicas have received. */
  void AcknowledgeReceivedCommits()
  {
    std::erase_if(mUnreceivedCommits, [this](const UnreceivedCommit& aPending) {
      const Member& leader = mMembers[aPending.mLeader];
      if (!leader.mIsAlive || !leader.mIsPrimary) {
        return true;
      }
      const auto received =
        std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& aMember) {
          return aMember.first != aPending.mLeader &&
                 Contains(aMember.second, aPending.mCommit);
        });
      if (received < mPlatform.mSynchronousReplicas) {
        return false;
      }
      aPending.mAcknowledge();
      return true;
    });
  }

  /** @return members that the directory of the store lists */
  std::set<std::string> DirectoryMembers() const
  {
    std::set<std::string> listed;
    for (const auto& [id, member] : mMembers) {
      if (!IsSynchronous() || mNow - member.mLastHeartbeat < kEntryLifetime) {
        listed.insert(id);
      }
    }
    return listed;
  }

  /** Replicates the leader's log to a follower, a step after the leader has extended it.
   */
  static void ReplicateLog(Member& aFollower, const Member& aLeader)
  {
    if (aFollower.mTerm != aLeader.mTerm || aFollower.mIsPrimary) {
      aFollower.mTerm = aLeader.mTerm;
      aFollower.mLog = aLeader.mLog;
      return;
    }
    const auto received = static_cast<std::ptrdiff_t>(aFollower.mLog.size());
    aFollower.mLog.insert(
      aFollower.mLog.end(), aLeader.mLog.begin() + received, aLeader.mLog.end());
  }

  void UpdateHealth(Instance& aInstance)
  {
    for (const auto& [id, member] : mMembers) {
      if (member.mIsAlive && !aInstance.mUnreachableMembers.contains(id)) {
        aInstance.mUnreachableSince.erase(id);
      } else {
        aInstance.mUnreachableSince.try_emplace(id, mNow);
      }
    }
    if (aInstance.mReachesStore) {
      aInstance.mListedMembers = DirectoryMembers();
      for (const auto& [id, member] : mMembers) {
        if (member.mReachesStore) {
          aInstance.mListedProcesses[id] = member.mProcessNumber;
        }
      }
      const bool isRead = mNow - aInstance.mRowsReadAt >= kRowsReadInterval;
      if (mPlatform.mEnforcer == LeadershipEnforcer::Platform && isRead) {
        aInstance.mListedPrimary = mLeader;
        aInstance.mRowsReadAt = mNow;
        DeliverRows(aInstance, Rows());
      }
      // The instance's feed, which the simulation otherwise plays only for changes.
      const bool isBehind =
        aInstance.mIncarnation < mIncarnation && mNow >= aInstance.mLearnsReturnAt;
      const bool isRecovering = aInstance.mIncarnation == mIncarnation &&
                                !aInstance.mRecovery->AreRowsUsable() && isRead;
      if (isBehind || isRecovering) {
        aInstance.mRowsReadAt = mNow;
        DeliverRows(aInstance, Rows());
      }
    }
  }

  std::string LeaderFor(const Instance& aInstance) const
  {
    return aInstance.mLeases->AreNeeded("group")
             ? aInstance.mLeases->Leader("group").value_or(aInstance.mListedPrimary)
             : aInstance.mListedPrimary;
  }

  bool MayUse(const Instance& aInstance, const std::string& aMember) const
  {
    return mFaults.mIgnoresLeases ||
           aInstance.mLeases->HoldsLease("group", aMember, mNow);
  }

  /** Sends one write or read of a client to the member that the instance uses. */
  void SendClientRequest(const std::string& aName, Instance& aInstance)
  {
    std::string target = LeaderFor(aInstance);
    if (mFaults.mIgnoresLeases) {
      target = aInstance.mListedPrimary;
    }
    if (target.empty() || !CanReach(aName, target) || !MayUse(aInstance, target)) {
      return;
    }
    const bool isWrite = Chance() < 0.5;
    const TimePoint sentAt = mNow;
    Schedule(3ms,
             [this, aName, target, isWrite, sentAt, process = aInstance.mProcessNumber] {
               Member& member = mMembers[target];
               if (!CanReach(aName, target)) {
                 return;
               }
               Instance& instance = mInstances[aName];
               if (!member.mIsPrimary) {
                 if (!instance.mRefusedSince) {
                   instance.mRefusedSince = mNow;
                 }
                 return;
               }
               instance.mRefusedSince.reset();
               if (target == mLeader && !IsSynchronous()) {
                 mLastServedAt = mNow;
               }
               if (!isWrite) {
                 CheckRead(target, sentAt);
                 return;
               }
               const std::uint64_t commit = ++mNewestCommit;
               member.mLog.push_back(commit);
               const bool isOld = target != mLeader;
               const auto answer = [this, aName, target, commit, isOld, process] {
                 DeliverAnswer(aName, process, 3ms, [this, aName, target, commit, isOld] {
                   OnCommitAnswered(aName, target, commit, isOld);
                 });
               };
               if (IsSynchronous()) {
                 mUnreceivedCommits.push_back({ commit, target, answer });
               } else {
                 answer();
               }
             });
  }

  void OnCommitAnswered(const std::string& aName,
                        const std::string& aMember,
                        std::uint64_t aCommit,
                        bool aIsOld)
  {
    if (!MayUse(mInstances[aName], aMember)) {
      return;
    }
    mAcknowledgedCommits++;
    mCommits[aCommit].mAcknowledgedAt = mNow;
    if (aMember == mLeader) {
      mLastServedAt = mNow;
    }
    if (aIsOld) {
      mViolations.push_back("ONE: a commit of the old leader was acknowledged");
    }
    if (!Contains(mMembers[mLeader], aCommit)) {
      LoseCommit(mCommits[aCommit]);
    }
  }

  void LoseCommit(Commit& aCommit)
  {
    aCommit.mIsLost = true;
    mLostCommits++;
    if (IsSynchronous()) {
      mViolations.push_back("LOST: the promoted member lacks an acknowledged commit");
    }
  }

  void CheckRead(const std::string& aMember, TimePoint aSentAt)
  {
    const std::vector<std::uint64_t>& log = mMembers[aMember].mLog;
    for (const auto& [commit, state] : mCommits) {
      const bool isExpected = !state.mIsLost && state.mAcknowledgedAt < aSentAt;
      if (isExpected && std::find(log.rbegin(), log.rend(), commit) == log.rend()) {
        mViolations.push_back("STALE: a read missed an acknowledged commit");
        return;
      }
    }
    // Only the newest commits can be missed by later reads.
    while (mCommits.size() > kMaxCheckedCommits) {
      mCommits.erase(mCommits.begin());
    }
  }

  PromotionAnswer Promote(const PromotionCall& aCall)
  {
    const bool isFenced = mPlatform.mEnforcer == LeadershipEnforcer::Platform;
    if (mTokenHolders.try_emplace(aCall.mToken, aCall.mHolder).first->second !=
        aCall.mHolder) {
      mViolations.push_back("ONE: two holders used one token");
    }
    if (aCall.mToken < mNewestToken) {
      if (isFenced) {
        return PromotionAnswer::Refused;
      }
      mViolations.push_back("ONE: a lower token followed a higher one");
    }
    mNewestToken = std::max(mNewestToken, aCall.mToken);
    if (!mMembers[aCall.mMember].mIsAlive) {
      return PromotionAnswer::Refused;
    }
    if (aCall.mMember != mLeader) {
      Schedule(mPlatform.mPromotionDelay,
               [this, id = aCall.mMember] { ApplyPromotion(id); });
    }
    return PromotionAnswer::Accepted;
  }

  void ApplyPromotion(const std::string& aMember)
  {
    Member& member = mMembers[aMember];
    if (!member.mIsAlive || aMember == mLeader) {
      return;
    }
    mPromotedMembers.push_back(aMember);
    mLeader = aMember;
    member.mIsPrimary = true;
    member.mTerm = ++mTerm;
    for (auto& [id, other] : mMembers) {
      other.mHeldTerm = 0;
      other.mIgnoredPauses.clear();
      other.mConnectedToLeaderSince.reset();
      if (mPlatform.mEnforcer == LeadershipEnforcer::Platform && id != aMember) {
        other.mIsPrimary = false;
      }
    }
    for (auto& [commit, state] : mCommits) {
      if (!state.mIsLost && !Contains(member, commit)) {
        LoseCommit(state);
      }
    }
    for (auto& [name, instance] : mInstances) {
      DeliverAnswer(
        name, instance.mProcessNumber, 200ms, [this, instanceName = name, id = aMember] {
          if (mInstances[instanceName].mReachesStore) {
            mInstances[instanceName].mListedPrimary = id;
          }
        });
    }
  }

  bool IsAnyReachingStore() const
  {
    return std::any_of(mInstances.begin(), mInstances.end(), [](const auto& aInstance) {
      return aInstance.second.mReachesStore && !aInstance.second.mIsFrozen;
    });
  }

  TableSnapshot Rows() const
  {
    TableSnapshot snapshot;
    snapshot.mRevision = mRevision;
    snapshot.mIncarnation = mIncarnation;
    for (const auto& [key, row] : mRows) {
      // A conflicting write leaves an empty row.
      if (row.mRevision > 0) {
        snapshot.mRows.push_back(row);
        snapshot.mRows.back().mIncarnation = mIncarnation;
      }
    }
    return snapshot;
  }

  void RecordState() { mStoreStates.push_back({ mNow, mRows, mRevision }); }

  void ObserveIncarnation(Instance& aInstance, std::uint64_t aIncarnation) const
  {
    if (aIncarnation > aInstance.mIncarnation) {
      aInstance.mIncarnation = aIncarnation;
      aInstance.mWriter->OnIncarnation(aIncarnation, mNow);
      aInstance.mRecovery->OnIncarnation(aIncarnation);
      aInstance.mCoordinator->OnIncarnation(aIncarnation, mNow);
    }
  }

  /** @return whether the rows may be used */
  bool DeliverRows(Instance& aInstance, const TableSnapshot& aRows) const
  {
    if (aRows.mIncarnation < aInstance.mIncarnation) {
      return false;
    }
    ObserveIncarnation(aInstance, aRows.mIncarnation);
    if (!aInstance.mRecovery->OnRows(aRows.mRows, mNow) && !mFaults.mSkipsRecovery) {
      return false;
    }
    const std::vector<StoredRow> rows =
      mFaults.mSkipsRecovery ? aRows.mRows : aInstance.mRecovery->NewestRows(aRows.mRows);
    aInstance.mLeases->OnRows(rows);
    aInstance.mCoordinator->OnRows(rows, mNow, [&aInstance](std::string_view aKey) {
      return aInstance.mRecovery->ReceivedAt(aKey);
    });
    return true;
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
    mLeadershipWrites += row.mKey == LeadershipKey("group") ? 1 : 0;
    for (auto& [name, instance] : mInstances) {
      DeliverAnswer(
        name, instance.mProcessNumber, 5ms, [this, name = name, rows = Rows()] {
          Instance& reader = mInstances[name];
          if (reader.mReachesStore) {
            if (DeliverRows(reader, rows)) {
              reader.mLeases->OnStoreContact(mNow - 10ms);
            }
          } else if (mReadsThroughOthers && IsAnyReachingStore()) {
            DeliverAnswer(name, reader.mProcessNumber, 10ms, [this, name, rows] {
              if (DeliverRows(mInstances[name], rows)) {
                mInstances[name].mLeases->OnStoreContact(mNow - 20ms);
              }
            });
          }
        });
    }
    return Written{ row.mRevision, 0, mIncarnation };
  }

  /** Passes the answer to a write to an instance. An answer from another incarnation than
   * the one in which the expected revision was read tells nothing about the write. */
  void AnswerWrite(const std::string& aName,
                   std::uint64_t aIncarnation,
                   const ConditionalWrite& aWrite,
                   const WriteResult& aResult,
                   const std::function<void(const WriteResult&)>& aHook)
  {
    Instance& instance = mInstances[aName];
    ObserveIncarnation(instance, aIncarnation);
    const bool isSame = aWrite.mRow.mIncarnation == instance.mIncarnation;
    aHook(isSame ? aResult : WriteResult(StoreFailure::NoAnswer));
  }

  SharedStore Store(const std::string& aName, std::uint64_t aProcess)
  {
    ConditionalWriterHooks writer;
    writer.mNow = [this] { return mNow; };
    writer.mRead = [this, aName, aProcess](TimePoint,
                                           std::function<void(const ReadResult&)> aHook) {
      if (!mInstances[aName].mReachesStore || Chance() < mLostAnswerShare) {
        DeliverAnswer(aName, aProcess, 900ms, [aHook] { aHook(StoreFailure::NoAnswer); });
        return;
      }
      Schedule(3ms, [this, aName, aProcess, aHook] {
        DeliverAnswer(aName, aProcess, 3ms, [this, aName, aHook, rows = Rows()] {
          Instance& instance = mInstances[aName];
          ObserveIncarnation(instance, rows.mIncarnation);
          const bool isCurrent = rows.mIncarnation == instance.mIncarnation;
          aHook(isCurrent ? ReadResult(rows) : ReadResult(StoreFailure::NoAnswer));
        });
      });
    };
    writer.mWrite = [this, aName, aProcess](
                      const ConditionalWrite& aWrite,
                      std::function<void(const WriteResult&)> aHook) {
      if (aWrite.mRow.mIncarnation != mInstances[aName].mIncarnation) {
        aHook(RowConflict{});
        return;
      }
      if (!mInstances[aName].mReachesStore) {
        DeliverAnswer(aName, aProcess, 900ms, [aHook] { aHook(StoreFailure::Refused); });
        return;
      }
      if (Chance() < mLostAnswerShare) {
        const Duration delay = Chance() < mLateEffectShare ? 2500ms : 6ms;
        Schedule(delay, [this, aWrite] { Apply(aWrite); });
        DeliverAnswer(
          aName, aProcess, 1500ms, [aHook] { aHook(StoreFailure::NoAnswer); });
        return;
      }
      Schedule(6ms, [this, aName, aProcess, aWrite, aHook] {
        const WriteResult result = Apply(aWrite);
        DeliverAnswer(aName,
                      aProcess,
                      {},
                      [this, aName, aWrite, aHook, result, incarnation = mIncarnation] {
                        AnswerWrite(aName, incarnation, aWrite, result, aHook);
                      });
      });
    };
    mInstances[aName].mWriter = std::make_unique<ConditionalWriter>(std::move(writer));
    SharedStore store;
    store.mWrite = [this, aName](const ConditionalWrite& aWrite,
                                 std::function<void(const WriteResult&)> aHook) {
      mInstances[aName].mWriter->Write(
        aWrite, [this, aName, aWrite, aHook](const WriteResult& aResult) {
          if (const auto* written = std::get_if<Written>(&aResult)) {
            mInstances[aName].mRecovery->OnWritten(aWrite.mRow, *written);
          }
          aHook(aResult);
        });
    };
    store.mPromote = [this, aName, aProcess](const PromotionCall& aCall,
                                             std::function<void(PromotionAnswer)> aHook) {
      if (Chance() < mLostAnswerShare) {
        Schedule(10ms, [this, aCall] { Promote(aCall); });
        DeliverAnswer(
          aName, aProcess, 1200ms, [aHook] { aHook(PromotionAnswer::NoAnswer); });
        return;
      }
      Schedule(10ms, [this, aName, aProcess, aCall, aHook] {
        DeliverAnswer(
          aName, aProcess, {}, [aHook, answer = Promote(aCall)] { aHook(answer); });
      });
    };
    return store;
  }

  void QueryStatus(const std::string& aName,
                   std::uint64_t aProcess,
                   const std::string& aMember,
                   const MemberCommand& aCommand,
                   Duration aTimeout,
                   const StatusHook& aHook)
  {
    // The request is answered, or the request or its reply is lost.
    Schedule(4ms, [this, aName, aProcess, aMember, aCommand, aTimeout, aHook] {
      const bool arrives = CanReach(aName, aMember);
      if (arrives) {
        ExecuteCommand(aMember, aCommand);
        if (mFaults.mIgnoresPause && aCommand.mKind == CommandKind::Pause) {
          mMembers[aMember].mIgnoredPauses[aName] = aCommand.mTerm;
        }
      }
      if (!arrives || Chance() < mLostAnswerShare / 4) {
        DeliverAnswer(aName, aProcess, aTimeout, [aHook] { aHook(std::nullopt); });
        return;
      }
      const Member& member = mMembers[aMember];
      MemberReply reply;
      MemberStatus status;
      status.mRole = member.mIsPrimary ? MemberRole::Primary : MemberRole::Replica;
      status.mTerm = member.mTerm;
      const auto ignored = member.mIgnoredPauses.find(aName);
      status.mPausedTerm =
        ignored == member.mIgnoredPauses.end() ? member.mHeldTerm : ignored->second;
      status.mReceived = { member.mTerm, member.mLog.size() };
      reply.mStatus = status;
      DeliverAnswer(aName, aProcess, 4ms, [aHook, reply] { aHook(reply); });
    });
  }

  void ExecuteCommand(const std::string& aMember, const MemberCommand& aCommand)
  {
    Member& member = mMembers[aMember];
    if (aCommand.mKind == CommandKind::Pause && !member.mIsPrimary &&
        !mFaults.mIgnoresPause) {
      member.mHeldTerm = aCommand.mTerm;
    } else if (aCommand.mKind == CommandKind::Resume) {
      member.mHeldTerm = 0;
    } else if (aCommand.mKind == CommandKind::Demote && member.mIsPrimary &&
               member.mTerm < aCommand.mTerm && !mFaults.mIgnoresDemote) {
      member.mIsPrimary = false;
    }
  }

  std::vector<MemberEntry> Followers(const Instance& aInstance) const
  {
    const std::string leader = LeaderFor(aInstance);
    std::vector<MemberEntry> followers = ListedMembers(aInstance);
    std::erase_if(followers, [&](const MemberEntry& aEntry) {
      return aEntry.mId == (leader.empty() ? aInstance.mListedPrimary : leader);
    });
    return followers;
  }

  std::vector<MemberEntry> ListedMembers(const Instance& aInstance) const
  {
    std::vector<MemberEntry> members;
    for (const std::string& id : aInstance.mListedMembers) {
      MemberEntry entry;
      entry.mId = id;
      entry.mZone = mMembers.at(id).mZone;
      entry.mDraining = mMembers.at(id).mIsDraining;
      const auto process = aInstance.mListedProcesses.find(id);
      if (process != aInstance.mListedProcesses.end()) {
        entry.mStartedAtMs = process->second;
      }
      members.push_back(entry);
    }
    return members;
  }

  PrimaryHealth HealthFor(const Instance& aInstance) const
  {
    PrimaryHealth health;
    const std::string leader = LeaderFor(aInstance);
    health.mMember = leader.empty() ? aInstance.mListedPrimary : leader;
    health.mIsListed = aInstance.mListedMembers.contains(health.mMember);
    health.mIsDraining = mMembers.at(health.mMember).mIsDraining;
    const auto cut = aInstance.mUnreachableSince.find(health.mMember);
    if (cut != aInstance.mUnreachableSince.end() && mNow - cut->second > 250ms) {
      health.mDownSince = cut->second;
    } else if (aInstance.mRefusedSince && mNow - *aInstance.mRefusedSince > 2500ms) {
      health.mDownSince = aInstance.mRefusedSince;
    }
    health.mLastReply = cut == aInstance.mUnreachableSince.end() ? mNow : cut->second;
    return health;
  }

  std::uint64_t NewestTerm() const
  {
    std::uint64_t term = 0;
    for (const auto& [id, member] : mMembers) {
      term = std::max(term, member.mTerm);
    }
    return term;
  }

  PromotionHooks Hooks(const std::string& aName, std::uint64_t aProcess)
  {
    PromotionHooks hooks;
    hooks.mGroups = [] { return std::vector<std::string>{ "group" }; };
    hooks.mPrimaryHealth = [this, aName](std::string_view, TimePoint) {
      return HealthFor(mInstances[aName]);
    };
    hooks.mReplicas = [this, aName](std::string_view) {
      return Followers(mInstances[aName]);
    };
    hooks.mMembers = [this, aName](std::string_view) {
      return ListedMembers(mInstances[aName]);
    };
    hooks.mIsStandby = [](std::string_view, const std::string&) { return true; };
    hooks.mIsCutOff = [] { return false; };
    hooks.mNewestTerm = [this](std::string_view) { return NewestTerm(); };
    hooks.mSynchronousReplicas = [this](std::string_view) {
      return mPlatform.mSynchronousReplicas;
    };
    hooks.mSendCommand = [this, aName, aProcess](std::string_view aMember,
                                                 const MemberCommand& aCommand,
                                                 Duration aTimeout,
                                                 TimePoint,
                                                 const StatusHook& aHook) {
      QueryStatus(aName, aProcess, std::string(aMember), aCommand, aTimeout, aHook);
    };
    hooks.mOnPromotionAccepted = [](std::string_view, std::string_view, TimePoint) {};
    hooks.mNow = [this] { return mNow; };
    hooks.mLog = [](LogLevel, std::string_view, std::initializer_list<LogField>) {};
    return hooks;
  }

  void Start(const std::string& aName, std::uint64_t aProcess = 0)
  {
    Instance& instance = mInstances[aName];
    instance.mProcessNumber = aProcess;
    instance.mListedPrimary = mLeader;
    instance.mListedMembers = DirectoryMembers();
    instance.mLeases =
      std::make_unique<LeaderLeases>(mPlatform.mEnforcer, [this](std::string_view) {
        return mPlatform.mSynchronousReplicas;
      });
    LeaseKeeperHooks hooks;
    hooks.mGroups = [] { return std::vector<std::string>{ "group" }; };
    hooks.mFollowers = [this, aName](std::string_view) {
      return Followers(mInstances[aName]);
    };
    hooks.mLeaderZone = [this, aName](std::string_view) {
      const std::string leader = LeaderFor(mInstances[aName]);
      if (mFaults.mRenewsInLeaderZone) {
        return std::optional<std::string>("another");
      }
      return leader.empty() ? std::nullopt : std::optional(mMembers[leader].mZone);
    };
    hooks.mQueryStatus = Hooks(aName, aProcess).mSendCommand;
    hooks.mReadStore = [this, aName, aProcess](TimePoint aNow) {
      Duration delay = 3ms;
      if (!mInstances[aName].mReachesStore) {
        // Another instance may read the store on behalf of this one.
        if (!mReadsThroughOthers || !IsAnyReachingStore()) {
          return;
        }
        delay = 1ms * std::uniform_int_distribution<int>(5, 400)(mRandom);
      }
      Schedule(delay, [this, aName, aProcess, aNow] {
        DeliverAnswer(aName, aProcess, 3ms, [this, aName, aNow, rows = Rows()] {
          if (DeliverRows(mInstances[aName], rows)) {
            mInstances[aName].mLeases->OnStoreRead(aNow);
          }
        });
      });
    };
    hooks.mNow = [this] { return mNow; };
    SharedStore store = Store(aName, aProcess);
    StoreRecoveryHooks recovery;
    recovery.mGroups = hooks.mGroups;
    recovery.mWrite = store.mWrite;
    recovery.mNow = hooks.mNow;
    recovery.mLog = [](LogLevel, std::string_view, std::initializer_list<LogField>) {};
    instance.mRecovery = std::make_unique<StoreRecovery>(aName, std::move(recovery));
    instance.mKeeper = std::make_unique<LeaseKeeper>("", *instance.mLeases, hooks);
    instance.mCoordinator = std::make_unique<PromotionCoordinator>(
      aName, mPlatform.mEnforcer, std::move(store), Hooks(aName, aProcess));
  }

  static constexpr std::size_t kMaxCheckedCommits = 50;

  LeadershipFaults mFaults;
  LeadershipPlatform mPlatform;
  std::vector<UnreceivedCommit> mUnreceivedCommits;
  std::mt19937_64 mRandom;
  std::uint64_t mIncarnation = 0;
  std::vector<Instance> mEndedProcesses;
  std::multimap<TimePoint, std::function<void()>> mScheduledTasks;
  std::map<std::string, StoredRow> mRows;
  std::uint64_t mRevision = 0;
  std::vector<StoreState> mStoreStates;
  /** Member promoted by the newest promotion that has taken effect. */
  std::string mLeader = "p";
  std::uint64_t mTerm = 1;
  std::uint64_t mNewestCommit = 0;
  std::map<std::uint64_t, Commit> mCommits;
};

} // namespace papayaspindle::proxy
