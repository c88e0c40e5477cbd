#pragma once

#include "proxy/leadership/leaderleases.h"
#include "proxy/leadership/leasekeeper.h"
#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/promotioncoordinator.h"

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

/** Mechanisms that a test leaves out to see an invariant fail. */
struct LeadershipFaults
{
  /** Instances use whoever they take for the leader. */
  bool mIgnoresPermissions = false;
  /** Followers don't notice that they are paused. */
  bool mForgetsPause = false;
  /** An old leader that is told to step down doesn't. */
  bool mIgnoresDemote = false;
};

/**
 * One group of three members on a platform that ends nobody's lead, and some instances
 * that write to it, read from it and promote its members, on simulated time.
 *
 * A test cuts links between instances, members and the store, freezes and restarts
 * instances, stops members, and loses or delays calls. The world checks each answer that
 * a client gets.
 */
class LeadershipWorld
{
public:
  struct Member
  {
    bool mIsAlive = true;
    bool mIsPrimary = false;
    std::uint64_t mTerm = 1;
    std::uint64_t mHeldTerm = 0;
    /** Commits in their order. */
    std::vector<std::uint64_t> mLog;
    bool mIsDraining = false;
    bool mReturnsAsFollower = false;
    /** Since when the newest leader reaches it. */
    std::optional<TimePoint> mMeetsLeaderSince;
  };

  struct Instance
  {
    std::unique_ptr<LeaderLeases> mLeases;
    std::unique_ptr<LeaseKeeper> mKeeper;
    std::unique_ptr<PromotionCoordinator> mCoordinator;
    bool mHasStore = true;
    bool mIsFrozen = false;
    /** Members that it can't reach. */
    std::set<std::string> mCut;
    std::map<std::string, TimePoint> mCutSince;
    std::optional<TimePoint> mRefusedSince;
    /** Member that its directory calls primary. */
    std::string mListedPrimary = "p";
    /** Work that waits while it is frozen. */
    std::vector<std::function<void()>> mDelayed;
    /** Tells answers to an earlier process apart. */
    std::uint64_t mProcess = 0;
  };

  LeadershipWorld(std::size_t aInstances,
                  std::uint64_t aSeed,
                  LeadershipFaults aFaults = {})
    : mFaults(aFaults)
    , mRandom(aSeed)
  {
    for (const char* id : { "p", "r1", "r2" }) {
      mMembers[id];
    }
    mMembers["p"].mIsPrimary = true;
    for (std::size_t index = 0; index < aInstances; index++) {
      Start("instance-" + std::to_string(index));
    }
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += kStep;
      while (!mDue.empty() && mDue.begin()->first <= mNow) {
        const auto task = std::move(mDue.begin()->second);
        mDue.erase(mDue.begin());
        task();
      }
      StepMembers();
      for (auto& [name, instance] : mInstances) {
        if (instance.mIsFrozen) {
          continue;
        }
        for (const auto& task : std::exchange(instance.mDelayed, {})) {
          task();
        }
        UpdateHealth(instance);
        instance.mKeeper->OnTimer(mNow);
        instance.mCoordinator->OnTimer(mNow);
        if (mTraffic) {
          Serve(name, instance);
        }
      }
    }
  }

  /** Replaces an instance's process by one that knows nothing. */
  void Restart(const std::string& aName)
  {
    mRetired.push_back(std::move(mInstances[aName]));
    const std::uint64_t process = mRetired.back().mProcess;
    mInstances.erase(aName);
    Start(aName, process + 1);
  }

  /** A member that crashes comes back as a follower if it was replaced. */
  void StopLeading(const std::string& aMember)
  {
    mMembers[aMember].mReturnsAsFollower = true;
  }

  double Chance() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }

  /** @return whether clients of some instance are served by the newest leader */
  bool IsServed() const { return mServedAt > mNow - 1s; }

  TimePoint mNow{ std::chrono::hours(1) };
  std::map<std::string, Member> mMembers;
  std::map<std::string, Instance> mInstances;
  bool mTraffic = true;
  double mLostShare = 0;
  double mLateShare = 0;
  /** Pairs of members that can't reach each other. */
  std::set<std::pair<std::string, std::string>> mMemberCuts;
  std::vector<std::string> mViolations;
  /** Acknowledged commits that the new leader lacked when it was promoted. */
  std::size_t mLostCommits = 0;
  std::size_t mAcknowledgedCommits = 0;
  std::uint64_t mSeenToken = 0;
  std::vector<std::string> mPromoted;
  TimePoint mServedAt;

