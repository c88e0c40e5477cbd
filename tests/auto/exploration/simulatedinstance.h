#pragma once

#include "exploration/explorationcontext.h"
#include "exploration/instanceenvironment.h"
#include "proxy/homemonitor.h"
#include "proxy/hometable.h"
#include "proxy/instanceregistry.h"
#include "proxy/leadership/conditionalwriter.h"
#include "proxy/leadership/coordinationrows.h"
#include "proxy/leadership/leaderleases.h"
#include "proxy/leadership/leasekeeper.h"
#include "proxy/leadership/promotioncoordinator.h"
#include "proxy/leadership/storerecovery.h"
#include "proxy/memberlisting.h"
#include "proxy/proxycore.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace papayaspindle::exploration {

/** Properties of an instance's process. */
struct InstanceSetup
{
  std::string mName;
  std::string mZone;
  /** Number of the process; grows with each restart. */
  std::uint64_t mProcess = 1;
  std::size_t mHomesPerGroup = 4;
  proxy::LeadershipEnforcer mEnforcer = proxy::LeadershipEnforcer::Instances;
};

/** The process of one instance: the classes that PlatformService connects, connected in
 * the same way. */
class SimulatedInstance : public std::enable_shared_from_this<SimulatedInstance>
{
public:
  SimulatedInstance(ExplorationContext& aContext,
                    const InstanceSetup& aSetup,
                    const InstanceEnvironment& aEnvironment)
    : mContext(aContext)
    , mSetup(aSetup)
    , mEnvironment(aEnvironment)
    , mHomes(aSetup.mName, aSetup.mZone, aSetup.mHomesPerGroup)
    , mLeases(aSetup.mEnforcer,
              [this](std::string_view aGroup) { return SynchronousReplicas(aGroup); })
    , mAccess(aContext,
              aSetup.mName,
              [this](std::uint64_t aIncarnation) { OnIncarnation(aIncarnation); })
    , mWriter(WriterHooks())
    , mRecovery(aSetup.mName, RecoveryHooks())
    , mMonitor(MonitorHooks())
    , mRegistry(
        { aSetup.mName, aSetup.mZone, "127.0.0.1:1" },
        Store(),
        [this] { return mContext.mClock.Now(); },
        [this](std::span<const proxy::RegisteredInstance> aInstances) {
          mHomes.SetInstances(aInstances);
          mKeeper.OnGroupsChanged();
          mCore.OnRoutesToMembersChanged(mContext.mClock.Now());
        })
    , mPromotions(aSetup.mName, aSetup.mEnforcer, Store(), CoordinatorHooks())
    , mKeeper(aSetup.mZone, mLeases, KeeperHooks())
    , mCore(Settings(aSetup), CoreHooks())
  {
  }

  [[nodiscard]] const std::string& Name() const { return mSetup.mName; }
  [[nodiscard]] const std::string& Zone() const { return mSetup.mZone; }
  [[nodiscard]] std::uint64_t Process() const { return mSetup.mProcess; }
  [[nodiscard]] bool IsRunning() const { return mIsRunning; }
  [[nodiscard]] bool IsSuspended() const { return mIsSuspended; }
  [[nodiscard]] proxy::ProxyCore& Core() { return mCore; }
  [[nodiscard]] const proxy::ProxyCore& Core() const { return mCore; }
  [[nodiscard]] const proxy::HomeTable& Homes() const { return mHomes; }
  /** Open connections as the environment sees them, by key. */
  [[nodiscard]] const std::map<proxy::ConnectionKey, std::string>& Connections() const
  {
    return mConnections;
  }

  void Kill()
  {
    mIsRunning = false;
    mInbox.clear();
  }
  void Suspend() { mIsSuspended = true; }
  void Resume()
  {
    mIsSuspended = false;
    std::deque<std::function<void()>> inbox;
    inbox.swap(mInbox);
    for (const auto& event : inbox) {
      event();
    }
  }

