#include "daemon/configuration/configurationmanager.h"
#include "daemon/controlfakes.h"
#include "observe/metricregistry.h"
#include "observe/tracer.h"
#include "runtime/grouptable.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <memory>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

struct Platform
{
  FakeTables mTables;
  FakeObjects mObjects;
  FakePeers mPeers;
  TimePoint mNow{ 1h };
  std::uint64_t mUnixMs = 1000000;
};

struct Node
{
  Node(Platform& aPlatform, const std::string& aName, bool aDelegate)
    : mTracer(aName, {}, &mMetrics)
  {
    mInstances.mSelf = { InstanceId(aName), AvailabilityZone("a"), aName };
    aPlatform.mPeers.mNodes[aName] = &mHandlers;
    ConfigurationManagerSettings settings;
    settings.mSnapshotEvery = 10;
    settings.mMaxLog = 5;
    mManager = std::make_unique<ConfigurationManager>(
      ConfigurationReferences{
        aPlatform.mTables,
        aPlatform.mObjects,
        aPlatform.mPeers,
        mHandlers,
        mInstances,
        mGroups,
        mTracer,
        mMetrics,
        [aDelegate] { return aDelegate; },
        [](const std::function<void()>& aTask) {
          aTask();
          return true;
        },
        [&aPlatform] { return aPlatform.mNow; },
        [&aPlatform] { return aPlatform.mUnixMs; },
        [&aPlatform](Duration aTime) { aPlatform.mNow += aTime; },
      },
      settings);
  }

  InstanceInfo Info() const { return mInstances.mSelf; }

  FakeHandlers mHandlers;
  FakeInstances mInstances;
  GroupTable mGroups;
  MetricRegistry mMetrics;
  Tracer mTracer;
  std::unique_ptr<ConfigurationManager> mManager;
};

v1::ChangeGroupRequest
Request(const std::string& aId, std::uint64_t aExpected, std::uint32_t aSlots)
{
  v1::ChangeGroupRequest request;
  request.set_request_id(aId);
  request.set_expected_revision(aExpected);
  v1::GroupSettings* settings = request.mutable_settings();
  settings->set_group("lanes");
  settings->set_slots(aSlots);
  settings->set_connection_limit(16);
  v1::MemberSettings* member = settings->add_members();
  member->set_member("m1");
  member->set_address("10.0.0.1:5001");
  member->set_availability_zone("a");
  return request;
}

std::uint64_t
SpreadSamples(const Node& aNode)
{
  for (const MetricValue& metric : aNode.mMetrics.Snapshot()) {
    if (metric.mName == "configuration_spread") {
      return metric.mCount;
    }
  }
  return 0;
}

} // namespace

TEST_CASE("a change is committed, in force here and refused when out of date",
          "[configuration]")
{
  Platform platform;
  Node node(platform, "n1", true);
  node.mManager->Tick();
  CHECK(node.mManager->Plan(Request("", 0, 2)).effects_size() == 1);
  const auto created = node.mManager->Change(Request("r1", 0, 2), true);
  CHECK(created.revision() == 1);
  CHECK(node.mGroups.Settings(GroupId("lanes"))->mSlots == 2);
  CHECK(node.mManager->Change(Request("r1", 0, 2), true).revision() == 1);
  CHECK(node.mManager->Change(Request("r2", 1, 3), false).revision() == 2);
  const auto late = node.mManager->Change(Request("r3", 1, 4), false);
  CHECK(late.error().kind() == "revision_conflict");
  CHECK(late.current_revision() == 2);
  CHECK(node.mManager->Change(Request("r4", 2, 0), false).error().kind() ==
        "invalid_change");
  CHECK(node.mManager->Change(Request("", 2, 4), false).error().kind() ==
        "malformed_request");
  CHECK(node.mManager->Plan(Request("", 1, 4)).error().kind() == "revision_conflict");
  CHECK(node.mManager->Revision() == 2);
  CHECK(SpreadSamples(node) == 2);
}

