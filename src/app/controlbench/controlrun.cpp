#include "controlbench/controlrun.h"

#include "controlbench/benchplatform.h"
#include "controlbench/controlnode.h"
#include "controlbench/processusage.h"
#include "controlbench/spreadrecorder.h"
#include "core/timetypes.h"
#include "daemon/configuration/configurationmanager.h"
#include "daemon/membership/membershipmanager.h"
#include "peer.pb.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace papayaspindle {

namespace {

constexpr std::chrono::seconds kMaxJoin{ 120 };
constexpr std::chrono::seconds kSettle{ 12 };
// The stated target for a change to be in force everywhere.
constexpr std::chrono::seconds kSpreadTarget{ 5 };
constexpr std::chrono::milliseconds kPollPause{ 100 };
constexpr std::size_t kWorkers = 16;
constexpr std::size_t kQueue = 100000;
constexpr double kPercent = 100;

v1::GroupSettings
MakeGroup(std::size_t aIndex, std::uint64_t aRevision)
{
  v1::GroupSettings settings;
  settings.set_group(fmt::format("group-{}", aIndex));
  for (int i = 0; i < 3; ++i) {
    v1::MemberSettings* member = settings.add_members();
    member->set_member(fmt::format("member-{}-{}", aIndex, i));
    member->set_address(fmt::format("10.{}.{}.{}:5001", i, aIndex / 250, aIndex % 250));
    member->set_availability_zone(fmt::format("zone-{}", i));
  }
  v1::StalenessRule* rule = settings.add_staleness_rules();
  rule->set_name("default");
  rule->set_max_staleness_ms(2000);
  settings.set_slots(2);
  settings.set_connection_limit(16);
  settings.set_revision(aRevision);
  return settings;
}

/** The nodes of a run and the platform that they use. */
class ControlCluster
{
public:
  explicit ControlCluster(const ControlSize& aSize)
    : mSize(aSize)
    , mRandom(aSize.mSeed)
    , mCalls("bench_calls", kWorkers, kQueue)
    , mHandlers("bench_handlers", kWorkers, kQueue)
  {
    Preload();
    for (std::size_t i = 0; i < aSize.mNodes; ++i) {
      const InstanceId instance(fmt::format("node-{}", i));
      const AvailabilityZone zone(fmt::format("zone-{}", i % aSize.mZones));
      mNodes.push_back(std::make_unique<ControlNode>(
        instance, zone, mPlatform, mSamples, BenchPools{ mCalls, mHandlers }, mRandom()));
    }
    for (const auto& node : mNodes) {
      node->Start();
    }
  }

  ~ControlCluster()
  {
    for (const auto& node : mNodes) {
      node->Stop();
    }
  }

  ControlCluster(const ControlCluster&) = delete;
  ControlCluster& operator=(const ControlCluster&) = delete;

  /** @return whether all nodes know all nodes and groups */
  bool HasJoined()
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
      return aNode->Configuration().Revision() >= mSize.mGroups &&
             aNode->Membership().Live().size() == mNodes.size();
    });
  }

  std::uint64_t Bytes() const
  {
    // A platform call has one end at a node, a peer call has two.
    std::uint64_t bytes = mPlatform.Bytes();
    for (const auto& node : mNodes) {
      bytes += node->PeerBytes();
    }
    return bytes;
  }

  bool CommitOne(std::size_t aIndex)
  {
    const std::size_t group = mRandom() % mSize.mGroups;
    v1::ChangeGroupRequest request;
    *request.mutable_settings() = MakeGroup(group, 0);
    request.mutable_settings()->set_connection_limit(16 + mRandom() % 16);
    request.set_expected_revision(mRevisions[group]);
    request.set_request_id(fmt::format("change-{}", aIndex));
    const auto reply =
      mNodes[mRandom() % mNodes.size()]->Configuration().Change(request, false);
    if (reply.has_error()) {
      return false;
    }
    mRevisions[group] = reply.revision();
    mLastRevision = std::max<std::uint64_t>(mLastRevision, reply.revision());
    return true;
  }

  std::size_t NodesBehind() const
  {
    return static_cast<std::size_t>(
      std::count_if(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
        return aNode->Configuration().Revision() < mLastRevision;
      }));
  }

  std::vector<double> TakeSamples() { return mSamples.Take(); }

