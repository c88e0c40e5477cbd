// Partitions between availability zones: what counts as one, and what must not.

#include "proxy/zonereachability.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

/** Instances of several zones, some of which answer pings. */
class ZoneFixture
{
public:
  explicit ZoneFixture(std::size_t aZones, std::size_t aInstancesPerZone = 4)
    : mZones("zone-0-0", "zone-0", Hooks())
  {
    for (std::size_t zone = 0; zone < aZones; zone++) {
      for (std::size_t index = 0; index < aInstancesPerZone; index++) {
        RegisteredInstance instance;
        instance.mZone = "zone-" + std::to_string(zone);
        instance.mInstance = instance.mZone + "-" + std::to_string(index);
        mInstances.push_back(instance);
      }
    }
    mZones.SetInstances(mInstances);
  }

  /** Lets time pass; an instance that isn't silent answers a ping at once. */
  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += 20ms;
      mZones.OnTimer(mNow);
      for (const std::string& instance : std::exchange(mPinged, {})) {
        if (!IsSilent(instance)) {
          mZones.OnSign(instance, mNow);
        }
      }
    }
  }

  bool IsSilent(const std::string& aInstance) const
  {
    return mSilent.contains(aInstance) ||
           mSilent.contains(aInstance.substr(0, aInstance.rfind('-')));
  }

  TimePoint mNow{ 100s };
  std::vector<RegisteredInstance> mInstances;
  /** Instances and whole zones that don't answer. */
  std::set<std::string> mSilent;
  /** Zones whose members answer. */
  std::set<std::string, std::less<>> mMembersHeard;
  std::vector<std::string> mPinged;
  std::vector<std::string> mEvents;
  ZoneReachability mZones;

private:
  ZoneReachabilityHooks Hooks()
  {
    ZoneReachabilityHooks hooks;
    hooks.mPing = [this](const std::string& aInstance) { mPinged.push_back(aInstance); };
    hooks.mMemberHeardAt = [this](std::string_view aZone) {
      return mMembersHeard.contains(aZone) ? mNow : TimePoint();
    };
    hooks.mLog =
      [this](LogLevel, std::string_view aEvent, std::initializer_list<LogField>) {
        mEvents.emplace_back(aEvent);
      };
    return hooks;
  }
};

} // namespace

// Guards against clients that stay with instances which reach no primary: the verdict has
// to come before the balancer's second probe.
TEST_CASE(
  "an instance knows within a second that its zone is cut off, and that it is back")
{
  ZoneFixture fixture(3);
  fixture.Run(3s);
  REQUIRE_FALSE(fixture.mZones.CutOffSince());
  fixture.mSilent = { "zone-1", "zone-2" };
  fixture.Run(1s);
  REQUIRE(fixture.mZones.CutOffSince());
  fixture.Run(5s);
  REQUIRE(fixture.mZones.CutOffSince());
  fixture.mSilent.clear();
  fixture.Run(400ms);
  REQUIRE_FALSE(fixture.mZones.CutOffSince());
  REQUIRE(std::count(fixture.mEvents.begin(), fixture.mEvents.end(), "zones_cut_off") ==
          1);
}

// Guards against an evacuation of the zones that are in the majority.
TEST_CASE("the loss of another zone is no reason to leave")
{
  ZoneFixture fixture(3);
  fixture.Run(3s);
  fixture.mSilent = { "zone-1" };
  fixture.Run(5s);
  REQUIRE_FALSE(fixture.mZones.CutOffSince());
  REQUIRE(
    std::count(fixture.mEvents.begin(), fixture.mEvents.end(), "zone_unreachable") == 1);
}

// Guards against both sides of a cut sending their clients to each other.
TEST_CASE("neither of two zones takes itself for the one that is cut off")
{
  ZoneFixture fixture(2);
  fixture.Run(3s);
  fixture.mSilent = { "zone-1" };
  fixture.Run(5s);
  REQUIRE_FALSE(fixture.mZones.CutOffSince());
}

// Guards against taking a killed or frozen instance for a partition.
TEST_CASE("the instance that was pinged may stop in every zone")
{
  ZoneFixture fixture(5);
  fixture.Run(3s);
  for (const auto& zone : { "zone-1", "zone-2", "zone-3", "zone-4" }) {
    fixture.mSilent.insert(std::string(zone) + "-0");
    fixture.mSilent.insert(std::string(zone) + "-1");
  }
  for (const RegisteredInstance& instance : fixture.mInstances) {
    if (fixture.mSilent.contains(instance.mInstance)) {
      fixture.mZones.OnLost(instance.mInstance, fixture.mNow);
    }
  }
  fixture.Run(5s);
  REQUIRE_FALSE(fixture.mZones.CutOffSince());
}

// Guards against leaving when all other instances are killed but the path is whole.
TEST_CASE("members that answer show that a zone without instances is reachable")
{
  ZoneFixture fixture(3);
  fixture.Run(3s);
  fixture.mSilent = { "zone-1", "zone-2" };
  fixture.mMembersHeard = { "zone-1", "zone-2" };
  fixture.Run(5s);
  REQUIRE_FALSE(fixture.mZones.CutOffSince());
  fixture.mMembersHeard.clear();
  fixture.Run(1s);
  REQUIRE(fixture.mZones.CutOffSince());
}

// Guards against a restart of everything in which the first instance that is back waits
// for the others before it takes clients.
TEST_CASE("zones that were never heard from are not unreachable")
{
  ZoneFixture fixture(3);
  fixture.mSilent = { "zone-1", "zone-2" };
  fixture.Run(5s);
  REQUIRE_FALSE(fixture.mZones.CutOffSince());
}

// Guards against pings that grow with the number of instances.
TEST_CASE("a calm instance pings one instance of each other zone")
{
  ZoneFixture fixture(3, 50);
  fixture.Run(2s);
  std::set<std::string> pinged;
  std::size_t count = 0;
  for (int turn = 0; turn < 500; turn++) {
    fixture.mNow += 20ms;
    fixture.mZones.OnTimer(fixture.mNow);
    count += fixture.mPinged.size();
    for (const std::string& instance : std::exchange(fixture.mPinged, {})) {
      pinged.insert(instance);
      fixture.mZones.OnSign(instance, fixture.mNow);
    }
  }
  REQUIRE(pinged.size() == 2);
  // Ten seconds: two zones, at most three pings a second each.
  REQUIRE(count <= 60);
}
