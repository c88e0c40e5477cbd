#include "daemon/connections/allowancemanager.h"
#include "daemon/connections/poolshares.h"
#include "interfaces/homes.h"
#include "interfaces/instancelisting.h"
#include "interfaces/instances.h"
#include "interfaces/peercalls.h"
#include "interfaces/peerhandlers.h"
#include "interfaces/tablestore.h"
#include "observe/metricregistry.h"
#include "runtime/grouptable.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <vector>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const GroupId kGroup("lanes");

/** A table service that can be down or lose the answers to its writes. */
struct FakeTables : TableStore
{
  std::map<std::string, v1::TableRow> mRows;
  bool mDown = false;
  bool mLosesAnswers = false;

  Result<v1::TableReadReply> Read(const v1::TableReadRequest& aRequest,
                                  std::chrono::milliseconds) override
  {
    if (mDown) {
      return Error{ ErrorKind::StoreUnavailable, "down" };
    }
    v1::TableReadReply reply;
    *reply.mutable_row() = mRows[aRequest.table() + "/" + aRequest.key()];
    return reply;
  }
  Result<v1::TableScanReply> Scan(const v1::TableScanRequest&,
                                  std::chrono::milliseconds) override
  {
    return v1::TableScanReply();
  }
  Result<v1::TransactReply> Transact(const v1::TransactRequest& aRequest,
                                     std::chrono::milliseconds) override
  {
    if (mDown) {
      return Error{ ErrorKind::StoreUnavailable, "down" };
    }
    v1::TransactReply reply;
    for (const v1::RowCondition& condition : aRequest.conditions()) {
      const v1::TableRow& row = mRows[condition.table() + "/" + condition.key()];
      if (row.version() != condition.version()) {
        return reply;
      }
    }
    for (const v1::RowChange& change : aRequest.changes()) {
      v1::TableRow& row = mRows[change.table() + "/" + change.key()];
      row.set_value(change.value());
      row.set_version(row.version() + 1);
    }
    if (mLosesAnswers) {
      return Error{ ErrorKind::OutcomeUnknown, "lost" };
    }
    reply.set_committed(true);
    return reply;
  }
};

struct FakePools : PoolShares
{
  GroupAllowance mAllowance;
  std::uint32_t mDemand = 16;
  std::uint32_t mHeld = 0;

  void SetAllowance(const GroupId&, const GroupAllowance& aAllowance) override
  {
    mAllowance = aAllowance;
  }
  ShareUse TakeUse(const GroupId&) override { return { mDemand, mHeld }; }
  std::uint32_t Held(const GroupId&) override { return mHeld; }
};

/** What all instances see alike: homes, the platform's list, and the peers. */
struct FakeCluster
  : InstanceListing
  , PeerCalls
{
  std::vector<InstanceId> mHomes;
  std::set<InstanceId> mRunning;
  std::map<std::string, PeerHandler> mHandlers;

  Result<v1::ListInstancesReply> List(std::chrono::milliseconds) override
  {
    v1::ListInstancesReply reply;
    for (const InstanceId& instance : mRunning) {
      reply.add_instances()->set_instance(instance.Text());
    }
    return reply;
  }
  Result<std::string> Call(const PeerCall& aCall) override
  {
    if (!mRunning.contains(InstanceId(aCall.mAddress))) {
      return Error{ ErrorKind::PeerUnreachable, "" };
    }
    return mHandlers[aCall.mAddress]({ aCall.mMethod, aCall.mBody, "" });
  }
};

struct Node
  : Homes
  , Instances
  , PeerHandlers
{
  Node(FakeCluster& aCluster,
       FakeTables& aTables,
       const Groups& aGroups,
       const char* aName,
       const TimePoint& aNow)
    : mCluster(aCluster)
    , mName(aName)
    , mManager(
        { aTables, aCluster, aCluster, aGroups, *this, *this, mPools, mMetrics },
        "process-" + mName.Text(),
        [](const std::function<void()>& aTask) {
          aTask();
          return true;
        },
        [&aNow] { return aNow; })
  {
    mManager.Register(*this);
    mCluster.mRunning.insert(mName);
  }

  std::vector<InstanceId> HomesOf(const GroupId&) const override
  {
    return mCluster.mHomes;
  }
  int OwnRank(const GroupId&) const override
  {
    const auto found = std::find(mCluster.mHomes.begin(), mCluster.mHomes.end(), mName);
    return found == mCluster.mHomes.end()
             ? -1
             : static_cast<int>(found - mCluster.mHomes.begin());
  }
  InstanceInfo Self() const override { return *Find(mName); }
  std::vector<InstanceInfo> Live() const override { return {}; }
  std::vector<InstanceInfo> All() const override { return {}; }
  std::optional<InstanceInfo> Find(const InstanceId& aInstance) const override
  {
    const bool runs = mCluster.mRunning.contains(aInstance);
    return InstanceInfo{ aInstance,
                         AvailabilityZone("z"),
                         aInstance.Text(),
                         "",
                         runs ? Liveness::Alive : Liveness::Dead,
                         1 };
  }
  bool MayActAsKeeper() const override { return true; }
  void Register(std::string_view, PeerHandler aHandler) override
  {
    mCluster.mHandlers[mName.Text()] = std::move(aHandler);
  }

  FakeCluster& mCluster;
  InstanceId mName;
  FakePools mPools;
  MetricRegistry mMetrics;
  AllowanceManager mManager;
};

