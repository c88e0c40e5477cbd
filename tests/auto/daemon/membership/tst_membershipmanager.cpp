#include "daemon/controlfakes.h"
#include "daemon/membership/membershipmanager.h"
#include "observe/metricregistry.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

/** Nodes in one process on a manual clock; calls run at once on the ticking thread. */
struct Cluster
{
  struct Node
  {
    FakeHandlers mHandlers;
    MetricRegistry mMetrics;
    std::unique_ptr<MembershipManager> mManager;
    std::vector<InstanceInfo> mChanges;
    std::uint64_t mSeenRevision = 0;
    bool mMarked = false;
  };

  void Add(const std::string& aName, const std::string& aZone)
  {
    Node& node = mNodes[aName];
    MembershipManagerSettings settings;
    settings.mSelf = {
      InstanceId(aName), AvailabilityZone(aZone), aName, "", Liveness::Alive, 1
    };
    const MembershipReferences references{
      mPeers,
      node.mHandlers,
      mListing,
      node.mMetrics,
      [this](std::function<void()> aTask) {
        if (mPoolIsFull) {
          return false;
        }
        aTask();
        return true;
      },
      [this] { return mNow; },
      [engine = std::mt19937_64(mNodes.size())]() mutable { return engine(); },
    };
    node.mManager = std::make_unique<MembershipManager>(references, settings);
    node.mManager->AddListener(
      [&](const InstanceInfo& aInfo) { node.mChanges.push_back(aInfo); });
    node.mManager->SetLeavingHook([&] { node.mMarked = true; });
    node.mManager->SetRevisionHooks({ [] { return 7; },
                                      [&](const InstanceInfo&, std::uint64_t aRevision) {
                                        node.mSeenRevision = aRevision;
                                      } });
    mPeers.mNodes[aName] = &node.mHandlers;
    v1::ListedInstance* listed = mListing.mReply.add_instances();
    listed->set_instance(aName);
    listed->set_availability_zone(aZone);
    listed->set_peer_address(aName);
    listed->set_state(v1::INSTANCE_STATE_LIVE);
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += 200ms) {
      for (auto& [name, node] : mNodes) {
        if (!mPeers.mDown.contains(name)) {
          node.mManager->Tick();
        }
      }
    }
  }

  std::size_t LiveAt(const std::string& aName)
  {
    return mNodes[aName].mManager->Live().size();
  }

  FakePeers mPeers;
  FakeListing mListing;
  TimePoint mNow{ 1h };
  bool mPoolIsFull = false;
  std::map<std::string, Node> mNodes;
};

} // namespace

TEST_CASE("managers find, lose and announce instances over peer calls", "[membership]")
{
  Cluster cluster;
  for (const char* name : { "a1", "a2", "a3" }) {
    cluster.Add(name, "a");
  }
  cluster.Add("b1", "b");
  cluster.Run(10s);
  CHECK(cluster.LiveAt("a1") == 4);
  CHECK(cluster.LiveAt("b1") == 4);
  CHECK(cluster.mNodes["a1"].mSeenRevision == 7);
  cluster.mNodes["a3"].mManager->AnnounceLeaving();
  cluster.Run(3s);
  CHECK(cluster.LiveAt("b1") == 3);
  CHECK(cluster.LiveAt("a3") == 3);
  cluster.mPeers.mDown.insert("a2");
  cluster.Run(10s);
  CHECK(cluster.mNodes["b1"].mManager->Find(InstanceId("a2"))->mLiveness ==
        Liveness::Dead);
  CHECK(cluster.mNodes["b1"].mChanges.size() >= 5);
  CHECK(cluster.mNodes["b1"].mManager->MayActAsKeeper());
}

TEST_CASE("the platform's mark starts the drain of the marked instance", "[membership]")
{
  Cluster cluster;
  cluster.Add("a1", "a");
  cluster.Add("a2", "a");
  cluster.Run(3s);
  cluster.mListing.mReply.mutable_instances(0)->set_state(v1::INSTANCE_STATE_LEAVING);
  cluster.Run(3s);
  CHECK(cluster.mNodes["a1"].mMarked);
  CHECK(cluster.LiveAt("a2") == 1);
  cluster.mListing.mIsDown = true;
  cluster.Run(5s);
  CHECK(cluster.LiveAt("a2") == 1);
}

// Guards against an overloaded instance that takes its own full queue for dead peers.
TEST_CASE("probes that were not sent lead to no suspicion", "[membership]")
{
  Cluster cluster;
  cluster.Add("a1", "a");
  cluster.Add("a2", "a");
  cluster.Run(3s);
  cluster.mPoolIsFull = true;
  cluster.Run(20s);
  CHECK(cluster.LiveAt("a1") == 2);
}

TEST_CASE("a malformed probe is refused", "[membership]")
{
  Cluster cluster;
  cluster.Add("a1", "a");
  const auto answer =
    cluster.mNodes["a1"].mHandlers.mHandlers["Probe"]({ "Probe", "\xff", "" });
  REQUIRE_FALSE(IsOk(answer));
  CHECK(ErrorOf(answer).mKind == ErrorKind::MalformedRequest);
}