  /** Passes an event to the process: once it is no longer suspended, and never after its
   * end. */
  void Post(std::function<void()> aEvent)
  {
    if (!mIsRunning) {
      return;
    }
    if (mIsSuspended) {
      mInbox.push_back(std::move(aEvent));
    } else {
      aEvent();
    }
  }

  void OnTimer()
  {
    if (!mIsRunning || mIsSuspended) {
      return;
    }
    const TimePoint now = mContext.mClock.Now();
    if (mCore.NextTimer() <= now) {
      mCore.OnTimer(now);
    }
    mWriter.OnTimer(now);
    if (mRecovery.NextTimer() <= now) {
      mRecovery.OnTimer(now);
    }
    if (mKeeper.NextTimer() <= now) {
      mKeeper.OnTimer(now);
    }
    if (mPromotions.NextTimer() <= now) {
      mPromotions.OnTimer(now);
    }
    if (mRegistry.NextTimer() <= now) {
      mRegistry.OnTimer(now);
    }
    mMonitor.OnTimer(now);
    if (mListing.Expire(now)) {
      mCore.OnDirectory(mListing.Listed(now), now);
    }
  }

  /** Learns the incarnation of rows that are fed. @return whether they may be used */
  bool AcceptsFeedOf(std::uint64_t aIncarnation) { return mAccess.Observe(aIncarnation); }

  /** Handles rows of the coordination table.
   *
   * @param aAsOf when the rows were the newest ones */
  void OnRowsFed(std::span<const proxy::StoredRow> aRows, TimePoint aAsOf)
  {
    OnCoordinationRows(aRows);
    if (mRecovery.AreRowsUsable()) {
      mLeases.OnStoreContact(aAsOf);
    }
  }

  void OnMembers(std::span<const proxy::MemberEntry> aEntries)
  {
    const TimePoint now = mContext.mClock.Now();
    mListing.SetStoreReachable(true, now);
    mListing.OnEntries(aEntries, now);
    mCore.OnDirectory(mListing.Listed(now), now);
  }
  void OnConfiguration(const proxy::ProxyConfiguration& aConfiguration)
  {
    mCore.OnConfiguration(aConfiguration, mContext.mClock.Now());
  }
  void OnStoreLost() { mListing.SetStoreReachable(false, mContext.mClock.Now()); }

  // Answers of other instances, as PlatformService handles them.

  void OnPeerResponded(const std::string& aHome)
  {
    mMonitor.OnResponse(aHome, mContext.mClock.Now());
  }
  void OnPeerDisconnected(const std::string& aHome)
  {
    mMonitor.OnDisconnected(aHome, mContext.mClock.Now());
  }
  void OnForwardAnswer(proxy::OperationKey aOperation,
                       const proxy::ClientAnswer& aAnswer,
                       const std::string& aHome)
  {
    FinishForwarded(aOperation);
    mHomes.OnAnswer(aHome);
    mCore.OnForwardAnswer(aOperation, aAnswer, mContext.mClock.Now());
  }
  void OnForwardFailed(proxy::OperationKey aOperation,
                       bool aWasSent,
                       const std::string& aHome)
  {
    const TimePoint now = mContext.mClock.Now();
    FinishForwarded(aOperation);
    mHomes.Avoid(aHome, now);
    mCore.OnForwardFailed(aOperation, aWasSent, now);
  }

private:
  static proxy::ProxySettings Settings(const InstanceSetup& aSetup)
  {
    proxy::ProxySettings settings;
    settings.mInstance = aSetup.mName;
    settings.mZone = aSetup.mZone;
    return settings;
  }

  void OnIncarnation(std::uint64_t aIncarnation)
  {
    const TimePoint now = mContext.mClock.Now();
    mWriter.OnIncarnation(aIncarnation, now);
    mListing.OnIncarnation(aIncarnation, now);
    mRegistry.OnIncarnation(aIncarnation, now);
    mRecovery.OnIncarnation(aIncarnation);
    mPromotions.OnIncarnation(aIncarnation, now);
    mContext.mJournal.Note(
      mSetup.mName, fmt::format("learns incarnation {} of the store", aIncarnation));
  }

