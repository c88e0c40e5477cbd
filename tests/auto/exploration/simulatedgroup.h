#pragma once

#include "exploration/statementledger.h"
#include "proxy/leadership/leaderleases.h"
#include "proxy/memberentry.h"
#include "proxy/rowstore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::exploration {

using namespace std::chrono_literals;

/** Members of one group: replication, promotions and the directory. */
class SimulatedGroup
{
public:
  SimulatedGroup(ExplorationContext& aContext,
                 StatementLedger& aLedger,
                 std::string aName,
                 proxy::LeadershipEnforcer aEnforcer,
                 std::uint32_t aSynchronousReplicas)
    : mContext(aContext)
    , mLedger(aLedger)
    , mName(std::move(aName))
    , mEnforcer(aEnforcer)
    , mSynchronousReplicas(aSynchronousReplicas)
  {
    const char* zones[] = { "zone-a", "zone-b", "zone-c" };
    for (std::size_t index = 0; index < 3; index++) {
      SimulatedMember member;
      member.mId = fmt::format("{}-m{}", mName, index);
      member.mZone = zones[index];
      member.mSlots = static_cast<std::uint32_t>(2 + aContext.mRandom.Below(3));
      member.mIsPrimary = index == 0;
      member.mLastHeartbeat = aContext.mClock.Now();
      mMembers[member.mId] = member;
    }
    mLeader = mName + "-m0";
  }

  [[nodiscard]] const std::string& Name() const { return mName; }
  [[nodiscard]] SimulatedMember& At(const std::string& aId) { return mMembers.at(aId); }
  [[nodiscard]] SimulatedMember& Leader() { return mMembers.at(mLeader); }
  [[nodiscard]] std::map<std::string, SimulatedMember>& Members() { return mMembers; }
  /** @return whether a promotion may roll back commits that no replica has received */
  [[nodiscard]] bool MayLose() const { return mSynchronousReplicas == 0; }
  [[nodiscard]] std::uint32_t SynchronousReplicas() const { return mSynchronousReplicas; }
  [[nodiscard]] std::size_t Promotions() const { return mPromotions; }

  /** Replicates, stops former leaders, and acknowledges commits that enough replicas have
   * received. */
  void Update()
  {
    SimulatedMember& leader = Leader();
    for (auto& [id, member] : mMembers) {
      if (id != mLeader) {
        UpdateFollower(member, leader);
      }
      if (member.mIsAlive) {
        member.Apply(mContext.mClock.Now());
        if (mContext.mNetwork.CanReach(id, kStoreName)) {
          member.mLastHeartbeat = mContext.mClock.Now();
        }
      }
    }
    Acknowledge();
  }

  /** Appends a commit to a leading member's log.
   *
   * @param aAcknowledge called once enough replicas have received the commit, if the
   * member still leads then */
  void Commit(SimulatedMember& aMember,
              const std::vector<std::string>& aIds,
              std::function<void()> aAcknowledge)
  {
    const std::uint64_t number = ++mNewestCommit;
    aMember.Append({ aMember.mTerm, number, mContext.mClock.Now() });
    aMember.mApplied = aMember.mLog.size();
    for (const std::string& id : aIds) {
      mLedger.OnCommitted(id, aMember.mId, number);
    }
    mUnreceived.push_back(
      { number, aMember.mId, aMember.mProcess, std::move(aAcknowledge) });
    Acknowledge();
  }

  void Kill(SimulatedMember& aMember)
  {
    aMember.mIsAlive = false;
    mContext.mJournal.Note(mName, aMember.mId + " is killed");
  }

  void Restart(SimulatedMember& aMember)
  {
    aMember.mIsAlive = true;
    aMember.mProcess++;
    // A restart ends a pause, and a leadership that another member has taken over.
    aMember.mPausedTerm = 0;
    aMember.mIsPrimary = aMember.mIsPrimary && aMember.mId == mLeader;
    mContext.mJournal.Note(mName, aMember.mId + " is restarted");
  }

