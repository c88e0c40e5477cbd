#include "proxy/zonereachability.h"

#include "core/stablehash.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration kCheckInterval = 100ms;
/** Interval between pings. Together with the timeouts below, a partition is detected in
 * about 0.8 s, before the load balancer's second readiness probe (one per second). */
constexpr Duration kPingInterval = 400ms;
/** Time limit for an answer to a ping: many round trips between the zones of a region (3
 * to 16 ms). */
constexpr Duration kPingTimeout = 200ms;
/** Time limit for witnesses to accept a connection; longer than the connect timeout of
 * links between instances (250 ms). */
constexpr Duration kWitnessTimeout = 300ms;
/** Number of witnesses pinged at once: three instances of one zone rarely fail together.
 */
constexpr std::size_t kWitnessCount = 3;

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
    zone.mPingTarget %= zone.mInstances.size();
  }
  mZones = std::move(zones);
}

void
ZoneReachability::OnInstanceReachable(const std::string& aInstance, TimePoint aNow)
{
  const auto name = mZoneOf.find(aInstance);
  if (name == mZoneOf.end()) {
    return;
  }
  Zone& zone = mZones.find(name->second)->second;
  zone.mLastReachedAt = aNow;
  zone.mPingUnansweredSince.reset();
  const bool wasSuspected = zone.mSuspectedSince.has_value();
  zone.mSuspectedSince.reset();
  if (wasSuspected) {
    const auto place =
      std::find(zone.mInstances.begin(), zone.mInstances.end(), aInstance);
    zone.mPingTarget =
      static_cast<std::size_t>(std::distance(zone.mInstances.begin(), place));
  }
  if (zone.mIsUnreachable) {
    zone.mIsUnreachable = false;
    UpdateCutOff(aNow);
  }
}

void
ZoneReachability::OnConnectionLost(const std::string& aInstance, TimePoint aNow)
{
  const auto name = mZoneOf.find(aInstance);
  if (name == mZoneOf.end()) {
    return;
  }
  Zone& zone = mZones.find(name->second)->second;
  if (zone.mInstances[zone.mPingTarget] == aInstance && !zone.mSuspectedSince) {
    PingWitnesses(zone, aNow);
  }
}

void
ZoneReachability::Ping(Zone& aZone, TimePoint aNow)
{
  aZone.mPingedAt = aNow;
  if (!aZone.mPingUnansweredSince) {
    aZone.mPingUnansweredSince = aNow;
  }
  mHooks.mPing(aZone.mInstances[aZone.mPingTarget]);
}

void
ZoneReachability::PingWitnesses(Zone& aZone, TimePoint aNow)
{
  aZone.mSuspectedSince = aNow;
  aZone.mPingedAt = aNow;
  const std::size_t count = std::min(kWitnessCount, aZone.mInstances.size());
  for (std::size_t index = 0; index < count; index++) {
    // The unresponsive instance comes last: it may only have lost its connection.
    aZone.mPingTarget = (aZone.mPingTarget + 1) % aZone.mInstances.size();
    mHooks.mPing(aZone.mInstances[aZone.mPingTarget]);
  }
}

void
ZoneReachability::Check(const std::string& aName, Zone& aZone, TimePoint aNow)
{
  if (!aZone.mSuspectedSince) {
    if (aZone.mPingUnansweredSince && aNow - *aZone.mPingUnansweredSince > kPingTimeout) {
      PingWitnesses(aZone, aNow);
    } else if (aNow - aZone.mPingedAt >= kPingInterval) {
      Ping(aZone, aNow);
    }
    return;
  }
  if (aNow - *aZone.mSuspectedSince < kWitnessTimeout) {
    return;
  }
  const bool hasMemberReply = mHooks.mLastMemberReplyAt(aName) > *aZone.mSuspectedSince;
  // A zone from which nothing was ever received may not have started yet.
  const bool isUnreachable = aZone.mLastReachedAt && !hasMemberReply;
  if (isUnreachable != aZone.mIsUnreachable) {
    aZone.mIsUnreachable = isUnreachable;
    mHooks.mLog(
      LogLevel::Warning,
      isUnreachable ? "zone_unreachable" : "zone_reachable",
      { { "zone", aName }, { "instances", std::to_string(aZone.mInstances.size()) } });
  }
  PingWitnesses(aZone, aNow);
}

void
ZoneReachability::UpdateCutOff(TimePoint aNow)
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
  UpdateCutOff(aNow);
}

} // namespace papayaspindle::proxy