// Guards against a change that took effect and is reported as refused.
TEST_CASE("a lost answer is looked up and an outage refuses as not run",
          "[configuration]")
{
  Platform platform;
  Node node(platform, "n1", true);
  platform.mTables.mFault = FakeTables::Fault::LoseAnswer;
  CHECK(node.mManager->Change(Request("r1", 0, 2), true).revision() == 1);
  platform.mTables.mFault = FakeTables::Fault::Down;
  const auto refused = node.mManager->Change(Request("r2", 1, 3), false);
  CHECK(refused.error().kind() == "store_unavailable");
  CHECK(refused.error().execution() == v1::EXECUTION_NOT_RUN);
}

TEST_CASE("a delegate reads the log once a second and pushes to its zone",
          "[configuration]")
{
  Platform platform;
  Node committer(platform, "n1", false);
  Node delegate(platform, "n2", true);
  Node follower(platform, "n3", false);
  delegate.mInstances.mLive = { delegate.Info(), follower.Info() };
  delegate.mManager->Tick();
  committer.mManager->Change(Request("r1", 0, 2), true);
  platform.mUnixMs += 1200;
  platform.mNow += 1200ms;
  delegate.mManager->Tick();
  CHECK(delegate.mManager->Revision() == 1);
  CHECK(follower.mManager->Revision() == 1);
  CHECK(follower.mGroups.Settings(GroupId("lanes"))->mRevision == 1);
  CHECK(SpreadSamples(follower) == 1);
  platform.mNow += 200ms;
  delegate.mManager->Tick();
  CHECK(platform.mPeers.mCalls["PushConfiguration"] == 1);
}

// Guards against a node that stays behind after it missed pushes.
TEST_CASE("a node pulls when a probe shows a higher revision", "[configuration]")
{
  const std::uint64_t changes = GENERATE(3, 12);
  Platform platform;
  Node ahead(platform, "n1", true);
  Node behind(platform, "n2", false);
  for (std::uint64_t i = 0; i < changes; ++i) {
    ahead.mManager->Change(Request("r" + std::to_string(i), i, 2), i == 0);
  }
  platform.mPeers.mDown.insert("n1");
  behind.mManager->NotePeerRevision(ahead.Info(), changes);
  CHECK(behind.mManager->Revision() == 0);
  platform.mPeers.mDown.clear();
  behind.mManager->NotePeerRevision(ahead.Info(), changes);
  CHECK(behind.mManager->Revision() == changes);
  CHECK(behind.mGroups.Settings(GroupId("lanes"))->mRevision == changes);
}

TEST_CASE("a start with the store down takes the peers' revision, then the log",
          "[configuration]")
{
  Platform platform;
  Node peer(platform, "n1", true);
  peer.mManager->Change(Request("r1", 0, 2), true);
  Node node(platform, "n2", true);
  platform.mTables.mFault = FakeTables::Fault::Down;
  platform.mObjects.mIsDown = true;
  node.mManager->Tick();
  CHECK(node.mManager->Revision() == 0);
  node.mManager->NotePeerRevision(peer.Info(), 1);
  CHECK(node.mManager->Revision() == 1);
  platform.mTables.mFault = FakeTables::Fault::None;
  peer.mManager->Change(Request("r2", 1, 3), false);
  platform.mNow += 5s;
  node.mManager->Tick();
  CHECK(node.mManager->Revision() == 2);
}

TEST_CASE("a cold start uses the snapshot and the log after it", "[configuration]")
{
  Platform platform;
  Node node(platform, "n1", true);
  platform.mObjects.mIsDown = true;
  for (std::uint64_t i = 0; i < 12; ++i) {
    node.mManager->Change(Request("r" + std::to_string(i), i, 2), i == 0);
  }
  node.mManager->Tick();
  CHECK(platform.mObjects.mObjects.empty());
  platform.mObjects.mIsDown = false;
  platform.mNow += 5s;
  node.mManager->Tick();
  CHECK(platform.mObjects.mObjects.size() == 1);
  // The log before the snapshot is not needed.
  for (int revision = 1; revision <= 10; ++revision) {
    platform.mTables.mRows.erase(fmt::format("change/{:020}", revision));
  }
  Node cold(platform, "n2", true);
  cold.mManager->Tick();
  CHECK(cold.mManager->Revision() == 12);
}
