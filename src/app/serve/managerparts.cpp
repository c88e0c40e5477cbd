#include "observe/randomid.h"
#include "serve/managersettings.h"
#include "serve/memberconnections.h"
#include "serve/serverparts.h"

#include <chrono>

namespace papayaspindle {

namespace {

constexpr std::chrono::milliseconds kConnectionTick{ 100 };
constexpr std::chrono::milliseconds kIdleTransactionTick{ 1000 };
constexpr std::size_t kProcessIdBytes = 8;

NowHook
SystemNow()
{
  return [] { return Clock::now(); };
}

std::uint64_t
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

template<typename Pool>
SubmitHook
SubmitTo(Pool& aPool)
{
  return [&aPool](std::function<void()> aTask) { return aPool.Submit(std::move(aTask)); };
}

MembershipReferences
MembershipUses(CommonParts& aCommon, TransportParts& aTransport)
{
  return { aTransport.mPeerClient, aTransport.mHandlers,        aTransport.mListing,
           aCommon.mMetrics,       SubmitTo(aCommon.mTaskPool), SystemNow(),
           SystemRandom() };
}

ConfigurationReferences
ConfigurationUses(CommonParts& aCommon,
                  TransportParts& aTransport,
                  MembershipManager& aMembership)
{
  return { aTransport.mTables,
           aTransport.mObjects,
           aTransport.mPeerClient,
           aTransport.mHandlers,
           aMembership,
           aCommon.mGroups,
           aCommon.mTracer,
           aCommon.mMetrics,
           [&aMembership] { return aMembership.IsZoneDelegate(); },
           SubmitTo(aCommon.mTaskPool),
           SystemNow(),
           &UnixMs,
           SystemStatementHooks().mPause };
}

} // namespace

ManagerParts::ManagerParts(CommonParts& aCommon, TransportParts& aTransport)
  : mAllowanceInterval(aCommon.mSettings.mAllowanceInterval)
  , mMembership(MembershipUses(aCommon, aTransport),
                MembershipSettingsOf(aCommon.mSettings))
  , mHomes(aCommon.mGroups, mMembership, SystemNow())
  , mConfiguration(ConfigurationUses(aCommon, aTransport, mMembership),
                   ConfigurationSettingsOf(aCommon.mSettings))
  , mMonitor({ aCommon.mGroups, mHomes, aTransport.mMembers },
             MonitorSettingsOf(aCommon.mSettings),
             SystemNow())
  , mFailovers({ aCommon.mGroups,
                 mHomes,
                 mMembership,
                 aTransport.mMembers,
                 mMonitor,
                 aTransport.mPeerClient,
                 aTransport.mHandlers,
                 aTransport.mTables,
                 aCommon.mTracer },
               FailoverSettingsOf(aCommon.mSettings),
               { SystemNow(), SystemRandom() })
  , mConnectionTasks(SubmitTo(aCommon.mConnectionPool))
  , mConnections({ OpenMemberConnections(aTransport.mMemberChannels),
                   SubmitTo(mConnectionTasks),
                   SystemNow() },
                 aCommon.mGroups,
                 aCommon.mMetrics,
                 aCommon.mTracer)
  , mAllowanceTasks(SubmitTo(aCommon.mTaskPool))
  , mAllowances({ aTransport.mTables,
                  aTransport.mListing,
                  aTransport.mPeerClient,
                  aCommon.mGroups,
                  mHomes,
                  mMembership,
                  mConnections,
                  aCommon.mMetrics },
                RandomHexId(kProcessIdBytes),
                SubmitTo(mAllowanceTasks),
                SystemNow())
  , mReporting(mConnections,
               { [this](const GroupId& aGroup) { mMonitor.NoteStatement(aGroup); },
                 [this](const GroupId& aGroup, const MemberId& aMember) {
                   mMonitor.ReportTrafficError(aGroup, aMember);
                 } })
  , mStatements({ aCommon.mGroups,
                  mHomes,
                  mMembership,
                  mReporting,
                  aTransport.mMembers,
                  aTransport.mPeerClient,
                  aTransport.mHandlers,
                  mFreshness,
                  aCommon.mTracer },
                StatementSettingsOf(aCommon.mSettings),
                SystemStatementHooks())
{
  mAllowances.Register(aTransport.mHandlers);
  mMonitor.AddStatusListener([this](const GroupId& aGroup,
                                    const MemberId& aMember,
                                    const v1::StatusReply& aReply,
                                    TimePoint aAskedAt) {
    mFreshness.OnStatus(aGroup, aMember, aReply, aAskedAt);
  });
  mMembership.SetRevisionHooks(
    { [this] { return mConfiguration.Revision(); },
      [this](const InstanceInfo& aPeer, std::uint64_t aRevision) {
        mConfiguration.NotePeerRevision(aPeer, aRevision);
      } });
}

void
ManagerParts::Start()
{
  mMembership.Start();
  mConfiguration.Start();
  mMonitor.Start();
  mFailovers.Start();
  Every(kConnectionTick, [this] { mConnections.Tick(); });
  Every(kIdleTransactionTick, [this] { mStatements.CloseIdleTransactions(); });
  Every(mAllowanceInterval, [this] { mAllowances.RenewLeases(); });
  Every(mAllowanceInterval, [this] { mAllowances.SyncStore(); });
}

void
ManagerParts::Stop()
{
  mTimers.clear();
  mAllowances.GiveUp();
  mMonitor.Stop();
  mFailovers.Stop();
  mAllowanceTasks.Stop();
  mConnectionTasks.Stop();
  mConfiguration.Stop();
  mMembership.Stop();
}

void
ManagerParts::Every(std::chrono::milliseconds aInterval, std::function<void()> aCall)
{
  mTimers.push_back(std::make_unique<PeriodicTask>(aInterval, std::move(aCall)));
}

} // namespace papayaspindle
