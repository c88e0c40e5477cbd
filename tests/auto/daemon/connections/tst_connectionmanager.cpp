#include "daemon/connections/connectionmanager.h"
#include "observe/metricregistry.h"
#include "observe/tracer.h"
#include "runtime/grouptable.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const GroupId kGroup("lanes");
const MemberId kA("a");

/** What the fake member does with the next request. */
enum class Behaviour : std::uint8_t
{
  Answer,
  Silent,
  WrongSequence,
  TooLarge,
  Truncated,
};

/** State of one fake connection; outlives it. */
struct Wire
{
  Behaviour mBehaviour = Behaviour::Answer;
  std::atomic<bool> mBusy{ false };
  bool mClosed = false;
  int mPings = 0;
  int mRequests = 0;
};

struct World;

class FakeConnection : public MemberConnection
{
public:
  FakeConnection(World& aWorld, Wire& aWire)
    : mWorld(aWorld)
    , mWire(aWire)
  {
  }
  Result<v1::SessionAnswer> Run(const v1::SessionRequest& aRequest,
                                TimePoint aDeadline) override;
  void Close() override { mWire.mClosed = true; }

private:
  World& mWorld;
  Wire& mWire;
};

/** One group with one member, a manual clock, and tasks that run at once. */
struct World
{
  TimePoint mNow{ 1h };
  GroupSettings mSettings;
  GroupTable mGroups;
  MetricRegistry mMetrics;
  Tracer mTracer{ "test", {}, nullptr };
  std::mutex mWiresMutex;
  std::deque<Wire> mWires;
  bool mRefuseOpen = false;
  std::atomic<bool> mShared{ false };
  ConnectionManager mManager;

  World()
    : mManager({ [this](const OpenRequest&) { return Open(); },
                 [](const std::function<void()>& aTask) {
                   aTask();
                   return true;
                 },
                 [this] { return mNow; } },
               mGroups,
               mMetrics,
               mTracer)
  {
    mSettings.mGroup = kGroup;
    mSettings.mMembers = { { kA, "127.0.0.1:1", AvailabilityZone("z"), false } };
    mSettings.mSlots = 4;
    mSettings.mConnectionLimit = 16;
    mSettings.mRevision = 1;
    mGroups.OfferSettings(mSettings);
  }

  Result<std::unique_ptr<MemberConnection>> Open()
  {
    const std::lock_guard lock(mWiresMutex);
    if (mRefuseOpen) {
      return Error{ ErrorKind::MemberUnreachable, "refused" };
    }
    return std::make_unique<FakeConnection>(*this, mWires.emplace_back());
  }

  Result<ConnectionId> Acquire(Duration aLeft = 10s)
  {
    return mManager.Acquire({ kGroup, kA, CallerId("kiosk"), false, mNow + aLeft, "" });
  }

  Result<v1::SessionAnswer> Run(ConnectionId aConnection)
  {
    v1::SessionRequest request;
    request.set_kind(v1::STATEMENT_KIND_EXECUTE);
    return mManager.Run(aConnection, request, mNow + 1s);
  }

  /** @return connections to hold, acquired together */
  std::vector<ConnectionId> AcquireAll(std::size_t aCount)
  {
    std::vector<ConnectionId> all;
    for (std::size_t i = 0; i < aCount; ++i) {
      all.push_back(ValueOf(Acquire()));
    }
    return all;
  }

  int OpenCount()
  {
    int open = 0;
    for (const Wire& wire : mWires) {
      open += wire.mClosed ? 0 : 1;
    }
    return open;
  }
};

Result<v1::SessionAnswer>
FakeConnection::Run(const v1::SessionRequest& aRequest, TimePoint aDeadline)
{
  if (mWire.mBusy.exchange(true)) {
    mWorld.mShared = true;
  }
  std::this_thread::yield();
  ++mWire.mRequests;
  mWire.mPings += aRequest.kind() == v1::STATEMENT_KIND_PING ? 1 : 0;
  mWire.mBusy = false;
  v1::SessionAnswer answer;
  answer.set_sequence(aRequest.sequence());
  switch (mWire.mBehaviour) {
    case Behaviour::Answer:
      return answer;
    case Behaviour::WrongSequence:
      answer.set_sequence(aRequest.sequence() - 1);
      return answer;
    case Behaviour::TooLarge:
      return Error{ ErrorKind::AnswerTooLarge, "" };
    case Behaviour::Truncated:
      return Error{ ErrorKind::OutcomeUnknown, "" };
    case Behaviour::Silent:
      mWorld.mNow = aDeadline;
      return Error{ ErrorKind::OutcomeUnknown, "" };
  }
  return answer;
}

