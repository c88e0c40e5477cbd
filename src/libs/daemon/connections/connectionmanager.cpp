#include "daemon/connections/connectionmanager.h"

#include "daemon/connections/connectionrunner.h"
#include "daemon/connections/connectiontable.h"
#include "daemon/connections/poolregistry.h"
#include "interfaces/groups.h"
#include "observe/log.h"
#include "observe/metricregistry.h"
#include "observe/tracer.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace papayaspindle {

namespace {

/** Time for opening a connection; the slowest take 30 ms. */
constexpr std::chrono::seconds kOpenTimeout{ 1 };
/** Time for a PING statement on a connection in doubt. */
constexpr std::chrono::milliseconds kProbeTimeout{ 500 };

} // namespace

struct ConnectionManager::Private
{
  Private(ConnectionHooks aHooks,
          const Groups& aGroups,
          MetricRegistry& aMetrics,
          Tracer& aTracer)
    : mHooks(std::move(aHooks))
    , mGroups(aGroups)
    , mMetrics(aMetrics)
    , mTracer(aTracer)
  {
  }

  /** Changes a pool under its lock, then does what it asks for. */
  template<typename Change>
  void Update(const GroupId& aGroup, const Change& aChange);
  /** Takes the group's settings into its pool. */
  void Configure(const GroupId& aGroup);
  void Execute(const GroupId& aGroup, const PoolWork& aWork);
  void Open(const GroupId& aGroup, const PoolOpening& aOpening);
  void Probe(const GroupId& aGroup, ConnectionId aConnection);
  void Close(ConnectionId aConnection);
  Result<ConnectionId> Wait(const AcquireRequest& aRequest);
  Result<ConnectionId> Admit(const AcquireRequest& aRequest);
  void Take(ConnectionId aConnection, const GroupId& aGroup, const RunOutcome& aOutcome);
  bool Begin();
  void End();

  ConnectionHooks mHooks;
  const Groups& mGroups;
  MetricRegistry& mMetrics;
  Tracer& mTracer;
  ConnectionTable mTable;
  PoolRegistry mPools;
  std::mutex mDrainMutex;
  std::condition_variable mDrained;
  bool mDraining = false;
  /** Acquisitions that wait and connections that have an owner. */
  std::uint64_t mActive = 0;
};

template<typename Change>
void
ConnectionManager::Private::Update(const GroupId& aGroup, const Change& aChange)
{
  PoolSlot& slot = mPools.SlotOf(aGroup);
  PoolWork work;
  {
    const std::lock_guard lock(slot.mMutex);
    aChange(slot.mPool);
    work = slot.mPool.Advance(mHooks.mNow());
    slot.Deliver(work);
  }
  Execute(aGroup, work);
}

void
ConnectionManager::Private::Configure(const GroupId& aGroup)
{
  const std::optional<GroupSettings> settings = mGroups.Settings(aGroup);
  Update(aGroup, [&settings](GroupPool& aPool) {
    if (settings) {
      aPool.Configure(*settings);
    }
  });
}

void
ConnectionManager::Private::Execute(const GroupId& aGroup, const PoolWork& aWork)
{
  for (const ConnectionId connection : aWork.mCloses) {
    Close(connection);
    Update(aGroup, [&](GroupPool& aPool) { aPool.OnClosed(connection); });
  }
  for (const ConnectionId connection : aWork.mProbes) {
    if (!mHooks.mSubmit([this, aGroup, connection] { Probe(aGroup, connection); })) {
      Update(aGroup, [&](GroupPool& aPool) {
        aPool.Condemn(connection, InvalidationReason::Lost, mHooks.mNow());
        aPool.OnProbed(connection);
      });
    }
  }
  for (const PoolOpening& opening : aWork.mOpenings) {
    if (!mHooks.mSubmit([this, aGroup, opening] { Open(aGroup, opening); })) {
      Update(aGroup, [&](GroupPool& aPool) {
        aPool.OnOpenFailed(opening.mMember, mHooks.mNow());
      });
    }
  }
}