  void ReadTable(std::string_view aTable,
                 std::function<void(const proxy::ReadResult&)> aHook);
  void WriteRow(const proxy::ConditionalWrite& aWrite,
                std::function<void(const proxy::WriteResult&)> aHook);

  /** @return whether the rows may be used */
  bool OnCoordinationRows(std::span<const proxy::StoredRow> aRows)
  {
    const TimePoint now = mContext.mClock.Now();
    if (!mRecovery.OnRows(aRows, now)) {
      return false;
    }
    const std::vector<proxy::StoredRow> rows = mRecovery.NewestRows(aRows);
    mLeases.OnRows(rows);
    mPromotions.OnRows(
      rows, now, [this](std::string_view aKey) { return mRecovery.ReceivedAt(aKey); });
    const std::vector<std::string> groups = mCore.GroupNames();
    const bool areLeasesNeeded =
      std::any_of(groups.begin(), groups.end(), [this](const std::string& aGroup) {
        return mLeases.AreNeeded(aGroup);
      });
    if (areLeasesNeeded) {
      mCore.OnRoutesToMembersChanged(now);
    }
    return true;
  }

  void ReadCoordinationRows(TimePoint aSentAt)
  {
    ReadTable(proxy::kCoordinationTable, [this, aSentAt](const proxy::ReadResult& aRead) {
      if (const auto* snapshot = std::get_if<proxy::TableSnapshot>(&aRead)) {
        if (OnCoordinationRows(snapshot->mRows)) {
          mLeases.OnStoreRead(aSentAt);
          mCore.OnRoutesToMembersChanged(mContext.mClock.Now());
        }
      }
    });
  }

  [[nodiscard]] std::uint32_t SynchronousReplicas(std::string_view aGroup) const
  {
    const auto& groups = mCore.Configuration().mGroups;
    const auto found = groups.find(aGroup);
    return found == groups.end() ? 0 : found->second.mSynchronousReplicas;
  }

  void FinishForwarded(proxy::OperationKey aOperation)
  {
    const auto found = mForwarded.find(aOperation);
    if (found != mForwarded.end()) {
      mMonitor.OnFinished(found->second);
      mForwarded.erase(found);
    }
  }

  std::vector<std::string> HomeGroups() const
  {
    std::vector<std::string> groups = mCore.GroupNames();
    std::erase_if(groups,
                  [this](const std::string& aGroup) { return !mHomes.IsHome(aGroup); });
    return groups;
  }

  proxy::ConditionalWriterHooks WriterHooks();
  proxy::StoreRecoveryHooks RecoveryHooks();
  proxy::SharedStore Store();
  proxy::HomeMonitorHooks MonitorHooks();
  proxy::LeaseKeeperHooks KeeperHooks();
  proxy::PromotionHooks CoordinatorHooks();
  std::function<void(std::string_view,
                     const proxy::MemberCommand&,
                     Duration,
                     TimePoint,
                     proxy::StatusHook)>
  StatusQueryHook();
  /** Notes log events under the item that they name first, such as a statement. */
  std::function<void(LogLevel, std::string_view, std::initializer_list<LogField>)>
  LogHook();
  proxy::ProxyHooks CoreHooks();
  void AddHomeHooks(proxy::ProxyHooks& aHooks);

  ExplorationContext& mContext;
  InstanceSetup mSetup;
  InstanceEnvironment mEnvironment;
  bool mIsRunning = true;
  bool mIsSuspended = false;
  std::deque<std::function<void()>> mInbox;
  std::map<proxy::OperationKey, std::string> mForwarded;
  std::map<proxy::ConnectionKey, std::string> mConnections;
  proxy::HomeTable mHomes;
  proxy::LeaderLeases mLeases;
  StoreAccess mAccess;
  proxy::ConditionalWriter mWriter;
  proxy::StoreRecovery mRecovery;
  proxy::HomeMonitor mMonitor;
  proxy::MemberListing mListing;
  proxy::InstanceRegistry mRegistry;
  proxy::PromotionCoordinator mPromotions;
  proxy::LeaseKeeper mKeeper;
  proxy::ProxyCore mCore;
};

} // namespace papayaspindle::exploration
