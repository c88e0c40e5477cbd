#include "proxy/zonereachability.h"

#include "core/stablehash.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration kCheckInterval = 100ms;
/** Pause between pings: with the times below, a cut is known in about 0.8 s, before the
 * balancer's second readiness probe (one a second). */
constexpr Duration kPingInterval = 400ms;
/** Many round trips between zones of a region (3 to 16 ms). */
constexpr Duration kPingPatience = 200ms;
/** Time for the witnesses to accept a connection; above the connect timeout of the links
 * between instances (250 ms). */
constexpr Duration kWitnessTime = 300ms;
/** Witnesses that are asked: three instances of one zone rarely stop together. */
constexpr std::size_t kWitnesses = 3;

} // namespace

ZoneReachability::ZoneReachability(std::string aInstance,
                                   std::string aZone,
                                   ZoneReachabilityHooks aHooks)
  : mInstance(std::move(aInstance))
  , mZone(std::move(aZone))
  , mHooks(std::move(aHooks))
{
}

void
ZoneReachability::SetInstances(std::span<const RegisteredInstance> aInstances)
{
  std::map<std::string, Zone, std::less<>> zones;
  mZoneOf.clear();
  for (const RegisteredInstance& instance : aInstances) {
    if (instance.mZone == mZone || instance.mIsLeaving) {
      continue;
    }
    mZoneOf[instance.mInstance] = instance.mZone;
    zones[instance.mZone].mInstances.push_back(instance.mInstance);
  }
  for (auto& [name, zone] : zones) {
    std::vector<std::string> instances = std::move(zone.mInstances);
    std::sort(
      instances.begin(),
      instances.end(),
      [&](const std::string& aLeft, const std::string& aRight) {
        return StableHash({ mInstance, aLeft }) < StableHash({ mInstance, aRight });
      });
    const auto known = mZones.find(name);
    if (known != mZones.end()) {
      zone = std::move(known->second);
    }
    zone.mInstances = std::move(instances);
    zone.mContact %= zone.mInstances.size();
  }
  mZones = std::move(zones);
}

void
ZoneReachability::OnSign(const std::string& aInstance, TimePoint aNow)
{
  const auto name = mZoneOf.find(aInstance);
  if (name == mZoneOf.end()) {
    return;
  }
  Zone& zone = mZones.find(name->second)->second;
  zone.mHeardAt = aNow;
  zone.mAwaitedSince.reset();
  const bool wasSuspected = zone.mSuspectedSince.has_value();
  zone.mSuspectedSince.reset();
  if (wasSuspected) {
    const auto place =
      std::find(zone.mInstances.begin(), zone.mInstances.end(), aInstance);
    zone.mContact =
      static_cast<std::size_t>(std::distance(zone.mInstances.begin(), place));
  }
  if (zone.mIsUnreachable) {
    zone.mIsUnreachable = false;
    Judge(aNow);
  }
}

void
ZoneReachability::OnLost(const std::string& aInstance, TimePoint aNow)
{
  const auto name = mZoneOf.find(aInstance);
  if (name == mZoneOf.end()) {
    return;
  }
  Zone& zone = mZones.find(name->second)->second;
  if (zone.mInstances[zone.mContact] == aInstance && !zone.mSuspectedSince) {
    AskWitnesses(zone, aNow);
  }
}

void
ZoneReachability::Ping(Zone& aZone, TimePoint aNow)
{
  aZone.mPingedAt = aNow;
  if (!aZone.mAwaitedSince) {
    aZone.mAwaitedSince = aNow;
  }
  mHooks.mPing(aZone.mInstances[aZone.mContact]);
}

void
ZoneReachability::AskWitnesses(Zone& aZone, TimePoint aNow)
{
  aZone.mSuspectedSince = aNow;
  aZone.mPingedAt = aNow;
  const std::size_t count = std::min(kWitnesses, aZone.mInstances.size());
  for (std::size_t index = 0; index < count; index++) {
    // The silent one is asked last: it may have lost only its connection.
    aZone.mContact = (aZone.mContact + 1) % aZone.mInstances.size();
    mHooks.mPing(aZone.mInstances[aZone.mContact]);
  }
}

void
ZoneReachability::Check(const std::string& aName, Zone& aZone, TimePoint aNow)
{
  if (!aZone.mSuspectedSince) {
    if (aZone.mAwaitedSince && aNow - *aZone.mAwaitedSince > kPingPatience) {
      AskWitnesses(aZone, aNow);
    } else if (aNow - aZone.mPingedAt >= kPingInterval) {
      Ping(aZone, aNow);
    }
    return;
  }
  if (aNow - *aZone.mSuspectedSince < kWitnessTime) {
    return;
  }
  const bool isHeard = mHooks.mMemberHeardAt(aName) > *aZone.mSuspectedSince;
  // A zone that was never heard may not have started yet.
  const bool isUnreachable = aZone.mHeardAt && !isHeard;
  if (isUnreachable != aZone.mIsUnreachable) {
    aZone.mIsUnreachable = isUnreachable;
    mHooks.mLog(
      LogLevel::Warning,
      isUnreachable ? "zone_unreachable" : "zone_reachable",
      { { "zone", aName }, { "instances", std::to_string(aZone.mInstances.size()) } });
  }
  AskWitnesses(aZone, aNow);
}

void
ZoneReachability::Judge(TimePoint aNow)
{
  const auto unreachable = static_cast<std::size_t>(
    std::count_if(mZones.begin(), mZones.end(), [](const auto& aZone) {
      return aZone.second.mIsUnreachable;
    }));
  const std::size_t all = mZones.size() + 1;
  const bool isCutOff = (all - unreachable) * 2 < all;
  if (isCutOff == mCutOffSince.has_value()) {
    return;
  }
  mCutOffSince = isCutOff ? std::optional(aNow) : std::nullopt;
  mHooks.mLog(
    LogLevel::Warning,
    isCutOff ? "zones_cut_off" : "zones_regained",
    { { "unreachable", std::to_string(unreachable) }, { "zones", std::to_string(all) } });
}

void
ZoneReachability::OnTimer(TimePoint aNow)
{
  if (aNow < mNextCheck) {
    return;
  }
  mNextCheck = aNow + kCheckInterval;
  for (auto& [name, zone] : mZones) {
    Check(name, zone, aNow);
  }
  Judge(aNow);
}

} // namespace papayaspindle::proxy
