#pragma once

#include "decision/membership/membership.h"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle {

/** Membership nodes on a manual clock, with message loss, dead nodes and cut zones. */
class MembershipNetwork
{
public:
  explicit MembershipNetwork(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  static InstanceInfo Info(const std::string& aName, const std::string& aZone)
  {
    return { InstanceId(aName), AvailabilityZone(aZone), aName,
             aName + "c",       Liveness::Alive,         1 };
  }

  void Start(const InstanceInfo& aInfo)
  {
    const std::uint64_t seed = mRandom();
    mNodes[aInfo.mInstance] = std::make_unique<Membership>(
      aInfo, MembershipSettings(), [engine = std::mt19937_64(seed)]() mutable {
        return engine();
      });
    mInfos[aInfo.mInstance] = aInfo;
  }

  void StartZones(int aZones, int aPerZone)
  {
    for (int zone = 0; zone < aZones; ++zone) {
      for (int i = 0; i < aPerZone; ++i) {
        Start(Info(fmt::format("{}{}", char('a' + zone), i),
                   std::string(1, char('a' + zone))));
      }
    }
    List();
  }

  void List()
  {
    std::vector<ListedCandidate> listed;
    for (const auto& [id, info] : mInfos) {
      listed.push_back({ info, mListedLeaving.contains(id) });
    }
    for (auto& [id, node] : mNodes) {
      Do(id, node->HandleListing(listed, mNow));
    }
  }

  /** Runs until the time has passed or the condition holds; returns the seconds used. */
  template<typename Condition>
  double RunUntil(std::chrono::milliseconds aMost, Condition aCondition)
  {
    const TimePoint start = mNow;
    while (mNow - start < aMost && !aCondition()) {
      Step();
    }
    return std::chrono::duration<double>(mNow - start).count();
  }
  void Run(std::chrono::milliseconds aTime)
  {
    RunUntil(aTime, [] { return false; });
  }

  /** Whether every running node sees the instance with this liveness. */
  bool AllSee(const InstanceId& aInstance, Liveness aLiveness) const
  {
    for (const auto& [id, node] : mNodes) {
      const InstanceEntry* entry = node->Table().Find(aInstance);
      const bool sees =
        entry != nullptr && entry->mHeard && entry->mInfo.mLiveness == aLiveness;
      if (id != aInstance && !mSilent.contains(id) && !sees) {
        return false;
      }
    }
    return true;
  }
  /** Whether every running node counts exactly this many live instances. */
  bool AllCount(std::size_t aLive) const
  {
    for (const auto& [id, node] : mNodes) {
      if (!mSilent.contains(id) && node->Table().Live().size() != aLive) {
        return false;
      }
    }
    return true;
  }

  void Do(const InstanceId& aNode, const MembershipActions& aActions)
  {
    for (const MembershipAction& action : aActions) {
      if (const auto* probe = std::get_if<SendProbe>(&action)) {
        Deliver(aNode, *probe);
      } else if (std::holds_alternative<SelfMarkedLeaving>(action)) {
        mMarked.insert(aNode);
      }
    }
  }

  TimePoint mNow{ std::chrono::hours(1) };
  double mLoss = 0;
  std::map<InstanceId, std::unique_ptr<Membership>> mNodes;
  std::map<InstanceId, InstanceInfo> mInfos;
  std::set<InstanceId> mListedLeaving;
  std::set<InstanceId> mSilent;
  std::set<InstanceId> mPaused;
  std::set<InstanceId> mMarked;
  AvailabilityZone mCutZone;

private:
  struct Silence
  {
    InstanceId mNode;
    ProbeId mProbe;
  };

  void Step()
  {
    mNow += std::chrono::milliseconds(100);
    ++mSteps;
    while (!mSilences.empty() && mSilences.begin()->first <= mNow) {
      const Silence silence = mSilences.begin()->second;
      mSilences.erase(mSilences.begin());
      if (!Stopped(silence.mNode)) {
        Do(silence.mNode, mNodes[silence.mNode]->HandleSilence(silence.mProbe, mNow));
      }
    }
    std::size_t index = mSteps;
    for (auto& [id, node] : mNodes) {
      if (index++ % 2 == 0 && !Stopped(id)) {
        Do(id, node->Tick(mNow));
      }
    }
  }

  bool Stopped(const InstanceId& aNode) const
  {
    return mSilent.contains(aNode) || mPaused.contains(aNode);
  }

  bool Passes(const InstanceId& aFrom, const InstanceId& aTo)
  {
    const bool cut = (mInfos[aFrom].mAvailabilityZone == mCutZone) !=
                     (mInfos[aTo].mAvailabilityZone == mCutZone);
    const double draw = static_cast<double>(mRandom() % 10000) / 10000;
    return mNodes.contains(aTo) && !Stopped(aTo) && !cut && draw >= mLoss;
  }

  void Deliver(const InstanceId& aFrom, const SendProbe& aProbe)
  {
    const InstanceId& to = aProbe.mReceiver;
    if (!Passes(aFrom, to)) {
      mSilences.emplace(mNow + aProbe.mTimeout, Silence{ aFrom, aProbe.mProbe });
      return;
    }
    ProbeAnswer answer = mNodes[to]->HandleProbe(aProbe.mMessage, mNow);
    Do(to, answer.mActions);
    if (!aProbe.mMessage.mTarget.IsEmpty()) {
      if (const auto help = mNodes[to]->HelpProbe(aProbe.mMessage.mTarget, mNow)) {
        const std::size_t before = mSilences.size();
        Deliver(to, *help);
        answer.mReply.mTargetAnswered = mSilences.size() == before;
      }
    }
    if (!Passes(to, aFrom)) {
      mSilences.emplace(mNow + aProbe.mTimeout, Silence{ aFrom, aProbe.mProbe });
      return;
    }
    Do(aFrom, mNodes[aFrom]->HandleReply(aProbe.mProbe, answer.mReply, mNow));
  }

  std::mt19937_64 mRandom;
  std::size_t mSteps = 0;
  std::multimap<TimePoint, Silence> mSilences;
};

} // namespace papayaspindle
