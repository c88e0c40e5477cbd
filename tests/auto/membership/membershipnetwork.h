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

/** Simulated network of Membership nodes on a manual clock, with message loss,
 * unresponsive and paused nodes, and cut-off zones. */
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
    PublishListing();
  }

  void PublishListing()
  {
    std::vector<ListedCandidate> listed;
    for (const auto& [id, info] : mInfos) {
      listed.push_back({ info, mListedLeaving.contains(id) });
    }
    for (auto& [id, node] : mNodes) {
      CarryOut(id, node->HandleListing(listed, mNow));
    }
  }

  /** Runs until the time has passed or the condition holds.
   *
   * @return simulated time that passed, in seconds */
  template<typename Condition>
  double RunUntil(std::chrono::milliseconds aMaxTime, Condition aCondition)
  {
    const TimePoint start = mNow;
    while (mNow - start < aMaxTime && !aCondition()) {
      Step();
    }
    return std::chrono::duration<double>(mNow - start).count();
  }
  void Run(std::chrono::milliseconds aTime)
  {
    RunUntil(aTime, [] { return false; });
  }

  /** @return whether every responsive node but the instance itself sees the instance with
   * this liveness */
  bool AllSee(const InstanceId& aInstance, Liveness aLiveness) const
  {
    for (const auto& [id, node] : mNodes) {
      const InstanceEntry* entry = node->Table().Find(aInstance);
      const bool sees =
        entry != nullptr && entry->mHasAnswered && entry->mInfo.mLiveness == aLiveness;
      if (id != aInstance && !mUnresponsive.contains(id) && !sees) {
        return false;
      }
    }
    return true;
  }
  /** @return whether every responsive node counts exactly this many live instances */
  bool AllCountLive(std::size_t aLive) const
  {
    for (const auto& [id, node] : mNodes) {
      if (!mUnresponsive.contains(id) && node->Table().Live().size() != aLive) {
        return false;
      }
    }
    return true;
  }

  void CarryOut(const InstanceId& aNode, const MembershipActions& aActions)
  {
    for (const MembershipAction& action : aActions) {
      if (const auto* probe = std::get_if<SendProbe>(&action)) {
        Deliver(aNode, *probe);
      } else if (std::holds_alternative<SelfMarkedLeaving>(action)) {
        mMarkedLeaving.insert(aNode);
      }
    }
  }

  TimePoint mNow{ std::chrono::hours(1) };
  double mLossRate = 0;
  std::map<InstanceId, std::unique_ptr<Membership>> mNodes;
  std::map<InstanceId, InstanceInfo> mInfos;
  std::set<InstanceId> mListedLeaving;
  std::set<InstanceId> mUnresponsive;
  std::set<InstanceId> mPaused;
  std::set<InstanceId> mMarkedLeaving;
  AvailabilityZone mCutZone;

private:
  struct ProbeTimeout
  {
    InstanceId mNode;
    ProbeId mProbe;
  };

  void Step()
  {
    mNow += std::chrono::milliseconds(100);
    ++mStepCount;
    while (!mProbeTimeouts.empty() && mProbeTimeouts.begin()->first <= mNow) {
      const ProbeTimeout timeout = mProbeTimeouts.begin()->second;
      mProbeTimeouts.erase(mProbeTimeouts.begin());
      if (!IsStopped(timeout.mNode)) {
        CarryOut(timeout.mNode,
                 mNodes[timeout.mNode]->HandleNoReply(timeout.mProbe, mNow));
      }
    }
    std::size_t index = mStepCount;
    for (auto& [id, node] : mNodes) {
      if (index++ % 2 == 0 && !IsStopped(id)) {
        CarryOut(id, node->Tick(mNow));
      }
    }
  }

  bool IsStopped(const InstanceId& aNode) const
  {
    return mUnresponsive.contains(aNode) || mPaused.contains(aNode);
  }

  bool IsDelivered(const InstanceId& aFrom, const InstanceId& aTo)
  {
    const bool cut = (mInfos[aFrom].mAvailabilityZone == mCutZone) !=
                     (mInfos[aTo].mAvailabilityZone == mCutZone);
    const double draw = static_cast<double>(mRandom() % 10000) / 10000;
    return mNodes.contains(aTo) && !IsStopped(aTo) && !cut && draw >= mLossRate;
  }

  void Deliver(const InstanceId& aFrom, const SendProbe& aProbe)
  {
    const InstanceId& to = aProbe.mReceiver;
    if (!IsDelivered(aFrom, to)) {
      mProbeTimeouts.emplace(mNow + aProbe.mTimeout,
                             ProbeTimeout{ aFrom, aProbe.mProbe });
      return;
    }
    ProbeAnswer answer = mNodes[to]->HandleProbe(aProbe.mMessage, mNow);
    CarryOut(to, answer.mActions);
    if (!aProbe.mMessage.mTarget.IsEmpty()) {
      if (const auto help = mNodes[to]->MakeHelperProbe(aProbe.mMessage.mTarget, mNow)) {
        const std::size_t before = mProbeTimeouts.size();
        Deliver(to, *help);
        answer.mReply.mTargetAnswered = mProbeTimeouts.size() == before;
      }
    }
    if (!IsDelivered(to, aFrom)) {
      mProbeTimeouts.emplace(mNow + aProbe.mTimeout,
                             ProbeTimeout{ aFrom, aProbe.mProbe });
      return;
    }
    CarryOut(aFrom, mNodes[aFrom]->HandleReply(aProbe.mProbe, answer.mReply, mNow));
  }

  std::mt19937_64 mRandom;
  std::size_t mStepCount = 0;
  std::multimap<TimePoint, ProbeTimeout> mProbeTimeouts;
};

} // namespace papayaspindle
