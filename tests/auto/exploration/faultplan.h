#pragma once

#include "exploration/exploration.h"

#include <string>
#include <vector>

namespace papayaspindle::exploration {

/** Random faults of a sequence, each of which ends after a random time. */
class FaultPlan
{
public:
  explicit FaultPlan(Exploration& aExploration)
    : mExploration(aExploration)
    , mContext(aExploration.mContext)
  {
    for (const auto& [name, instance] : aExploration.mInstances) {
      mInstances.push_back(name);
    }
    for (const auto& [name, group] : aExploration.mGroups) {
      for (const auto& [id, member] : group->Members()) {
        mMembers.emplace_back(name, id);
      }
    }
  }

  /** Lets answers be lost, late or refused at random from now on. */
  void StartRandomFaults()
  {
    mContext.mLostAnswers = mContext.mRandom.Below(12);
    mContext.mLateAnswers = mContext.mRandom.Below(20);
    mContext.mRefusals = mContext.mRandom.Below(30);
  }

  void InjectOne()
  {
    switch (mContext.mRandom.Below(15)) {
      case 0:
        return KillInstance();
      case 1:
        return SuspendInstance();
      case 2:
        return Cut(AnyInstance(), kStoreName, 6s);
      case 3:
        return CutFromMembers();
      case 4:
        return Cut(AnyInstance(), AnyInstance(), 4s);
      case 5:
        return KillMember();
      case 6:
        return mExploration.mMembers.ResetSome(AnyMember().second, 400);
      case 7:
        return Cut(AnyMember().second, AnyMember().second, 4s);
      case 8:
        return Cut(AnyMember().second, kStoreName, 4s);
      case 9:
        return ChangeMember();
      case 10:
        return CutAllFromStore();
      case 11:
        return ChangeConfiguration();
      case 12:
        return CutZone();
      case 13:
        return IsolateLeader();
      default:
        return DrainMember();
    }
  }

  /** Ends all faults. */
  void EndAll()
  {
    mIsOver = true;
    mContext.mLostAnswers = 0;
    mContext.mLateAnswers = 0;
    mContext.mRefusals = 0;
    mContext.mNetwork.HealAll();
    mExploration.ChangeConfiguration({});
    for (const std::string& name : mInstances) {
      mExploration.ResumeInstance(name);
      mExploration.StartInstance(name);
    }
    for (const auto& [group, id] : mMembers) {
      SimulatedMember& member = Member(group, id);
      Restart(group, id);
      member.mSlowness = 1;
      member.mReceiveLag = 5ms;
      member.mApplyLag = 10ms;
      member.mIsDraining = false;
    }
  }

private:
  std::string AnyInstance()
  {
    return mInstances[mContext.mRandom.Below(mInstances.size())];
  }
  /** @return some member; a leader more often than another member, because its faults
   * have the most effects */
  std::pair<std::string, std::string> AnyMember()
  {
    if (mContext.mRandom.Chance(300)) {
      auto group = mExploration.mGroups.begin();
      std::advance(group, mContext.mRandom.Below(mExploration.mGroups.size()));
      return { group->first, group->second->Leader().mId };
    }
    return mMembers[mContext.mRandom.Below(mMembers.size())];
  }
  SimulatedMember& Member(const std::string& aGroup, const std::string& aId)
  {
    return mExploration.mGroups.at(aGroup)->At(aId);
  }

  /** Runs a task at the end of a fault, unless all faults have ended before. */
  void EndAfter(Duration aLongest, std::function<void()> aTask)
  {
    mContext.mClock.After(mContext.mRandom.Between(100ms, aLongest),
                          [this, task = std::move(aTask)] {
                            if (!mIsOver) {
                              task();
                            }
                          });
  }

  void KillInstance()
  {
    const std::string name = AnyInstance();
    mExploration.KillInstance(name, mContext.mRandom.Chance(300));
    EndAfter(4s, [this, name] { mExploration.StartInstance(name); });
  }

  void SuspendInstance()
  {
    const std::string name = AnyInstance();
    mExploration.SuspendInstance(name);
    EndAfter(5s, [this, name] { mExploration.ResumeInstance(name); });
  }

  void Cut(const std::string& aLeft, const std::string& aRight, Duration aLongest)
  {
    if (aLeft == aRight) {
      return;
    }
    mContext.mNetwork.Cut(aLeft, aRight);
    EndAfter(aLongest, [this, aLeft, aRight] { mContext.mNetwork.Heal(aLeft, aRight); });
  }

