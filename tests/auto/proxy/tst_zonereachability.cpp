// Tests the detection of partitions between availability zones, and conditions that must
// not be mistaken for a partition.

#include "proxy/zonereachability.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

/** Instances of several availability zones, some of which answer pings. */
class ZoneFixture
{
public:
  explicit ZoneFixture(std::size_t aZones, std::size_t aInstancesPerZone = 4)
    : mReachability("zone-0-0", "zone-0", Hooks())
  {
    for (std::size_t zone = 0; zone < aZones; zone++) {
      for (std::size_t index = 0; index < aInstancesPerZone; index++) {
        RegisteredInstance instance;
        instance.mZone = "zone-" + std::to_string(zone);
        instance.mInstance = instance.mZone + "-" + std::to_string(index);
        mInstances.push_back(instance);
      }
    }
    mReachability.SetInstances(mInstances);
  }

  /** Advances the clock; responsive instances answer each ping at the next step. */
  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += 20ms;
      mReachability.OnTimer(mNow);
      for (const std::string& instance : std::exchange(mPinged, {})) {
        if (!IsUnresponsive(instance)) {
          mReachability.OnInstanceReachable(instance, mNow);
        }
      }
    }
  }

  bool IsUnresponsive(const std::string& aInstance) const
  {
    return mUnresponsive.contains(aInstance) ||
           mUnresponsive.contains(aInstance.substr(0, aInstance.rfind('-')));
  }

  TimePoint mNow{ 100s };
  std::vector<RegisteredInstance> mInstances;
  /** Instances and whole zones that do not answer pings. */
  std::set<std::string> mUnresponsive;
  /** Zones whose members have just answered. */
  std::set<std::string, std::less<>> mZonesWithMemberReplies;
  std::vector<std::string> mPinged;
  std::vector<std::string> mEvents;
  ZoneReachability mReachability;

private:
  ZoneReachabilityHooks Hooks()
  {
    ZoneReachabilityHooks hooks;
    hooks.mPing = [this](const std::string& aInstance) { mPinged.push_back(aInstance); };
    hooks.mLastMemberReplyAt = [this](std::string_view aZone) {
      return mZonesWithMemberReplies.contains(aZone) ? mNow : TimePoint();
    };
    hooks.mLog =
      [this](LogLevel, std::string_view aEvent, std::initializer_list<LogField>) {
        mEvents.emplace_back(aEvent);
      };
    return hooks;
  }
};

} // namespace

// Guards against clients that stay connected to instances that reach no primary: a
// partition must be detected before the load balancer's second readiness probe.
TEST_CASE("a partition is detected within a second, and its end within 400 ms")
{
  ZoneFixture fixture(3);
  fixture.Run(3s);
  REQUIRE_FALSE(fixture.mReachability.CutOffSince());
  fixture.mUnresponsive = { "zone-1", "zone-2" };
  fixture.Run(1s);
  REQUIRE(fixture.mReachability.CutOffSince());
  fixture.Run(5s);
  REQUIRE(fixture.mReachability.CutOffSince());
  fixture.mUnresponsive.clear();
  fixture.Run(400ms);
  REQUIRE_FALSE(fixture.mReachability.CutOffSince());
  REQUIRE(std::count(fixture.mEvents.begin(), fixture.mEvents.end(), "zones_cut_off") ==
          1);
}

// Guards against evacuating the zones on the majority side of a partition.
TEST_CASE("losing one of three zones does not count as being cut off")
{
  ZoneFixture fixture(3);
  fixture.Run(3s);
  fixture.mUnresponsive = { "zone-1" };
  fixture.Run(5s);
  REQUIRE_FALSE(fixture.mReachability.CutOffSince());
  REQUIRE(
    std::count(fixture.mEvents.begin(), fixture.mEvents.end(), "zone_unreachable") == 1);
}

// Guards against two partitioned zones that each send their clients to the other.
TEST_CASE("with two zones, neither side of a partition counts as cut off")
{
  ZoneFixture fixture(2);
  fixture.Run(3s);
  fixture.mUnresponsive = { "zone-1" };
  fixture.Run(5s);
  REQUIRE_FALSE(fixture.mReachability.CutOffSince());
}

// Guards against mistaking killed or frozen instances for a partition.
TEST_CASE("stopped ping targets in every zone are not a partition")
{
  ZoneFixture fixture(5);
  fixture.Run(3s);
  for (const auto& zone : { "zone-1", "zone-2", "zone-3", "zone-4" }) {
    fixture.mUnresponsive.insert(std::string(zone) + "-0");
    fixture.mUnresponsive.insert(std::string(zone) + "-1");
  }
  for (const RegisteredInstance& instance : fixture.mInstances) {
    if (fixture.mUnresponsive.contains(instance.mInstance)) {
      fixture.mReachability.OnConnectionLost(instance.mInstance, fixture.mNow);
    }
  }
  fixture.Run(5s);
  REQUIRE_FALSE(fixture.mReachability.CutOffSince());
}

// Guards against an evacuation when all instances of other zones were killed but the
// network path works.
TEST_CASE("replies of members keep a zone without live instances reachable")
{
  ZoneFixture fixture(3);
  fixture.Run(3s);
  fixture.mUnresponsive = { "zone-1", "zone-2" };
  fixture.mZonesWithMemberReplies = { "zone-1", "zone-2" };
  fixture.Run(5s);
  REQUIRE_FALSE(fixture.mReachability.CutOffSince());
  fixture.mZonesWithMemberReplies.clear();
  fixture.Run(1s);
  REQUIRE(fixture.mReachability.CutOffSince());
}

// Guards against a full restart in which the first instance to start waits for others
// before it accepts clients.
TEST_CASE("a zone that never answered does not count as unreachable")
{
  ZoneFixture fixture(3);
  fixture.mUnresponsive = { "zone-1", "zone-2" };
  fixture.Run(5s);
  REQUIRE_FALSE(fixture.mReachability.CutOffSince());
}

// Guards against a number of pings that grows with the number of instances.
TEST_CASE("an instance that is not partitioned pings one instance of each other zone")
{
  ZoneFixture fixture(3, 50);
  fixture.Run(2s);
  std::set<std::string> pinged;
  std::size_t count = 0;
  for (int turn = 0; turn < 500; turn++) {
    fixture.mNow += 20ms;
    fixture.mReachability.OnTimer(fixture.mNow);
    count += fixture.mPinged.size();
    for (const std::string& instance : std::exchange(fixture.mPinged, {})) {
      pinged.insert(instance);
      fixture.mReachability.OnInstanceReachable(instance, fixture.mNow);
    }
  }
  REQUIRE(pinged.size() == 2);
  // Ten seconds, two zones, and at most three pings per second and zone.
  REQUIRE(count <= 60);
}
