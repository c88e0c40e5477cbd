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
#include "proxy/memberlisting.h"
#include "proxy/proxycore.h"

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
    , mLeases(aSetup.mEnforcer)
    , mWriter(WriterHooks())
    , mMonitor(MonitorHooks())
    , mRegistry({ aSetup.mName, aSetup.mZone, "127.0.0.1:1" },
                Store(),
                [this] { return mContext.mClock.Now(); },
                [this](std::span<const proxy::RegisteredInstance> aInstances) {
                  mHomes.SetInstances(aInstances);
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

  /** Handles rows of the coordination table.
   *
   * @param aAsOf when the rows were the newest ones */
  void OnRowsFed(std::span<const proxy::StoredRow> aRows, TimePoint aAsOf)
  {
    OnCoordinationRows(aRows);
    mLeases.OnStoreContact(aAsOf);
  }

  void OnMembers(std::span<const proxy::MemberEntry> aEntries)
  {
    const TimePoint now = mContext.mClock.Now();
    mListing.SetStoreReachable(true, now);
    mListing.OnEntries(aEntries, now);
    mCore.OnDirectory(mListing.Listed(now), now);
  }
  void OnStoreLost() { mListing.SetStoreReachable(false, mContext.mClock.Now()); }

  // Answers of other instances, as PlatformService handles them.

  void OnPeerResponded(const std::string& aHome)
  {
    mMonitor.OnResponse(aHome, mContext.mClock.Now());
  }
  void OnPeerDisconnected(const std::string& aHome) { mMonitor.OnDisconnected(aHome); }
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

  void OnCoordinationRows(std::span<const proxy::StoredRow> aRows)
  {
    const TimePoint now = mContext.mClock.Now();
    mLeases.OnRows(aRows);
    mPromotions.OnRows(aRows, now);
    if (mLeases.AreNeeded()) {
      mCore.OnRoutesToMembersChanged(now);
    }
  }

  void ReadCoordinationRows(TimePoint aSentAt)
  {
    mEnvironment.mRead(
      *this, proxy::kCoordinationTable, [this, aSentAt](const proxy::ReadResult& aRead) {
        if (const auto* snapshot = std::get_if<proxy::TableSnapshot>(&aRead)) {
          OnCoordinationRows(snapshot->mRows);
          mLeases.OnStoreRead(aSentAt);
          mCore.OnRoutesToMembersChanged(mContext.mClock.Now());
        }
      });
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
    std::erase_if(groups, [this](const std::string& aGroup) {
      return !mHomes.IsHome(aGroup);
    });
    return groups;
  }

  proxy::ConditionalWriterHooks WriterHooks()
  {
    proxy::ConditionalWriterHooks hooks;
    hooks.mNow = [this] { return mContext.mClock.Now(); };
    hooks.mRead = [this](TimePoint, std::function<void(const proxy::ReadResult&)> aHook) {
      mEnvironment.mRead(*this, proxy::kCoordinationTable, std::move(aHook));
    };
    hooks.mWrite = [this](const proxy::ConditionalWrite& aWrite,
                          std::function<void(const proxy::WriteResult&)> aHook) {
      mEnvironment.mWrite(*this, aWrite, std::move(aHook));
    };
    return hooks;
  }

  proxy::SharedStore Store()
  {
    proxy::SharedStore store;
    store.mRead = [this](std::string_view aTable,
                         std::function<void(const proxy::ReadResult&)> aHook) {
      mEnvironment.mRead(*this, aTable, std::move(aHook));
    };
    store.mWrite = [this](const proxy::ConditionalWrite& aWrite,
                          std::function<void(const proxy::WriteResult&)> aHook) {
      if (aWrite.mRow.mTable == proxy::kInstanceTable) {
        mEnvironment.mWrite(*this, aWrite, std::move(aHook));
      } else {
        mWriter.Write(aWrite, std::move(aHook));
      }
    };
    store.mPromote = [this](const proxy::PromotionCall& aCall,
                            std::function<void(proxy::PromotionAnswer)> aHook) {
      mEnvironment.mPromote(*this, aCall, std::move(aHook));
    };
    return store;
  }

  proxy::HomeMonitorHooks MonitorHooks()
  {
    proxy::HomeMonitorHooks hooks;
    hooks.mPing = [this](const std::string& aHome) { mEnvironment.mPing(*this, aHome); };
    hooks.mOnChanged = [this](const std::string& aHome, bool aIsResponsive) {
      mHomes.SetResponsive(aHome, aIsResponsive);
      if (!aIsResponsive) {
        mCore.OnHomeUnresponsive(aHome, mContext.mClock.Now());
      }
    };
    hooks.mLog = LogHook();
    return hooks;
  }

  proxy::LeaseKeeperHooks KeeperHooks()
  {
    proxy::LeaseKeeperHooks hooks;
    hooks.mGroups = [this] { return HomeGroups(); };
    hooks.mFollowers = [this](std::string_view aGroup) {
      return mCore.ReplicasOf(aGroup);
    };
    hooks.mLeaderZone = [this](std::string_view aGroup) {
      return mCore.PrimaryZone(aGroup, mContext.mClock.Now());
    };
    hooks.mQueryStatus = StatusQueryHook();
    hooks.mReadStore = [this](TimePoint aNow) { ReadCoordinationRows(aNow); };
    hooks.mNow = [this] { return mContext.mClock.Now(); };
    return hooks;
  }

  proxy::PromotionHooks CoordinatorHooks()
  {
    proxy::PromotionHooks hooks;
    hooks.mGroups = [this] { return HomeGroups(); };
    hooks.mPrimaryHealth = [this](std::string_view aGroup, TimePoint aNow) {
      return mCore.PrimaryOf(aGroup, aNow);
    };
    hooks.mReplicas = [this](std::string_view aGroup) {
      return mCore.ReplicasOf(aGroup);
    };
    hooks.mMembers = [this](std::string_view aGroup) {
      return mCore.ListedMembers(aGroup);
    };
    hooks.mNewestTerm = [this](std::string_view aGroup) {
      return mCore.NewestTerm(aGroup);
    };
    hooks.mIsStandby = [this](std::string_view aGroup, const std::string& aInstance) {
      return mHomes.IsHome(aGroup, aInstance) &&
             mHomes.ZoneOf(aInstance) != mCore.PrimaryZone(aGroup, mContext.mClock.Now());
    };
    hooks.mIsCutOff = [] { return false; };
    hooks.mSynchronousReplicas = [this](std::string_view aGroup) {
      const auto& groups = mCore.Configuration().mGroups;
      const auto found = groups.find(aGroup);
      return found == groups.end() ? 0 : found->second.mSynchronousReplicas;
    };
    hooks.mSendCommand = StatusQueryHook();
    hooks.mOnPromotionAccepted =
      [this](std::string_view aGroup, std::string_view aMember, TimePoint aNow) {
        mCore.OnPromotionAccepted(aGroup, aMember, aNow);
      };
    hooks.mNow = [this] { return mContext.mClock.Now(); };
    hooks.mLog = LogHook();
    return hooks;
  }

  std::function<void(std::string_view,
                     const proxy::MemberCommand&,
                     Duration,
                     TimePoint,
                     proxy::StatusHook)>
  StatusQueryHook()
  {
    return [this](std::string_view aMember,
                  const proxy::MemberCommand& aCommand,
                  Duration aTimeout,
                  TimePoint aNow,
                  proxy::StatusHook aHook) {
      mCore.QueryStatus(aMember, aCommand, aTimeout, aNow, std::move(aHook));
    };
  }

  /** Notes log events under the item that they name first, such as a statement. */
  std::function<void(LogLevel, std::string_view, std::initializer_list<LogField>)>
  LogHook()
  {
    return [this](LogLevel,
                  std::string_view aEvent,
                  std::initializer_list<LogField> aFields) {
      if (aFields.size() == 0) {
        return;
      }
      std::string text = mSetup.mName + " " + std::string(aEvent);
      for (const LogField& field : aFields) {
        text += " " + std::string(field.mKey) + "=" + field.mValue;
      }
      mContext.mJournal.Note(aFields.begin()->mValue, std::move(text));
    };
  }

  proxy::ProxyHooks CoreHooks()
  {
    proxy::ProxyHooks hooks;
    hooks.mAnswer = [this](proxy::SessionKey aKey, const proxy::ClientAnswer& aAnswer) {
      mEnvironment.mAnswer(*this, aKey, aAnswer);
    };
    hooks.mAcceptSession = [this](proxy::SessionKey aKey) {
      mEnvironment.mAcceptSession(*this, aKey);
    };
    hooks.mCloseSession = [this](proxy::SessionKey aKey) {
      mEnvironment.mCloseSession(*this, aKey);
    };
    hooks.mOpen = [this](proxy::ConnectionKey aKey,
                         const proxy::MemberEntry& aMember,
                         std::string_view aCustomer) {
      mConnections[aKey] = aMember.mId;
      mEnvironment.mOpen(*this, aKey, aMember, aCustomer);
    };
    hooks.mSend = [this](proxy::ConnectionKey aKey,
                         std::span<const proxy::MemberCommand> aCommands) {
      mEnvironment.mSend(*this, aKey, aCommands);
    };
    hooks.mCloseConnection = [this](proxy::ConnectionKey aKey) {
      mConnections.erase(aKey);
      mEnvironment.mCloseConnection(*this, aKey);
    };
    AddHomeHooks(hooks);
    hooks.mHasLeaderLease =
      [this](std::string_view aGroup, std::string_view aMember, TimePoint aAt) {
        return mLeases.HoldsLease(aGroup, aMember, aAt);
      };
    hooks.mLeader = [this](std::string_view aGroup) {
      return mLeases.AreNeeded() ? mLeases.Leader(aGroup) : std::nullopt;
    };
    hooks.mLog = LogHook();
    hooks.mCount = [](std::string_view) {};
    hooks.mRecordLatency = [](std::string_view, Duration) {};
    return hooks;
  }

  void AddHomeHooks(proxy::ProxyHooks& aHooks)
  {
    aHooks.mIsHome = [this](std::string_view aGroup) { return mHomes.IsHome(aGroup); };
    aHooks.mHomeCount = [this](std::string_view aGroup) {
      return mHomes.HomeCount(aGroup);
    };
    aHooks.mPickHome = [this](std::string_view aGroup,
                              const std::set<std::string>& aExcluded,
                              TimePoint aNow) {
      return mHomes.PickHome(aGroup, aExcluded, aNow);
    };
    aHooks.mPickCustomerHome = [this](std::string_view aGroup,
                                      std::string_view aCustomer,
                                      std::uint32_t aSpread,
                                      const std::set<std::string>& aExcluded,
                                      TimePoint aNow) {
      return mHomes.PickCustomerHome(aGroup, aCustomer, aSpread, aExcluded, aNow);
    };
    aHooks.mForward = [this](const std::string& aHome,
                             proxy::OperationKey aOperation,
                             const proxy::ForwardedStatement& aStatement) {
      mForwarded[aOperation] = aHome;
      mMonitor.OnSent(aHome, mContext.mClock.Now());
      mEnvironment.mForward(*this, aHome, aOperation, aStatement);
    };
    aHooks.mCancelForward = [this](proxy::OperationKey aOperation) {
      FinishForwarded(aOperation);
      mEnvironment.mCancelForward(*this, aOperation);
    };
    aHooks.mEndForwardedTransaction = [this](const std::string& aHome,
                                             proxy::SessionKey aSession) {
      mEnvironment.mEndTransaction(*this, aHome, aSession);
    };
  }

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
  proxy::ConditionalWriter mWriter;
  proxy::HomeMonitor mMonitor;
  proxy::MemberListing mListing;
  proxy::InstanceRegistry mRegistry;
  proxy::PromotionCoordinator mPromotions;
  proxy::LeaseKeeper mKeeper;
  proxy::ProxyCore mCore;
};

} // namespace papayaspindle::exploration
