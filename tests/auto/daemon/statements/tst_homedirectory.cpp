#include "daemon/statements/homedirectory.h"
#include "daemon/statements/statementworld.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::test;
using namespace std::chrono_literals;

// Guards against homes that stay on dead instances, and against a ranking for each
// request.
TEST_CASE("homes follow membership and configuration")
{
  ManualClock clock;
  GroupTable groups;
  FakeInstances instances;
  for (const std::string name : { "e1", "e2", "e3", "e4" }) {
    instances.mLive.push_back({ InstanceId(name), AvailabilityZone("z") });
  }
  instances.mSelf = instances.mLive.front();
  const HomeDirectory directory(groups, instances, [&] { return clock.Now(); });
  CHECK(directory.HomesOf(kGroup).empty());
  CHECK(directory.OwnRank(kGroup) == -1);
  GroupSettings settings{
    kGroup, { { MemberId("a"), "a", AvailabilityZone("z"), false } }, 2, 8, {}, 1
  };
  groups.OfferSettings(settings);
  const auto homes = directory.HomesOf(kGroup);
  REQUIRE(homes.size() == 2);
  settings.mConnectionLimit = 16;
  settings.mRevision = 2;
  groups.OfferSettings(settings);
  CHECK(directory.HomesOf(kGroup).size() == 4);
  CHECK(directory.OwnRank(kGroup) >= 0);
  std::erase_if(instances.mLive, [&](const InstanceInfo& aInfo) {
    return aInfo.mInstance == homes.front();
  });
  clock.Advance(60ms);
  const auto left = directory.HomesOf(kGroup);
  CHECK(left.size() == 3);
  CHECK(std::count(left.begin(), left.end(), homes.front()) == 0);
}