  proxy::PromotionAnswer Promote(const proxy::PromotionCall& aCall)
  {
    mContext.mJournal.Note(
      mName,
      fmt::format(
        "{} calls for {} with token {}", aCall.mHolder, aCall.mMember, aCall.mToken));
    if (mTokenHolders.emplace(aCall.mToken, aCall.mHolder).first->second !=
        aCall.mHolder) {
      mContext.mJournal.Report(
        "ONE", { mName }, fmt::format("two instances used token {}", aCall.mToken));
    }
    if (aCall.mToken < mNewestToken) {
      if (mEnforcer == proxy::LeadershipEnforcer::Platform) {
        return proxy::PromotionAnswer::Refused;
      }
      mContext.mJournal.Report("ONE", { mName }, "a lower token followed a higher one");
    }
    mNewestToken = std::max(mNewestToken, aCall.mToken);
    const auto found = mMembers.find(aCall.mMember);
    if (found == mMembers.end() || !found->second.mIsAlive) {
      return proxy::PromotionAnswer::Refused;
    }
    if (aCall.mMember != mLeader) {
      mContext.mClock.After(kPromotionDelay,
                            [this, id = aCall.mMember] { ApplyPromotion(id); });
    }
    return proxy::PromotionAnswer::Accepted;
  }

  /** Checks that no commit of a replaced leader is acknowledged, at the time at which a
   * home accepts the answer. */
  void CheckLeader(const std::string& aId)
  {
    const CommitRecord* commit = mLedger.CommitOf(aId);
    if (mEnforcer == proxy::LeadershipEnforcer::Instances && commit != nullptr &&
        !Leader().HasReceived(commit->mNumber)) {
      mContext.mJournal.Report("ONE",
                               { aId, mName, commit->mMember },
                               aId + " was acknowledged for " + commit->mMember +
                                 ", while " + mLeader + " leads");
    }
  }

  /** @return the directory's entries of the members */
  [[nodiscard]] std::vector<proxy::MemberEntry> Entries()
  {
    std::vector<proxy::MemberEntry> entries;
    for (const auto& [id, member] : mMembers) {
      const auto returned = mReturnedEntries.find(id);
      if (returned != mReturnedEntries.end() &&
          mContext.mClock.Now() < returned->second.mRewrittenAt) {
        if (returned->second.mEntry) {
          entries.push_back(*returned->second.mEntry);
        }
        continue;
      }
      if (mContext.mClock.Now() - member.mLastHeartbeat > kEntryLifetime) {
        continue;
      }
      proxy::MemberEntry entry;
      entry.mId = id;
      entry.mGroup = mName;
      entry.mAddress = member.mId + ":1";
      entry.mZone = member.mZone;
      entry.mSlots = member.mSlots;
      entry.mDraining = member.mIsDraining;
      entry.mRole =
        member.mIsPrimary ? proxy::MemberRole::Primary : proxy::MemberRole::Replica;
      entry.mStartedAtMs = member.mProcess;
      proxy::MemberEntry& listed = mListed[id];
      entry.mRevision = listed.mRevision;
      entry.mSequence = listed.mSequence;
      // A member that can't reach the store can't rewrite its entry.
      const bool isWritten =
        member.mIsAlive && mContext.mNetwork.CanReach(id, kStoreName);
      if (isWritten && !(entry == listed)) {
        entry.mRevision = ++mRevision;
        entry.mSequence = ++mReports[id];
        listed = entry;
      }
      if (listed.mRevision > 0) {
        entries.push_back(listed);
      }
    }
    return entries;
  }

  /** Lists older entries until the members write theirs again, each at its next
   * heartbeat. Members without an older entry are missing until then. */
  void ReturnDirectory(const std::vector<proxy::MemberEntry>& aEntries,
                       const std::function<Duration()>& aNextHeartbeat)
  {
    mRevision = 0;
    mReturnedEntries.clear();
    for (const auto& [id, member] : mMembers) {
      ReturnedEntry& returned = mReturnedEntries[id];
      returned.mRewrittenAt = mContext.mClock.Now() + aNextHeartbeat();
      mListed[id] = {};
    }
    for (const proxy::MemberEntry& entry : aEntries) {
      mReturnedEntries[entry.mId].mEntry = entry;
      mListed[entry.mId] = entry;
      mRevision = std::max(mRevision, entry.mRevision);
    }
  }

private:
  struct ReturnedEntry
  {
    /** Nothing if the member isn't listed. */
    std::optional<proxy::MemberEntry> mEntry;
    TimePoint mRewrittenAt;
  };