/** Two homes of a group with a limit of 16; a third instance may join. */
struct World
{
  TimePoint mNow{ 1h };
  FakeTables mTables;
  FakeCluster mCluster;
  GroupTable mGroups;
  Node mA{ mCluster, mTables, mGroups, "a", mNow };
  Node mB{ mCluster, mTables, mGroups, "b", mNow };
  Node mC{ mCluster, mTables, mGroups, "c", mNow };

  World()
  {
    mCluster.mHomes = { mA.mName, mB.mName };
    GroupSettings settings;
    settings.mGroup = kGroup;
    settings.mConnectionLimit = 16;
    settings.mRevision = 1;
    mGroups.OfferSettings(settings);
  }

  /** @return what a running instance may use; the connections of an ended one are closed
   */
  std::uint32_t Usable(const Node& aNode) const
  {
    return mCluster.mRunning.contains(aNode.mName) ? aNode.mPools.mAllowance.At(mNow) : 0;
  }

  /** Lets time pass; the sum stays within the limit at each second. */
  void Pass(std::chrono::seconds aTime)
  {
    for (auto left = aTime; left > 0s; left -= 1s) {
      mNow += 1s;
      for (Node* node : { &mA, &mB, &mC }) {
        if (mCluster.mRunning.contains(node->mName)) {
          node->mManager.SyncStore();
          node->mManager.RenewLeases();
        }
      }
      REQUIRE(Usable(mA) + Usable(mB) + Usable(mC) <= 16);
    }
  }
};

} // namespace

// Guards against leases from the first second, and against a pool that is never divided.
TEST_CASE("homes get floors at once and leases after the quarantine", "[connections]")
{
  World world;
  world.Pass(2s);
  CHECK(world.Usable(world.mA) == 4);
  CHECK(world.Usable(world.mB) == 4);
  world.Pass(8s);
  CHECK(world.Usable(world.mA) == 8);
  CHECK(world.Usable(world.mB) == 8);
}

// Guards against use of the pool without authority, and loss of the floors.
TEST_CASE("without the table service homes fall back to floors", "[connections]")
{
  World world;
  world.Pass(10s);
  world.mTables.mDown = true;
  world.Pass(20s);
  CHECK(world.Usable(world.mA) == 8);
  world.Pass(15s);
  CHECK(world.Usable(world.mA) == 4);
  CHECK(world.Usable(world.mB) == 4);
  world.mTables.mDown = false;
  world.Pass(10s);
  CHECK(world.Usable(world.mB) == 8);
}

// Guards against numbers that an instance makes up before it has read the record.
TEST_CASE("a cold start without the table service uses nothing", "[connections]")
{
  World world;
  world.mTables.mDown = true;
  world.Pass(10s);
  CHECK(world.Usable(world.mA) + world.Usable(world.mB) == 0);
}

// Guards against a state that a lost answer leaves for ever.
TEST_CASE("lost answers of the table service are resolved", "[connections]")
{
  World world;
  world.mTables.mLosesAnswers = true;
  world.Pass(20s);
  CHECK(world.Usable(world.mA) == 8);
  CHECK(world.Usable(world.mB) == 8);
}

// Guards against two keepers, and a pool that nobody leases after the keeper has died.
TEST_CASE("the next home takes over after the keeper has died", "[connections]")
{
  World world;
  world.Pass(10s);
  world.mCluster.mRunning.erase(world.mA.mName);
  world.mCluster.mHomes = { world.mB.mName, world.mC.mName };
  world.Pass(20s);
  CHECK(world.Usable(world.mB) == 4);
  world.Pass(40s);
  CHECK(world.Usable(world.mB) == 8);
  CHECK(world.Usable(world.mC) == 8);
}

// Guards against a handover that waits for the old keeper's authority, and a floor that
// moves while its holder still uses it.
TEST_CASE("a keeper that is replaced hands over at once", "[connections]")
{
  World world;
  world.Pass(10s);
  world.mA.mPools.mHeld = 4;
  const bool orderly = GENERATE(true, false);
  world.mCluster.mHomes = { world.mB.mName, world.mC.mName };
  if (orderly) {
    world.mA.mManager.GiveUp();
  }
  world.Pass(15s);
  CHECK(world.Usable(world.mA) == 0);
  CHECK(world.Usable(world.mB) >= 8);
  CHECK(world.Usable(world.mC) + world.Usable(world.mB) <= 12);
  world.mA.mPools.mHeld = 0;
  world.Pass(20s);
  CHECK(world.Usable(world.mB) == 8);
  CHECK(world.Usable(world.mC) == 8);
}