void
ConnectionManager::Private::Open(const GroupId& aGroup, const PoolOpening& aOpening)
{
  const TimePoint begin = mHooks.mNow();
  auto opened =
    mHooks.mOpen({ aGroup, aOpening.mMember, aOpening.mAddress, begin + kOpenTimeout });
  if (!IsOk(opened)) {
    mMetrics.Add("connections.open_failed");
    Log(LogLevel::Warning,
        "connections",
        "open_failed",
        { { "group", aGroup.Text() },
          { "member", aOpening.mMember.Text() },
          { "error", ErrorOf(opened).mMessage } });
    Update(aGroup, [&](GroupPool& aPool) {
      aPool.OnOpenFailed(aOpening.mMember, mHooks.mNow());
    });
    return;
  }
  mMetrics.Add("connections.opened");
  const std::chrono::duration<double, std::micro> took = mHooks.mNow() - begin;
  mMetrics.Record("connections.open", "us", took.count());
  const ConnectionId id =
    mTable.Add({ aGroup, aOpening.mMember, std::move(ValueOf(opened)) });
  Update(aGroup, [&](GroupPool& aPool) {
    aPool.OnOpened(id, aOpening.mMember, aOpening.mAddress, mHooks.mNow());
  });
}

void
ConnectionManager::Private::Probe(const GroupId& aGroup, ConnectionId aConnection)
{
  const std::optional<ConnectionTurn> turn = mTable.NextTurn(aConnection);
  if (!turn) {
    return;
  }
  v1::SessionRequest ping;
  ping.set_kind(v1::STATEMENT_KIND_PING);
  const TimePoint deadline = mHooks.mNow() + kProbeTimeout;
  const RunOutcome outcome = RunOnce(*turn, std::move(ping), deadline, mHooks.mNow);
  mMetrics.Add("connections.probed");
  Take(aConnection, aGroup, outcome);
  Update(aGroup, [&](GroupPool& aPool) { aPool.OnProbed(aConnection); });
}

void
ConnectionManager::Private::Close(ConnectionId aConnection)
{
  const std::optional<ConnectionEntry> entry = mTable.Remove(aConnection);
  if (entry) {
    entry->mConnection->Close();
    mMetrics.Add("connections.closed");
  }
}

/** Tells the pool how a request ended on a connection. */
void
ConnectionManager::Private::Take(ConnectionId aConnection,
                                 const GroupId& aGroup,
                                 const RunOutcome& aOutcome)
{
  if (!aOutcome.mCondemned) {
    PoolSlot& slot = mPools.SlotOf(aGroup);
    const std::lock_guard lock(slot.mMutex);
    if (IsOk(aOutcome.mAnswer)) {
      slot.mPool.OnAnswer(aConnection, mHooks.mNow());
    }
    return;
  }
  mMetrics.Add("connections.condemned");
  Log(LogLevel::Warning,
      "connections",
      "condemned",
      { { "group", aGroup.Text() }, { "error", ErrorOf(aOutcome.mAnswer).mMessage } });
  Update(aGroup, [&](GroupPool& aPool) {
    aPool.Condemn(aConnection, *aOutcome.mCondemned, aOutcome.mSentAt);
  });
}

Result<ConnectionId>
ConnectionManager::Private::Admit(const AcquireRequest& aRequest)
{
  const std::optional<GroupSettings> settings = mGroups.Settings(aRequest.mGroup);
  if (!settings) {
    return Error{ ErrorKind::UnknownGroup, aRequest.mGroup.Text() };
  }
  Update(aRequest.mGroup, [&settings](GroupPool& aPool) { aPool.Configure(*settings); });
  if (!Begin()) {
    return Error{ ErrorKind::Draining, "this instance is shutting down" };
  }
  Result<ConnectionId> outcome = Wait(aRequest);
  if (!IsOk(outcome)) {
    End();
  }
  return outcome;
}

Result<ConnectionId>
ConnectionManager::Private::Wait(const AcquireRequest& aRequest)
{
  PoolSlot& slot = mPools.SlotOf(aRequest.mGroup);
  PoolTicket ticket;
  {
    const std::lock_guard lock(slot.mMutex);
    const Result<PoolTicket> entered = slot.mPool.Enter(aRequest, mHooks.mNow());
    if (!IsOk(entered)) {
      return ErrorOf(entered);
    }
    ticket = ValueOf(entered);
    slot.mWaiters.try_emplace(ticket);
  }
  for (;;) {
    Update(aRequest.mGroup, [](GroupPool&) {});
    std::unique_lock lock(slot.mMutex);
    PoolWaiter& waiter = slot.mWaiters.at(ticket);
    const TimePoint wake = Clock::now() + (aRequest.mDeadline - mHooks.mNow());
    waiter.mWake.wait_until(lock, wake, [&] { return waiter.mOutcome.has_value(); });
    if (waiter.mOutcome) {
      const Result<ConnectionId> outcome = *waiter.mOutcome;
      slot.mWaiters.erase(ticket);
      return outcome;
    }
  }
}