  struct UnreceivedCommit
  {
    std::uint64_t mNumber = 0;
    std::string mMember;
    std::uint64_t mProcess = 0;
    std::function<void()> mAcknowledge;
  };

  static constexpr Duration kPromotionDelay = 300ms;
  static constexpr Duration kOldLeaderStopDelay = 1s;
  /** Three heartbeats of a member. */
  static constexpr Duration kEntryLifetime = 1500ms;

  void UpdateFollower(SimulatedMember& aMember, const SimulatedMember& aLeader)
  {
    const bool isConnected = aMember.mIsAlive && aLeader.mIsAlive &&
                             mContext.mNetwork.CanReach(aMember.mId, aLeader.mId);
    if (!isConnected) {
      aMember.mConnectedSince.reset();
      return;
    }
    const TimePoint now = mContext.mClock.Now();
    if (!aMember.mConnectedSince) {
      aMember.mConnectedSince = now;
    }
    if (aMember.mIsPrimary) {
      if (now - *aMember.mConnectedSince < kOldLeaderStopDelay) {
        return;
      }
      aMember.mIsPrimary = false;
    }
    if (aMember.mPausedTerm == 0) {
      aMember.Follow(aLeader, now);
    }
  }

  void Acknowledge()
  {
    std::vector<std::function<void()>> received;
    std::erase_if(mUnreceived, [&](UnreceivedCommit& aCommit) {
      const SimulatedMember& leader = mMembers.at(aCommit.mMember);
      if (!leader.mIsAlive || !leader.mIsPrimary || leader.mProcess != aCommit.mProcess) {
        return true;
      }
      const auto count =
        std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& aMember) {
          return aMember.first != aCommit.mMember &&
                 aMember.second.HasReceived(aCommit.mNumber);
        });
      if (count < static_cast<std::ptrdiff_t>(mSynchronousReplicas)) {
        return false;
      }
      received.push_back(std::move(aCommit.mAcknowledge));
      return true;
    });
    for (const auto& acknowledge : received) {
      acknowledge();
    }
  }

  void ApplyPromotion(const std::string& aId)
  {
    SimulatedMember& member = mMembers.at(aId);
    if (!member.mIsAlive || aId == mLeader) {
      return;
    }
    mPromotions++;
    mLeader = aId;
    member.mIsPrimary = true;
    member.mTerm = ++mTerm;
    member.mApplied = member.mLog.size();
    mContext.mJournal.Note(mName, fmt::format("{} leads term {}", aId, mTerm));
    for (auto& [id, other] : mMembers) {
      other.mPausedTerm = 0;
      other.mConnectedSince.reset();
      if (mEnforcer == proxy::LeadershipEnforcer::Platform && id != aId) {
        other.mIsPrimary = false;
      }
    }
    mLedger.OnPromoted(mName, member, MayLose());
  }

  ExplorationContext& mContext;
  StatementLedger& mLedger;
  std::string mName;
  proxy::LeadershipEnforcer mEnforcer;
  std::uint32_t mSynchronousReplicas;
  std::map<std::string, SimulatedMember> mMembers;
  std::string mLeader;
  std::uint64_t mTerm = 1;
  std::uint64_t mNewestToken = 0;
  std::map<std::uint64_t, std::string> mTokenHolders;
  std::uint64_t mNewestCommit = 0;
  std::uint64_t mRevision = 0;
  std::size_t mPromotions = 0;
  std::vector<UnreceivedCommit> mUnreceived;
  std::map<std::string, proxy::MemberEntry> mListed;
  /** Number of the last report of each member. */
  std::map<std::string, std::uint64_t> mReports;
  /** Entries of an older state of the store that has returned to it. */
  std::map<std::string, ReturnedEntry> mReturnedEntries;
};

} // namespace papayaspindle::exploration
