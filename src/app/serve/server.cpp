#include "serve/server.h"

#include "decision/drain/drainstate.h"
#include "observe/log.h"
#include "serve/serverparts.h"

#include <thread>

namespace papayaspindle {

namespace {

constexpr std::string_view kSubsystem = "serve";
constexpr std::chrono::milliseconds kDrainTick{ 20 };
// Answers that are ready still have to reach their callers.
constexpr std::chrono::milliseconds kAnswerGrace{ 2000 };

std::string_view
PhaseName(DrainPhase aPhase)
{
  switch (aPhase) {
    case DrainPhase::Serving:
      return "serving";
    case DrainPhase::Announcing:
      return "announcing";
    case DrainPhase::Draining:
      return "draining";
    case DrainPhase::Stopped:
      return "stopped";
  }
  return "unknown";
}

} // namespace

struct Server::Private
{
  explicit Private(const Settings& aSettings)
    : mCommon(aSettings)
  {
  }
  ~Private() { Stop(); }

  [[nodiscard]] WorkInFlight InFlight() const;
  void Stop();

  CommonParts mCommon;
  std::unique_ptr<TransportParts> mTransport;
  std::unique_ptr<ManagerParts> mManagers;
  std::unique_ptr<ServiceParts> mServices;
};

Server::Server(const Settings& aSettings)
  : mPrivate(std::make_unique<Private>(aSettings))
{
}

Server::~Server() = default;

Status
Server::Start()
{
  auto transport = TransportParts::Make(mPrivate->mCommon);
  if (!IsOk(transport)) {
    return ErrorOf(transport);
  }
  mPrivate->mTransport = std::move(ValueOf(transport));
  mPrivate->mManagers =
    std::make_unique<ManagerParts>(mPrivate->mCommon, *mPrivate->mTransport);
  mPrivate->mServices =
    std::make_unique<ServiceParts>(mPrivate->mCommon, *mPrivate->mManagers);
  const Status peers = mPrivate->mTransport->mPeerServer.Start();
  if (!IsOk(peers)) {
    return peers;
  }
  mPrivate->mManagers->Start();
  return mPrivate->mServices->Start(mPrivate->mCommon.mSettings);
}

bool
Server::Drain()
{
  const Settings& settings = mPrivate->mCommon.mSettings;
  DrainState state({ settings.mDrainAnnounce, settings.mDrainDeadline });
  state.Begin(Clock::now());
  mPrivate->mManagers->mMembership.AnnounceLeaving();
  DrainPhase phase = DrainPhase::Serving;
  WorkInFlight work;
  while (phase != DrainPhase::Stopped) {
    work = mPrivate->InFlight();
    const DrainPhase next = state.Tick(Clock::now(), work);
    if (next != phase) {
      phase = next;
      Log(LogLevel::Info,
          kSubsystem,
          "drain",
          { { "phase", std::string(PhaseName(phase)) },
            { "requests", std::to_string(work.mRequests) },
            { "transactions", std::to_string(work.mOpenTransactions) } });
    }
    if (phase == DrainPhase::Draining && !mPrivate->mCommon.mGate.Draining()) {
      mPrivate->mCommon.mGate.StartDrain();
    }
    std::this_thread::sleep_for(kDrainTick);
  }
  if (work.mRequests > 0 || work.mOpenTransactions > 0) {
    return false;
  }
  mPrivate->Stop();
  return true;
}

WorkInFlight
Server::Private::InFlight() const
{
  return { mCommon.mGate.InFlight(), mManagers->mStatements.OpenTransactions() };
}

void
Server::Private::Stop()
{
  if (mServices) {
    mServices->Stop(kAnswerGrace);
  }
  if (mTransport) {
    mTransport->mPeerServer.Stop(kAnswerGrace);
  }
  if (mManagers) {
    mManagers->Stop();
  }
  mServices.reset();
  mManagers.reset();
  mTransport.reset();
}

} // namespace papayaspindle
