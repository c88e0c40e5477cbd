#include "decision/configuration/changechecker.h"
#include "decision/configuration/changeplanner.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

GroupSettings
Valid()
{
  GroupSettings settings;
  settings.mGroup = GroupId("pond-core.lanes");
  settings.mMembers = { { MemberId("m1"), "10.0.0.1:5001", AvailabilityZone("a") },
                        { MemberId("m2"), "[fd00::2]:5001", AvailabilityZone("b") } };
  settings.mSlots = 2;
  settings.mConnectionLimit = 16;
  settings.mStalenessRules = { { "availability", 2000ms } };
  return settings;
}

struct Case
{
  std::string mExpectedText;
  std::function<void(GroupSettings&)> mEdit;
};

} // namespace

// Guards against accepting settings that would stop a group's traffic.
TEST_CASE("each violation is reported in one sentence", "[configuration]")
{
  CHECK(CheckSettings(Valid()).empty());
  const std::vector<Case> cases{
    { "group name", [](auto& aGroup) { aGroup.mGroup = GroupId("a b"); } },
    { "group name", [](auto& aGroup) { aGroup.mGroup = GroupId(std::string(65, 'a')); } },
    { "0 members", [](auto& aGroup) { aGroup.mMembers.clear(); } },
    { "named twice", [](auto& aGroup) { aGroup.mMembers[1].mMember = MemberId("m1"); } },
    { "two members have the address",
      [](auto& aGroup) { aGroup.mMembers[1].mAddress = "10.0.0.1:5001"; } },
    { "ip:port", [](auto& aGroup) { aGroup.mMembers[0].mAddress = "db.example:5001"; } },
    { "ip:port", [](auto& aGroup) { aGroup.mMembers[0].mAddress = "10.0.0.256:5001"; } },
    { "ip:port", [](auto& aGroup) { aGroup.mMembers[0].mAddress = "10.0.0.1:65536"; } },
    { "ip:port", [](auto& aGroup) { aGroup.mMembers[0].mAddress = "10.0.0.1"; } },
    { "ip:port", [](auto& aGroup) { aGroup.mMembers[0].mAddress = "10.0.0.1.:1"; } },
    { "no availability zone",
      [](auto& aGroup) { aGroup.mMembers[0].mAvailabilityZone = AvailabilityZone(); } },
    { "every member is leaving",
      [](auto& aGroup) {
        aGroup.mMembers[0].mLeaving = true;
        aGroup.mMembers[1].mLeaving = true;
      } },
    { "slots is 0", [](auto& aGroup) { aGroup.mSlots = 0; } },
    { "connection limit is 3", [](auto& aGroup) { aGroup.mConnectionLimit = 3; } },
    { "staleness rule \"availability\" is named twice",
      [](auto& aGroup) { aGroup.mStalenessRules.push_back(aGroup.mStalenessRules[0]); } },
    { "allows -1 ms",
      [](auto& aGroup) { aGroup.mStalenessRules[0].mMaxStaleness = -1ms; } },
  };
  for (const Case& testCase : cases) {
    CAPTURE(testCase.mExpectedText);
    GroupSettings settings = Valid();
    testCase.mEdit(settings);
    const std::vector<std::string> violations = CheckSettings(settings);
    REQUIRE(violations.size() == 1);
    CHECK(violations[0].find(testCase.mExpectedText) != std::string::npos);
  }
}

TEST_CASE("a request needs an id and a matching expected revision", "[configuration]")
{
  CHECK(CheckRequest({ Valid(), 0, RequestId("r") }, true).empty());
  CHECK(CheckRequest({ Valid(), 3, RequestId("r") }, false).empty());
  CHECK(CheckRequest({ Valid(), 3, RequestId("r") }, true).size() == 1);
  CHECK(CheckRequest({ Valid(), 0, RequestId("r") }, false).size() == 1);
  CHECK(CheckRequest({ Valid(), 0, RequestId() }, true).size() == 1);
  CHECK(CheckRequest({ Valid(), 0, RequestId(std::string(129, 'r')) }, true).size() == 1);
}

// Guards against a plan that omits an effect of the change.
TEST_CASE("each effect of a change is described in one sentence", "[configuration]")
{
  const GroupSettings before = Valid();
  const std::vector<Case> cases{
    { "Nothing but the revision", [](auto&) {} },
    { "\"m1\" moves", [](auto& aGroup) { aGroup.mMembers[0].mAddress = "10.0.0.9:1"; } },
    { "\"m1\" gets no new work",
      [](auto& aGroup) { aGroup.mMembers[0].mLeaving = true; } },
    { "\"m2\" is removed though it is not leaving",
      [](auto& aGroup) { aGroup.mMembers.pop_back(); } },
    { "\"m2\" is in zone",
      [](auto& aGroup) {
        aGroup.mMembers[1].mAvailabilityZone = AvailabilityZone("c");
      } },
    { "3 statements", [](auto& aGroup) { aGroup.mSlots = 3; } },
    { "limit falls", [](auto& aGroup) { aGroup.mConnectionLimit = 8; } },
    { "limit rises", [](auto& aGroup) { aGroup.mConnectionLimit = 35; } },
    { "allows 5 ms",
      [](auto& aGroup) { aGroup.mStalenessRules[0].mMaxStaleness = 5ms; } },
    { "rule \"availability\" is removed",
      [](auto& aGroup) { aGroup.mStalenessRules.clear(); } },
  };
  for (const Case& testCase : cases) {
    CAPTURE(testCase.mExpectedText);
    GroupSettings after = before;
    testCase.mEdit(after);
    const std::vector<std::string> effects = DescribeChange(&before, after);
    REQUIRE(effects.size() == 1);
    CHECK(effects[0].find(testCase.mExpectedText) != std::string::npos);
  }
  CHECK(DescribeChange(nullptr, before).size() == 1);
}
