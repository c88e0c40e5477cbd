#include "controlbench/controlnode.h"

#include "daemon/configuration/configurationmanager.h"
#include "daemon/membership/membershipmanager.h"
#include "observe/metricregistry.h"
#include "observe/tracer.h"
#include "runtime/periodictask.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"

#include <array>
#include <atomic>
#include <map>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

namespace papayaspindle {

namespace {

constexpr std::chrono::milliseconds kTick{ 200 };
constexpr std::chrono::milliseconds kStopGrace{ 500 };
constexpr std::array kMethods{ "Probe", "PullConfiguration", "PushConfiguration" };

/** Handlers that are set after the listener has started and its address is known. */
class LateHandlers : public PeerHandlers
{
public:
  void Register(std::string_view aMethod, PeerHandler aHandler) override
  {
    mHandlers[std::string(aMethod)] = std::move(aHandler);
  }

  Result<std::string> Handle(const PeerRequest& aRequest)
  {
    if (!mOpen) {
      return Error{ ErrorKind::Draining, "the node has not started" };
    }
    return mHandlers.at(aRequest.mMethod)(aRequest);
  }

  std::atomic<bool> mOpen = false;

private:
  std::map<std::string, PeerHandler> mHandlers;
};

PeerServerSettings
ListenSettings()
{
  PeerServerSettings settings;
  settings.mListenAddress = "127.0.0.1:0";
  return settings;
}

std::uint64_t
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

struct ControlNode::Private
{
  Private(const InstanceId& aInstance,
          BenchPlatform& aPlatform,
          SpreadSamples& aSamples,
          BenchPools aPools)
    : mTracer(aInstance.Text(), {}, &mMetrics)
    , mGroups(aPlatform, aSamples)
    , mClient(PeerClientSettings())
    , mServer(ListenSettings(), aPools.mHandlers, aPools.mHandlers)
  {
  }

  MetricRegistry mMetrics;
  Tracer mTracer;
  SpreadRecorder mGroups;
  LateHandlers mHandlers;
  PeerClient mClient;
  PeerServer mServer;
  std::unique_ptr<MembershipManager> mMembership;
  std::unique_ptr<ConfigurationManager> mConfiguration;
  std::unique_ptr<PeriodicTask> mTicker;
};

ControlNode::ControlNode(const InstanceId& aInstance,
                         const AvailabilityZone& aZone,
                         BenchPlatform& aPlatform,
                         SpreadSamples& aSamples,
                         BenchPools aPools,
                         std::uint64_t aSeed)
  : mPrivate(std::make_unique<Private>(aInstance, aPlatform, aSamples, aPools))
{
  Private& node = *mPrivate;
  for (const char* method : kMethods) {
    node.mServer.Register(method, [this](const PeerRequest& aRequest) {
      return mPrivate->mHandlers.Handle(aRequest);
    });
  }
  const papayaspindle::Status started = node.mServer.Start();
  if (!IsOk(started)) {
    throw std::runtime_error(ErrorOf(started).mMessage);
  }
  const SubmitHook submit = [&pool = aPools.mCalls](std::function<void()> aTask) {
    return pool.Submit(std::move(aTask));
  };
  const std::string address = node.mServer.Address();
  MembershipManagerSettings settings;
  settings.mSelf = { aInstance, aZone, address, address };
  // Only the tick draws random numbers and it runs under the manager's lock.
  node.mMembership = std::make_unique<MembershipManager>(
    MembershipReferences{
      node.mClient,
      node.mHandlers,
      aPlatform,
      node.mMetrics,
      submit,
      [] { return Clock::now(); },
      [engine = std::mt19937_64(aSeed)]() mutable { return engine(); } },
    settings);
  node.mConfiguration = std::make_unique<ConfigurationManager>(
    ConfigurationReferences{ aPlatform,
                             aPlatform,
                             node.mClient,
                             node.mHandlers,
                             *node.mMembership,
                             node.mGroups,
                             node.mTracer,
                             node.mMetrics,
                             [this] { return mPrivate->mMembership->IsZoneDelegate(); },
                             submit,
                             [] { return Clock::now(); },
                             UnixMs,
                             [](Duration aTime) { std::this_thread::sleep_for(aTime); } },
    ConfigurationManagerSettings());
  node.mMembership->SetRevisionHooks(
    { [this] { return mPrivate->mConfiguration->Revision(); },
      [this](const InstanceInfo& aPeer, std::uint64_t aRevision) {
        mPrivate->mConfiguration->NotePeerRevision(aPeer, aRevision);
      } });
  v1::ListedInstance listed;
  listed.set_instance(aInstance.Text());
  listed.set_availability_zone(aZone.Text());
  listed.set_peer_address(address);
  listed.set_caller_address(address);
  listed.set_state(v1::INSTANCE_STATE_LIVE);
  aPlatform.AddInstance(listed);
}

ControlNode::~ControlNode() = default;

void
ControlNode::Start()
{
  mPrivate->mHandlers.mOpen = true;
  mPrivate->mTicker = std::make_unique<PeriodicTask>(kTick, [this] {
    mPrivate->mMembership->Tick();
    mPrivate->mConfiguration->Tick();
  });
}

void
ControlNode::Stop()
{
  mPrivate->mTicker.reset();
  mPrivate->mHandlers.mOpen = false;
  mPrivate->mServer.Stop(kStopGrace);
  mPrivate->mConfiguration->Stop();
  mPrivate->mMembership->Stop();
}

MembershipManager&
ControlNode::Membership()
{
  return *mPrivate->mMembership;
}

ConfigurationManager&
ControlNode::Configuration()
{
  return *mPrivate->mConfiguration;
}

std::uint64_t
ControlNode::PeerBytes() const
{
  const PeerTraffic client = mPrivate->mClient.Traffic();
  const PeerTraffic server = mPrivate->mServer.Traffic();
  return client.mBytesIn + client.mBytesOut + server.mBytesIn + server.mBytesOut;
}

} // namespace papayaspindle