private:
  static constexpr Duration kStep = 10ms;
  static constexpr Duration kPromotion = 300ms;
  static constexpr Duration kOldLeaderNotices = 1s;

  struct Commit
  {
    TimePoint mAcknowledgedAt;
    bool mIsLost = false;
  };

  void At(Duration aDelay, std::function<void()> aTask)
  {
    mDue.emplace(mNow + aDelay, std::move(aTask));
  }

  /** Lets an instance take an answer, once it runs; one of its process, that is. */
  void Answer(const std::string& aName,
              std::uint64_t aProcess,
              Duration aDelay,
              std::function<void()> aTask)
  {
    At(aDelay, [this, aName, aProcess, task = std::move(aTask)] {
      Instance& instance = mInstances[aName];
      if (instance.mProcess != aProcess) {
        return;
      }
      if (instance.mIsFrozen) {
        instance.mDelayed.push_back(task);
      } else {
        task();
      }
    });
  }

  bool Reaches(const std::string& aName, const std::string& aMember) const
  {
    return !mInstances.at(aName).mCut.contains(aMember) && mMembers.at(aMember).mIsAlive;
  }

  bool AreJoined(const std::string& aLeft, const std::string& aRight) const
  {
    return mMembers.at(aLeft).mIsAlive && mMembers.at(aRight).mIsAlive &&
           !mMemberCuts.contains({ aLeft, aRight }) &&
           !mMemberCuts.contains({ aRight, aLeft });
  }

  void StepMembers()
  {
    const Member& leader = mMembers[mLeader];
    for (auto& [id, member] : mMembers) {
      if (member.mIsAlive && std::exchange(member.mReturnsAsFollower, false) &&
          id != mLeader) {
        member.mIsPrimary = false;
      }
      if (id == mLeader || !leader.mIsAlive || !AreJoined(id, mLeader)) {
        member.mMeetsLeaderSince.reset();
        continue;
      }
      if (!member.mMeetsLeaderSince) {
        member.mMeetsLeaderSince = mNow;
      }
      if (member.mIsPrimary) {
        // An old leader goes on until it has met the new one for a while.
        if (mNow - *member.mMeetsLeaderSince < kOldLeaderNotices) {
          continue;
        }
        member.mIsPrimary = false;
      }
      if (member.mHeldTerm == 0) {
        Receive(member, leader);
      }
    }
  }

  /** Gives a follower what its leader has; a step later than the leader has it. */
  static void Receive(Member& aFollower, const Member& aLeader)
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
      if (member.mIsAlive && !aInstance.mCut.contains(id)) {
        aInstance.mCutSince.erase(id);
      } else {
        aInstance.mCutSince.try_emplace(id, mNow);
      }
    }
  }

  std::string LeaderFor(const Instance& aInstance) const
  {
    return aInstance.mLeases->Leader("group").value_or(aInstance.mListedPrimary);
  }

  bool Permits(const Instance& aInstance, const std::string& aMember) const
  {
    return mFaults.mIgnoresPermissions ||
           aInstance.mLeases->Permits("group", aMember, mNow);
  }

  /** Sends one write or one read of a client to the member that the instance uses. */
  void Serve(const std::string& aName, Instance& aInstance)
  {
    std::string target = LeaderFor(aInstance);
    if (mFaults.mIgnoresPermissions) {
      target = aInstance.mListedPrimary;
    }
    if (target.empty() || !Reaches(aName, target) || !Permits(aInstance, target)) {
      return;
    }
    const bool isWrite = Chance() < 0.5;
    const TimePoint asked = mNow;
    At(3ms, [this, aName, target, isWrite, asked, process = aInstance.mProcess] {
      Member& member = mMembers[target];
      if (!Reaches(aName, target)) {
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
      if (target == mLeader) {
        mServedAt = mNow;
      }
      if (!isWrite) {
        CheckRead(target, asked);
        return;
      }
      const std::uint64_t commit = ++mNewestCommit;
      member.mLog.push_back(commit);
      const bool isOld = target != mLeader;
      Answer(aName, process, 3ms, [this, aName, target, commit, isOld] {
        if (!Permits(mInstances[aName], target)) {
          return;
        }
        mAcknowledgedCommits++;
        mCommits[commit].mAcknowledgedAt = mNow;
        if (isOld) {
          mViolations.push_back("ONE: a commit of the old leader was acknowledged");
        }
        const auto& log = mMembers[mLeader].mLog;
        if (std::find(log.rbegin(), log.rend(), commit) == log.rend()) {
          mCommits[commit].mIsLost = true;
          mLostCommits++;
        }
      });
    });
  }

  void CheckRead(const std::string& aMember, TimePoint aAskedAt)
  {
    const std::vector<std::uint64_t>& log = mMembers[aMember].mLog;
    for (const auto& [commit, state] : mCommits) {
      const bool isOwed = !state.mIsLost && state.mAcknowledgedAt < aAskedAt;
      if (isOwed && std::find(log.rbegin(), log.rend(), commit) == log.rend()) {
        mViolations.push_back("STALE: a read missed an acknowledged commit");
        return;
      }
    }
    // Only the newest commits can be missed by what follows.
    while (mCommits.size() > kKeptCommits) {
      mCommits.erase(mCommits.begin());
    }
  }

  PromotionAnswer Promote(const PromotionCall& aCall)
  {
    if (aCall.mToken < mSeenToken) {
      mViolations.push_back("ONE: a lower token followed a higher one");
    }
    mSeenToken = std::max(mSeenToken, aCall.mToken);
    if (!mMembers[aCall.mMember].mIsAlive) {
      return PromotionAnswer::Refused;
    }
    if (aCall.mMember != mLeader) {
      At(kPromotion, [this, id = aCall.mMember] { TakeEffect(id); });
    }
    return PromotionAnswer::Accepted;
  }

  void TakeEffect(const std::string& aMember)
  {
    Member& member = mMembers[aMember];
    if (!member.mIsAlive || aMember == mLeader) {
      return;
    }
    mPromoted.push_back(aMember);
    mLeader = aMember;
    member.mIsPrimary = true;
    member.mTerm = ++mTerm;
    for (auto& [id, other] : mMembers) {
      other.mHeldTerm = 0;
      other.mMeetsLeaderSince.reset();
    }
    for (auto& [commit, state] : mCommits) {
      const bool isKept =
        std::find(member.mLog.begin(), member.mLog.end(), commit) != member.mLog.end();
      if (!isKept && !state.mIsLost) {
        state.mIsLost = true;
        mLostCommits++;
      }
    }
    for (auto& [name, instance] : mInstances) {
      Answer(name, instance.mProcess, 200ms, [this, instanceName = name, id = aMember] {
        if (mInstances[instanceName].mHasStore) {
          mInstances[instanceName].mListedPrimary = id;
        }
      });
    }
  }

  std::vector<StoredRow> Rows() const
  {
    std::vector<StoredRow> rows;
    for (const auto& [key, row] : mRows) {
      rows.push_back(row);
    }
    return rows;
  }

  void TakeRows(Instance& aInstance, const std::vector<StoredRow>& aRows) const
  {
    aInstance.mLeases->OnRows(aRows);
    aInstance.mCoordinator->OnRows(aRows, mNow);
  }

  WriteResult Apply(const ConditionalWrite& aWrite)
  {
    StoredRow& row = mRows[aWrite.mRow.mKey];
    if (row.mRevision != aWrite.mRow.mRevision) {
      return RowConflict{};
    }
    row = aWrite.mRow;
    row.mRevision = ++mRevision;
    for (auto& [name, instance] : mInstances) {
      Answer(name, instance.mProcess, 5ms, [this, name = name, rows = Rows()] {
        Instance& reader = mInstances[name];
        if (reader.mHasStore) {
          TakeRows(reader, rows);
          reader.mLeases->OnStoreContact(mNow - 10ms);
        }
      });
    }
    return Written{ row.mRevision, 0 };
  }

  SharedStore Store(const std::string& aName, std::uint64_t aProcess)
  {
    SharedStore store;
    store.mWrite =
      [this, aName, aProcess](const ConditionalWrite& aWrite,
                              std::function<void(const WriteResult&)> aHook) {
        if (!mInstances[aName].mHasStore) {
          Answer(aName, aProcess, 900ms, [aHook] { aHook(StoreFailure::Refused); });
          return;
        }
        if (Chance() < mLostShare) {
          const Duration delay = Chance() < mLateShare ? 2500ms : 6ms;
          At(delay, [this, aWrite] { Apply(aWrite); });
          Answer(aName, aProcess, 1500ms, [aHook] { aHook(StoreFailure::NoAnswer); });
          return;
        }
        At(6ms, [this, aName, aProcess, aWrite, aHook] {
          Answer(aName, aProcess, {}, [aHook, result = Apply(aWrite)] { aHook(result); });
        });
      };
    store.mPromote = [this, aName, aProcess](const PromotionCall& aCall,
                                             std::function<void(PromotionAnswer)> aHook) {
      if (Chance() < mLostShare) {
        At(10ms, [this, aCall] { Promote(aCall); });
        Answer(aName, aProcess, 1200ms, [aHook] { aHook(PromotionAnswer::NoAnswer); });
        return;
      }
      At(10ms, [this, aName, aProcess, aCall, aHook] {
        Answer(aName, aProcess, {}, [aHook, answer = Promote(aCall)] { aHook(answer); });
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
    // Answered, lost on the way there, or lost on the way back.
    At(4ms, [this, aName, aProcess, aMember, aCommand, aTimeout, aHook] {
      const bool arrives = Reaches(aName, aMember);
      if (arrives) {
        Obey(aMember, aCommand);
      }
      if (!arrives || Chance() < mLostShare / 4) {
        Answer(aName, aProcess, aTimeout, [aHook] { aHook(std::nullopt); });
        return;
      }
      const Member& member = mMembers[aMember];
      MemberReply reply;
      MemberStatus status;
      status.mRole = member.mIsPrimary ? MemberRole::Primary : MemberRole::Replica;
      status.mTerm = member.mTerm;
      status.mHeldTerm = member.mHeldTerm;
      status.mReceived = { member.mTerm, member.mLog.size() };
      reply.mStatus = status;
      Answer(aName, aProcess, 4ms, [aHook, reply] { aHook(reply); });
    });
  }

  void Obey(const std::string& aMember, const MemberCommand& aCommand)
  {
    Member& member = mMembers[aMember];
    if (aCommand.mKind == CommandKind::Pause && !member.mIsPrimary &&
        !mFaults.mForgetsPause) {
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
    std::vector<MemberEntry> followers;
    for (const auto& [id, member] : mMembers) {
      if (id != (leader.empty() ? aInstance.mListedPrimary : leader)) {
        MemberEntry entry;
        entry.mId = id;
        entry.mDraining = member.mIsDraining;
        followers.push_back(entry);
      }
    }
    return followers;
  }

  PrimaryHealth HealthFor(const Instance& aInstance) const
  {
    PrimaryHealth health;
    const std::string leader = LeaderFor(aInstance);
    health.mMember = leader.empty() ? aInstance.mListedPrimary : leader;
    health.mIsListed = true;
    health.mIsDraining = mMembers.at(health.mMember).mIsDraining;
    const auto cut = aInstance.mCutSince.find(health.mMember);
    if (cut != aInstance.mCutSince.end() && mNow - cut->second > 250ms) {
      health.mDownSince = cut->second;
    } else if (aInstance.mRefusedSince && mNow - *aInstance.mRefusedSince > 2500ms) {
      health.mDownSince = aInstance.mRefusedSince;
    }
    health.mLastReply = cut == aInstance.mCutSince.end() ? mNow : cut->second;
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
    hooks.mPrimary = [this, aName](std::string_view, TimePoint) {
      return HealthFor(mInstances[aName]);
    };
    hooks.mReplicas = [this, aName](std::string_view) {
      return Followers(mInstances[aName]);
    };
    hooks.mMembers = [this](std::string_view) {
      std::vector<MemberEntry> members;
      for (const auto& [id, member] : mMembers) {
        MemberEntry entry;
        entry.mId = id;
        entry.mDraining = member.mIsDraining;
        members.push_back(entry);
      }
      return members;
    };
    hooks.mIsStandby = [](std::string_view, const std::string&) { return true; };
    hooks.mIsCutOff = [] { return false; };
    hooks.mNewestTerm = [this](std::string_view) { return NewestTerm(); };
    hooks.mSynchronousReplicas = [](std::string_view) { return 0U; };
    hooks.mQueryStatus = [this, aName, aProcess](std::string_view aMember,
                                                 const MemberCommand& aCommand,
                                                 Duration aTimeout,
                                                 TimePoint,
                                                 const StatusHook& aHook) {
      QueryStatus(aName, aProcess, std::string(aMember), aCommand, aTimeout, aHook);
    };
    hooks.mExpect = [](std::string_view, std::string_view, TimePoint) {};
    hooks.mNow = [this] { return mNow; };
    hooks.mLog = [](LogLevel, std::string_view, std::initializer_list<LogField>) {};
    return hooks;
  }

  void Start(const std::string& aName, std::uint64_t aProcess = 0)
  {
    Instance& instance = mInstances[aName];
    instance.mProcess = aProcess;
    instance.mListedPrimary = mLeader;
    instance.mLeases = std::make_unique<LeaderLeases>(LeadEndedBy::Instances);
    LeaseKeeperHooks hooks;
    hooks.mGroups = [] { return std::vector<std::string>{ "group" }; };
    hooks.mFollowers = [this, aName](std::string_view) {
      return Followers(mInstances[aName]);
    };
    hooks.mQueryStatus = Hooks(aName, aProcess).mQueryStatus;
    hooks.mReadStore = [this, aName, aProcess](TimePoint aNow) {
      if (!mInstances[aName].mHasStore) {
        return;
      }
      At(3ms, [this, aName, aProcess, aNow] {
        Answer(aName, aProcess, 3ms, [this, aName, aNow, rows = Rows()] {
          TakeRows(mInstances[aName], rows);
          mInstances[aName].mLeases->OnStoreRead(aNow);
        });
      });
    };
    hooks.mNow = [this] { return mNow; };
    instance.mKeeper = std::make_unique<LeaseKeeper>("", *instance.mLeases, hooks);
    instance.mCoordinator = std::make_unique<PromotionCoordinator>(
      aName, LeadEndedBy::Instances, Store(aName, aProcess), Hooks(aName, aProcess));
  }

  static constexpr std::size_t kKeptCommits = 50;

  LeadershipFaults mFaults;
  std::mt19937_64 mRandom;
  std::vector<Instance> mRetired;
  std::multimap<TimePoint, std::function<void()>> mDue;
  std::map<std::string, StoredRow> mRows;
  std::uint64_t mRevision = 0;
  /** Leader by the newest promotion that has taken effect. */
  std::string mLeader = "p";
  std::uint64_t mTerm = 1;
  std::uint64_t mNewestCommit = 0;
  std::map<std::uint64_t, Commit> mCommits;
};

} // namespace papayaspindle::proxy