private:
  void Preload()
  {
    v1::ConfigurationSnapshot snapshot;
    snapshot.set_revision(mSize.mGroups);
    for (std::size_t i = 0; i < mSize.mGroups; ++i) {
      const v1::GroupSettings group = MakeGroup(i, i + 1);
      *snapshot.add_groups() = group;
      mPlatform.SetRow("group/" + group.group(), group.SerializeAsString());
      mRevisions.push_back(i + 1);
    }
    mLastRevision = mSize.mGroups;
    mPlatform.SetRow("head", std::to_string(mSize.mGroups));
    v1::PutObjectRequest put;
    put.set_name(fmt::format("configuration/{:020}", mSize.mGroups));
    put.set_content(snapshot.SerializeAsString());
    mPlatform.Put(put, kPollPause);
  }

  ControlSize mSize;
  std::mt19937_64 mRandom;
  BenchPlatform mPlatform;
  SpreadSamples mSamples;
  std::vector<std::uint64_t> mRevisions;
  std::uint64_t mLastRevision = 0;
  WorkerPool mCalls;
  WorkerPool mHandlers;
  std::vector<std::unique_ptr<ControlNode>> mNodes;
};

double
Join(ControlCluster& aCluster)
{
  const TimePoint start = Clock::now();
  while (!aCluster.HasJoined() && Clock::now() - start < kMaxJoin) {
    std::this_thread::sleep_for(kPollPause);
  }
  return std::chrono::duration<double>(Clock::now() - start).count();
}

void
CommitChanges(ControlCluster& aCluster,
              const ControlSize& aSize,
              ControlFigures& aFigures)
{
  const TimePoint start = Clock::now();
  const TimePoint end = start + aSize.mDuration;
  // Exponential intervals, so that the changes are in step with no poll.
  std::mt19937_64 random(aSize.mSeed);
  std::exponential_distribution<double> interval(aSize.mChangesPerSecond);
  TimePoint next = start;
  for (;;) {
    next += std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(interval(random)));
    if (next >= end) {
      break;
    }
    std::this_thread::sleep_until(next);
    const bool accepted = aCluster.CommitOne(++aFigures.mChanges);
    aFigures.mRefusedChanges += accepted ? 0 : 1;
  }
  std::this_thread::sleep_until(end);
}

void
NoteSpread(std::vector<double> aSamples, ControlFigures& aFigures)
{
  if (aSamples.empty()) {
    return;
  }
  std::sort(aSamples.begin(), aSamples.end());
  aFigures.mSpreadMsP99 = aSamples[aSamples.size() * 99 / 100];
  aFigures.mSpreadMsMax = aSamples.back();
}

} // namespace

ControlFigures
RunControlNodes(const ControlSize& aSize)
{
  ControlFigures figures;
  figures.mSize = aSize;
  const double rssBefore = ProcessRssMb();
  const double heapBefore = ProcessHeapMb();
  ControlCluster cluster(aSize);
  figures.mJoinSeconds = Join(cluster);
  // Until the updates of the join have ended their rounds.
  std::this_thread::sleep_for(kSettle);
  cluster.TakeSamples();

  const TimePoint start = Clock::now();
  const double cpuBefore = ProcessCpuSeconds();
  const std::uint64_t bytesBefore = cluster.Bytes();
  CommitChanges(cluster, aSize, figures);
  const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
  const double perNode = seconds * static_cast<double>(aSize.mNodes);
  figures.mCpuPercentPerNode = kPercent * (ProcessCpuSeconds() - cpuBefore) / perNode;
  figures.mBytesPerSecondPerNode =
    static_cast<double>(cluster.Bytes() - bytesBefore) / perNode;
  figures.mRssMbPerNode =
    (ProcessRssMb() - rssBefore) / static_cast<double>(aSize.mNodes);
  figures.mHeapMbPerNode =
    (ProcessHeapMb() - heapBefore) / static_cast<double>(aSize.mNodes);
  std::this_thread::sleep_for(kSpreadTarget);
  figures.mNodesBehind = cluster.NodesBehind();
  NoteSpread(cluster.TakeSamples(), figures);
  return figures;
}

} // namespace papayaspindle
