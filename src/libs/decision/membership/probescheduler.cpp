#include "decision/membership/probescheduler.h"

#include "decision/membership/delegatechooser.h"

#include <algorithm>
#include <map>
#include <utility>

namespace papayaspindle {

namespace {

// Most instances of a lagging list may be dead, so a joining instance probes several.
constexpr std::size_t kJoinProbes = 3;
constexpr std::size_t kMaxVerifyProbes = 16;
// Limits the burst of probes when a large zone is lost.
constexpr std::size_t kMaxProbesPerZone = 64;

bool
IsSuspect(const InstanceEntry& aEntry)
{
  return aEntry.mHasAnswered && aEntry.mInfo.mLiveness == Liveness::Suspect;
}

bool
IsDead(const InstanceEntry& aEntry)
{
  return aEntry.mHasAnswered && aEntry.mInfo.mLiveness == Liveness::Dead;
}

} // namespace

ProbeScheduler::ProbeScheduler(MembershipSettings aSettings, RandomHook aRandom)
  : mSettings(aSettings)
  , mRandom(std::move(aRandom))
{
}

std::size_t
ProbeScheduler::RandomBelow(std::size_t aBound)
{
  return static_cast<std::size_t>(mRandom() % aBound);
}

template<typename Item>
void
ProbeScheduler::Shuffle(std::vector<Item>& aItems)
{
  for (std::size_t i = aItems.size(); i > 1; --i) {
    std::swap(aItems[i - 1], aItems[RandomBelow(i)]);
  }
}

std::vector<ScheduledProbe>
ProbeScheduler::DueProbes(const InstanceTable& aTable, bool aDelegate, TimePoint aNow)
{
  if (mNextProbeAt && aNow < *mNextProbeAt) {
    return {};
  }
  const bool isBehind = !mNextProbeAt || aNow - *mNextProbeAt > mSettings.mProbeInterval;
  mNextProbeAt = (isBehind ? aNow : *mNextProbeAt) + mSettings.mProbeInterval;
  Probes probes;
  AddRoundProbes(aTable, probes);
  AddVerifyProbes(aTable, aNow, probes);
  AddRejoinProbes(aTable, aNow, probes);
  if (aDelegate && !IsJoining(aTable, aNow)) {
    AddCrossZoneProbes(aTable, probes);
  }
  MarkAntiEntropyProbes(aTable, aNow, probes);
  return probes;
}

std::optional<InstanceId>
ProbeScheduler::NextRoundTarget(const InstanceTable& aTable)
{
  while (!mRoundTargets.empty()) {
    const InstanceId next = mRoundTargets.back();
    mRoundTargets.pop_back();
    const InstanceEntry* entry = aTable.Find(next);
    if (entry != nullptr && !IsDead(*entry)) {
      return next;
    }
  }
  return std::nullopt;
}

void
ProbeScheduler::AddRoundProbes(const InstanceTable& aTable, Probes& aProbes)
{
  const AvailabilityZone& zone = aTable.Self().mAvailabilityZone;
  bool isAlone = true;
  std::vector<const InstanceId*> round;
  for (const auto& [id, entry] : aTable.Entries()) {
    if (entry.mInfo.mAvailabilityZone == zone && !IsDead(entry)) {
      round.push_back(&id);
      isAlone = isAlone && !entry.mHasAnswered;
    }
  }
  const std::size_t wanted = isAlone ? kJoinProbes : 1;
  while (aProbes.size() < wanted) {
    std::optional<InstanceId> next = NextRoundTarget(aTable);
    if (!next) {
      // Probing in shuffled rounds bounds the time until each instance is probed again.
      Shuffle(round);
      for (const InstanceId* id : round) {
        mRoundTargets.push_back(*id);
      }
      next = NextRoundTarget(aTable);
    }
    const bool repeated =
      next && std::any_of(aProbes.begin(), aProbes.end(), [&](const auto& aProbe) {
        return aProbe.mTarget == *next;
      });
    if (!next || repeated) {
      return;
    }
    aProbes.push_back({ *next, ProbeKind::Round });
  }
}

void
ProbeScheduler::AddVerifyProbes(const InstanceTable& aTable,
                                TimePoint aNow,
                                Probes& aProbes)
{
  Probes due;
  for (const auto& [id, entry] : aTable.Entries()) {
    // Suspects of other zones are probed too: the report that ended the suspicion may
    // have been lost.
    const bool isDue =
      entry.mUnresponsiveHere || aNow - entry.mStateSince >= mSettings.mVerifyDelay;
    if (isDue && IsSuspect(entry)) {
      due.push_back({ id, ProbeKind::Verify });
    }
  }
  Shuffle(due);
  due.resize(std::min(due.size(), kMaxVerifyProbes));
  aProbes.insert(aProbes.end(), due.begin(), due.end());
}

void
ProbeScheduler::AddRejoinProbes(const InstanceTable& aTable,
                                TimePoint aNow,
                                Probes& aProbes)
{
  if (mNextRejoinAt && aNow < *mNextRejoinAt) {
    return;
  }
  mNextRejoinAt = aNow + mSettings.mRejoinInterval;
  std::vector<InstanceId> dead;
  for (const auto& [id, entry] : aTable.Entries()) {
    if (IsDead(entry) &&
        entry.mInfo.mAvailabilityZone == aTable.Self().mAvailabilityZone) {
      dead.push_back(id);
    }
  }
  if (!dead.empty()) {
    aProbes.push_back({ dead[RandomBelow(dead.size())], ProbeKind::Rejoin });
  }
}

bool
ProbeScheduler::IsJoining(const InstanceTable& aTable, TimePoint aNow)
{
  if (!mStartedAt) {
    mStartedAt = aNow;
  }
  if (aNow - *mStartedAt >= mSettings.mJoinPeriod) {
    return false;
  }
  const auto& entries = aTable.Entries();
  return std::any_of(entries.begin(), entries.end(), [&](const auto& aPair) {
    return aPair.second.mInfo.mAvailabilityZone == aTable.Self().mAvailabilityZone;
  });
}

void
ProbeScheduler::AddCrossZoneProbes(const InstanceTable& aTable, Probes& aProbes)
{
  std::set<AvailabilityZone> liveZones{ aTable.Self().mAvailabilityZone };
  const std::vector<const InstanceInfo*> live = aTable.LivePointers();
  for (const auto& [zone, ranked] : RankByZone(live)) {
    if (!liveZones.insert(zone).second) {
      continue;
    }
    RankedZone alive;
    for (const InstanceInfo* instance : ranked) {
      if (instance->mLiveness == Liveness::Alive) {
        alive.push_back(instance);
      }
    }
    // One more instance is probed for each suspect. When a whole zone is lost, the number
    // of suspects thus doubles with each round instead of growing by two.
    const std::size_t suspects = ranked.size() - alive.size();
    const std::size_t width = std::min(kDelegatesPerZone + suspects, kMaxProbesPerZone);
    alive.resize(std::min(alive.size(), width));
    for (const InstanceInfo* instance : alive) {
      aProbes.push_back({ instance->mInstance, ProbeKind::CrossZone });
    }
  }
  AddLostZoneProbes(aTable, liveZones, aProbes);
}

void
ProbeScheduler::AddLostZoneProbes(const InstanceTable& aTable,
                                  const std::set<AvailabilityZone>& aLiveZones,
                                  Probes& aProbes)
{
  std::map<AvailabilityZone, std::vector<InstanceId>> lost;
  for (const auto& [id, entry] : aTable.Entries()) {
    if (!aLiveZones.contains(entry.mInfo.mAvailabilityZone)) {
      lost[entry.mInfo.mAvailabilityZone].push_back(id);
    }
  }
  for (auto& [zone, instances] : lost) {
    Shuffle(instances);
    instances.resize(std::min(instances.size(), kDelegatesPerZone));
    for (const InstanceId& instance : instances) {
      aProbes.push_back({ instance, ProbeKind::Rejoin });
    }
  }
}

void
ProbeScheduler::MarkAntiEntropyProbes(const InstanceTable& aTable,
                                      TimePoint aNow,
                                      Probes& aProbes)
{
  if (aProbes.empty() || (mNextAntiEntropyAt && aNow < *mNextAntiEntropyAt)) {
    return;
  }
  mNextAntiEntropyAt = aNow + mSettings.mAntiEntropyInterval;
  const AvailabilityZone& zone = aTable.Self().mAvailabilityZone;
  std::vector<ScheduledProbe*> otherZoneProbes;
  bool hasOwnZoneProbe = false;
  for (ScheduledProbe& probe : aProbes) {
    if (aTable.Find(probe.mTarget)->mInfo.mAvailabilityZone != zone) {
      otherZoneProbes.push_back(&probe);
    } else if (!hasOwnZoneProbe) {
      probe.mAntiEntropy = true;
      hasOwnZoneProbe = true;
    }
  }
  if (!otherZoneProbes.empty()) {
    otherZoneProbes[RandomBelow(otherZoneProbes.size())]->mAntiEntropy = true;
  }
}

void
ProbeScheduler::RequestAntiEntropy()
{
  mNextAntiEntropyAt.reset();
}

std::vector<InstanceInfo>
ProbeScheduler::ChooseHelpers(const InstanceTable& aTable, const InstanceId& aTarget)
{
  std::vector<InstanceInfo> helpers;
  for (const auto& [id, entry] : aTable.Entries()) {
    if (entry.mHasAnswered && entry.mInfo.mLiveness == Liveness::Alive && id != aTarget &&
        entry.mInfo.mAvailabilityZone == aTable.Self().mAvailabilityZone) {
      helpers.push_back(entry.mInfo);
    }
  }
  Shuffle(helpers);
  helpers.resize(std::min(helpers.size(), mSettings.mIndirectProbes));
  return helpers;
}

} // namespace papayaspindle