ErrorKind
KindOf(const Result<ConnectionId>& aResult)
{
  return IsOk(aResult) ? ErrorKind::Internal : ErrorOf(aResult).mKind;
}

} // namespace

// Guards against two transactions on one connection, and against more connections than
// the allowance while many threads compete.
TEST_CASE("a connection has one owner", "[connections]")
{
  World world;
  world.mManager.SetAllowance(kGroup, { 3, 0, {} });
  std::vector<std::thread> threads;
  std::atomic<int> served{ 0 };
  threads.reserve(6);
  for (int i = 0; i < 6; ++i) {
    threads.emplace_back([&world, &served] {
      for (int turn = 0; turn < 300; ++turn) {
        const auto acquired = world.Acquire(1min);
        if (IsOk(acquired)) {
          served += IsOk(world.Run(ValueOf(acquired))) ? 1 : 0;
          world.mManager.Release(ValueOf(acquired), ConnectionState::Clean);
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(served == 1800);
  CHECK_FALSE(world.mShared);
  CHECK(world.mWires.size() <= 3);
  const ConnectionId released = ValueOf(world.Acquire());
  world.mManager.Release(released, ConnectionState::Clean);
  CHECK_FALSE(IsOk(world.Run(released)));
}

// Guards against a connection that is used again in an unknown state or after a bad
// answer.
TEST_CASE("a connection of doubtful state is closed", "[connections]")
{
  const auto behaviour = GENERATE(Behaviour::Answer,
                                  Behaviour::Silent,
                                  Behaviour::WrongSequence,
                                  Behaviour::TooLarge,
                                  Behaviour::Truncated);
  const bool answers = behaviour == Behaviour::Answer;
  World world;
  world.mManager.SetAllowance(kGroup, { 1, 0, {} });
  const ConnectionId connection = ValueOf(world.Acquire());
  world.mWires[0].mBehaviour = behaviour;
  CHECK(IsOk(world.Run(connection)) == answers);
  if (!answers) {
    CHECK(IsOk(world.Run(connection)) == false);
    CHECK(world.mWires[0].mRequests == 1);
  }
  world.mManager.Release(connection,
                         answers ? ConnectionState::Unknown : ConnectionState::Clean);
  CHECK(world.mWires[0].mClosed);
  CHECK(world.OpenCount() == 1);
  CHECK(ValueOf(world.Acquire()) != connection);
}

// Guards against a request that is lost on each of the connections that went silent.
TEST_CASE("siblings of a silent connection are probed before use", "[connections]")
{
  World world;
  world.mManager.SetAllowance(kGroup, { 4, 0, {} });
  const auto all = world.AcquireAll(4);
  for (std::size_t i = 1; i < 4; ++i) {
    world.mManager.Release(all[i], ConnectionState::Clean);
  }
  world.mNow += 1s;
  world.mWires[0].mBehaviour = Behaviour::Silent;
  world.mWires[1].mBehaviour = Behaviour::Silent;
  CHECK(ErrorOf(world.Run(all[0])).mKind == ErrorKind::OutcomeUnknown);
  world.mManager.Release(all[0], ConnectionState::Unknown);
  CHECK(world.mWires[0].mClosed);
  CHECK(world.mWires[1].mClosed);
  for (const std::size_t healthy : { 2U, 3U }) {
    CHECK(world.mWires[healthy].mPings == 1);
    CHECK_FALSE(world.mWires[healthy].mClosed);
  }
  CHECK(IsOk(world.Run(ValueOf(world.Acquire()))));
}

// Guards against waits that cannot succeed, and refusals that hide what was not run.
TEST_CASE("what cannot be served is refused early as not run", "[connections]")
{
  World world;
  CHECK(KindOf(world.Acquire()) == ErrorKind::ConnectionLimit);
  world.mManager.SetAllowance(kGroup, { 1, 0, {} });
  const ConnectionId owned = ValueOf(world.Acquire());
  CHECK(KindOf(world.Acquire(1ms)) == ErrorKind::Overloaded);
  CHECK(KindOf(world.Acquire(0ms)) == ErrorKind::DeadlineBeforeStart);
  const auto unknown =
    world.mManager.Acquire({ GroupId("x"), kA, CallerId(), false, world.mNow + 1s, "" });
  CHECK(KindOf(unknown) == ErrorKind::UnknownGroup);
  world.mRefuseOpen = true;
  world.mManager.Release(owned, ConnectionState::Unknown);
  CHECK(KindOf(world.Acquire()) == ErrorKind::MemberUnreachable);
  for (const ErrorKind kind : { ErrorKind::ConnectionLimit,
                                ErrorKind::Overloaded,
                                ErrorKind::DeadlineBeforeStart,
                                ErrorKind::UnknownGroup,
                                ErrorKind::MemberUnreachable,
                                ErrorKind::Draining }) {
    CHECK(AnswerFor(kind).mExecution == Execution::NotRun);
  }
  world.mRefuseOpen = false;
  world.mNow += 250ms;
  CHECK(IsOk(world.Acquire()));
}

// Guards against connections over the limit: after a smaller share, and after a pause in
// which the lease lapsed.
TEST_CASE("connections over the allowance are closed", "[connections]")
{
  World world;
  world.mManager.SetAllowance(kGroup, { 1, 3, world.mNow + 3s });
  const auto all = world.AcquireAll(4);
  CHECK(KindOf(world.Acquire(1ms)) == ErrorKind::Overloaded);
  world.mManager.Release(all[0], ConnectionState::Clean);
  world.mManager.SetAllowance(kGroup, { 1, 2, world.mNow + 3s });
  CHECK(world.mWires[0].mClosed);
  CHECK(world.OpenCount() == 3);
  world.mManager.Release(all[1], ConnectionState::Clean);
  world.mManager.Release(all[2], ConnectionState::Clean);
  CHECK(world.OpenCount() == 3);
  world.mNow += 3s;
  CHECK(KindOf(world.Acquire(1ms)) == ErrorKind::Overloaded);
  CHECK(world.OpenCount() == 1);
  CHECK(IsOk(world.Run(all[3])));
  world.mManager.SetAllowance(kGroup, { 0, 0, {} });
  CHECK(world.OpenCount() == 1);
  world.mManager.Release(all[3], ConnectionState::Clean);
  CHECK(world.OpenCount() == 0);
  CHECK(world.mManager.Held(kGroup) == 0);
}

// Guards against new work for a member that leaves, and work that its leave interrupts.
TEST_CASE("a leaving member gets no new work", "[connections]")
{
  World world;
  world.mManager.SetAllowance(kGroup, { 2, 0, {} });
  const auto all = world.AcquireAll(2);
  world.mManager.Release(all[0], ConnectionState::Clean);
  world.mSettings.mMembers[0].mLeaving = true;
  world.mSettings.mRevision = 2;
  world.mGroups.OfferSettings(world.mSettings);
  world.mManager.Tick();
  CHECK(world.OpenCount() == 1);
  CHECK(KindOf(world.Acquire()) == ErrorKind::MemberUnreachable);
  CHECK(IsOk(world.Run(all[1])));
  world.mManager.Release(all[1], ConnectionState::Clean);
  CHECK(world.OpenCount() == 0);
}

// Guards against a shutdown that interrupts an owner.
TEST_CASE("draining waits for owners", "[connections]")
{
  World world;
  world.mManager.SetAllowance(kGroup, { 2, 0, {} });
  const ConnectionId owned = ValueOf(world.Acquire());
  CHECK_FALSE(world.mManager.Drain(world.mNow));
  CHECK(KindOf(world.Acquire()) == ErrorKind::Draining);
  CHECK(IsOk(world.Run(owned)));
  world.mManager.Release(owned, ConnectionState::Clean);
  CHECK(world.mManager.Drain(world.mNow));
}