  void CutFromMembers()
  {
    const std::string name = AnyInstance();
    for (const auto& [group, id] : mMembers) {
      if (mContext.mRandom.Chance(400)) {
        Cut(name, id, 4s);
      }
    }
  }

  void CutAllFromStore()
  {
    for (const std::string& name : mInstances) {
      Cut(name, kStoreName, 6s);
    }
  }

  /** Cuts the instances and members of a zone from all others and from the store. */
  void CutZone()
  {
    const std::string zone = mExploration.mInstances.at(AnyInstance())->Zone();
    std::vector<std::string> inside;
    std::vector<std::string> outside{ kStoreName };
    for (const std::string& name : mInstances) {
      (mExploration.mInstances.at(name)->Zone() == zone ? inside : outside)
        .push_back(name);
    }
    for (const auto& [group, id] : mMembers) {
      (Member(group, id).mZone == zone ? inside : outside).push_back(id);
    }
    CutBetween(inside, outside, 6s);
  }

  /** Leaves a leader only with some of the instances. They lack the store and the other
   * instances, and may still reach the leader's followers. */
  void IsolateLeader()
  {
    auto group = mExploration.mGroups.begin();
    std::advance(group, mContext.mRandom.Below(mExploration.mGroups.size()));
    const std::string leader = group->second->Leader().mId;
    std::vector<std::string> followers;
    for (const auto& [id, member] : group->second->Members()) {
      if (id != leader) {
        followers.push_back(id);
      }
    }
    std::vector<std::string> inside;
    std::vector<std::string> outside{ kStoreName };
    for (const std::string& name : mInstances) {
      (mContext.mRandom.Chance(400) ? inside : outside).push_back(name);
    }
    CutBetween({ leader }, followers, 8s);
    CutBetween({ leader }, outside, 8s);
    CutBetween(inside, outside, 8s);
    if (mContext.mRandom.Chance(500)) {
      CutBetween(inside, followers, 8s);
    }
  }

  void CutBetween(const std::vector<std::string>& aLeft,
                  const std::vector<std::string>& aRight,
                  Duration aLongest)
  {
    for (const std::string& left : aLeft) {
      for (const std::string& right : aRight) {
        mContext.mNetwork.Cut(left, right);
      }
    }
    EndAfter(aLongest, [this, aLeft, aRight] {
      for (const std::string& left : aLeft) {
        for (const std::string& right : aRight) {
          mContext.mNetwork.Heal(left, right);
        }
      }
    });
  }

  void KillMember()
  {
    const auto [group, id] = AnyMember();
    mExploration.KillMember(
      *mExploration.mGroups.at(group), Member(group, id), mContext.mRandom.Chance(400));
    EndAfter(6s, [this, group = group, id = id] { Restart(group, id); });
  }

  void Restart(const std::string& aGroup, const std::string& aId)
  {
    SimulatedMember& member = Member(aGroup, aId);
    if (!member.mIsAlive) {
      mExploration.mGroups.at(aGroup)->Restart(member);
    }
  }

  void ChangeMember()
  {
    const auto [group, id] = AnyMember();
    SimulatedMember& member = Member(group, id);
    member.mSlowness = static_cast<int>(1 + mContext.mRandom.Below(7));
    member.mReceiveLag = mContext.mRandom.Between(1ms, 300ms);
    member.mApplyLag = mContext.mRandom.Between(5ms, 2500ms);
    EndAfter(3s, [&member] {
      member.mSlowness = 1;
      member.mReceiveLag = 5ms;
      member.mApplyLag = 10ms;
    });
  }

  void ChangeConfiguration()
  {
    const std::vector<std::string>& customers = mExploration.mSetup.mCustomers;
    const bool withdraws = !customers.empty() && mContext.mRandom.Chance(600);
    mExploration.ChangeConfiguration(
      withdraws ? customers[mContext.mRandom.Below(customers.size())] : std::string());
  }

  void DrainMember()
  {
    const auto [group, id] = AnyMember();
    SimulatedMember& member = Member(group, id);
    member.mIsDraining = true;
    EndAfter(5s, [&member] { member.mIsDraining = false; });
  }

  Exploration& mExploration;
  ExplorationContext& mContext;
  std::vector<std::string> mInstances;
  /** Group and id of each member. */
  std::vector<std::pair<std::string, std::string>> mMembers;
  bool mIsOver = false;
};

} // namespace papayaspindle::exploration