bool
ConnectionManager::Private::Begin()
{
  const std::lock_guard lock(mDrainMutex);
  if (mDraining) {
    return false;
  }
  ++mActive;
  return true;
}

void
ConnectionManager::Private::End()
{
  const std::lock_guard lock(mDrainMutex);
  --mActive;
  if (mActive == 0) {
    mDrained.notify_all();
  }
}

ConnectionManager::ConnectionManager(ConnectionHooks aHooks,
                                     const Groups& aGroups,
                                     MetricRegistry& aMetrics,
                                     Tracer& aTracer)
  : mPrivate(std::make_unique<Private>(std::move(aHooks), aGroups, aMetrics, aTracer))
{
}

ConnectionManager::~ConnectionManager() = default;

Result<ConnectionId>
ConnectionManager::Acquire(const AcquireRequest& aRequest)
{
  Span span = mPrivate->mTracer.Start("connection_wait", aRequest.mTraceparent);
  span.SetAttribute("group", aRequest.mGroup.Text());
  span.SetAttribute("member", aRequest.mMember.Text());
  Result<ConnectionId> outcome = mPrivate->Admit(aRequest);
  if (!IsOk(outcome)) {
    span.SetError(ErrorOf(outcome).mMessage);
    mPrivate->mMetrics.Add("connections.refused");
  }
  return outcome;
}

Result<v1::SessionAnswer>
ConnectionManager::Run(ConnectionId aConnection,
                       v1::SessionRequest aRequest,
                       TimePoint aDeadline)
{
  const std::optional<ConnectionTurn> turn = mPrivate->mTable.NextTurn(aConnection);
  if (!turn) {
    return Error{ ErrorKind::MemberUnreachable, "the connection is closed" };
  }
  const GroupId& group = turn->mEntry.mGroup;
  {
    PoolSlot& slot = mPrivate->mPools.SlotOf(group);
    const std::lock_guard lock(slot.mMutex);
    if (!slot.mPool.IsUsable(aConnection)) {
      return Error{ ErrorKind::MemberUnreachable, "the connection has no owner" };
    }
  }
  RunOutcome outcome =
    RunOnce(*turn, std::move(aRequest), aDeadline, mPrivate->mHooks.mNow);
  mPrivate->Take(aConnection, group, outcome);
  return std::move(outcome.mAnswer);
}

void
ConnectionManager::Release(ConnectionId aConnection, ConnectionState aState)
{
  const std::optional<ConnectionEntry> entry = mPrivate->mTable.Find(aConnection);
  if (!entry) {
    return;
  }
  bool owned = false;
  mPrivate->Update(entry->mGroup, [&](GroupPool& aPool) {
    owned = aPool.OnReleased(aConnection, aState, mPrivate->mHooks.mNow());
  });
  if (owned) {
    mPrivate->End();
  }
}

void
ConnectionManager::SetAllowance(const GroupId& aGroup, const GroupAllowance& aAllowance)
{
  mPrivate->Update(aGroup, [&](GroupPool& aPool) { aPool.SetAllowance(aAllowance); });
  mPrivate->Configure(aGroup);
}

ShareUse
ConnectionManager::TakeUse(const GroupId& aGroup)
{
  PoolSlot& slot = mPrivate->mPools.SlotOf(aGroup);
  const std::lock_guard lock(slot.mMutex);
  return { slot.mPool.TakeDemand(), slot.mPool.Held() };
}

std::uint32_t
ConnectionManager::Held(const GroupId& aGroup)
{
  PoolSlot& slot = mPrivate->mPools.SlotOf(aGroup);
  const std::lock_guard lock(slot.mMutex);
  return slot.mPool.Held();
}

PoolReport
ConnectionManager::Report(const GroupId& aGroup)
{
  PoolSlot& slot = mPrivate->mPools.SlotOf(aGroup);
  const std::lock_guard lock(slot.mMutex);
  return { slot.mPool.Allowance(), slot.mPool.Owned(), slot.mPool.Waiting() };
}

void
ConnectionManager::Tick()
{
  for (const GroupId& group : mPrivate->mPools.Names()) {
    mPrivate->Configure(group);
  }
}

bool
ConnectionManager::Drain(TimePoint aDeadline)
{
  std::unique_lock lock(mPrivate->mDrainMutex);
  mPrivate->mDraining = true;
  const TimePoint wake = Clock::now() + (aDeadline - mPrivate->mHooks.mNow());
  return mPrivate->mDrained.wait_until(
    lock, wake, [this] { return mPrivate->mActive == 0; });
}

} // namespace papayaspindle
