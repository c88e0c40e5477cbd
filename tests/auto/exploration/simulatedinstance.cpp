#include "exploration/simulatedinstance.h"

namespace papayaspindle::exploration {

proxy::ConditionalWriterHooks
SimulatedInstance::WriterHooks()
{
  proxy::ConditionalWriterHooks hooks;
  hooks.mNow = [this] { return mContext.mClock.Now(); };
  hooks.mRead = [this](TimePoint, std::function<void(const proxy::ReadResult&)> aHook) {
    ReadTable(proxy::kCoordinationTable, std::move(aHook));
  };
  hooks.mWrite = [this](const proxy::ConditionalWrite& aWrite,
                        std::function<void(const proxy::WriteResult&)> aHook) {
    WriteRow(aWrite, std::move(aHook));
  };
  return hooks;
}

void
SimulatedInstance::ReadTable(std::string_view aTable,
                             std::function<void(const proxy::ReadResult&)> aHook)
{
  const auto send = [this, aTable](StoreHook<proxy::ReadResult> aAnswerHook) {
    mEnvironment.mRead(*this, aTable, std::move(aAnswerHook));
  };
  mAccess.Read(send, std::move(aHook));
}

void
SimulatedInstance::WriteRow(const proxy::ConditionalWrite& aWrite,
                            std::function<void(const proxy::WriteResult&)> aHook)
{
  const auto send = [this, &aWrite](StoreHook<proxy::WriteResult> aAnswerHook) {
    mEnvironment.mWrite(*this, aWrite, std::move(aAnswerHook));
  };
  mAccess.Write(aWrite, send, std::move(aHook));
}

proxy::StoreRecoveryHooks
SimulatedInstance::RecoveryHooks()
{
  proxy::StoreRecoveryHooks hooks;
  hooks.mGroups = [this] { return HomeGroups(); };
  hooks.mWrite = [this](const proxy::ConditionalWrite& aWrite,
                        std::function<void(const proxy::WriteResult&)> aHook) {
    mWriter.Write(aWrite, std::move(aHook));
  };
  hooks.mNow = [this] { return mContext.mClock.Now(); };
  hooks.mLog = LogHook();
  return hooks;
}

proxy::SharedStore
SimulatedInstance::Store()
{
  proxy::SharedStore store;
  store.mRead = [this](std::string_view aTable,
                       std::function<void(const proxy::ReadResult&)> aHook) {
    ReadTable(aTable, std::move(aHook));
  };
  store.mWrite = [this](const proxy::ConditionalWrite& aWrite,
                        std::function<void(const proxy::WriteResult&)> aHook) {
    if (aWrite.mRow.mTable == proxy::kInstanceTable) {
      WriteRow(aWrite, std::move(aHook));
    } else {
      mWriter.Write(aWrite,
                    [this, row = aWrite.mRow, hook = std::move(aHook)](
                      const proxy::WriteResult& aResult) {
                      if (const auto* written = std::get_if<proxy::Written>(&aResult)) {
                        mRecovery.OnWritten(row, *written);
                      }
                      hook(aResult);
                    });
    }
  };
  store.mPromote = [this](const proxy::PromotionCall& aCall,
                          std::function<void(proxy::PromotionAnswer)> aHook) {
    mEnvironment.mPromote(*this, aCall, std::move(aHook));
  };
  return store;
}

proxy::HomeMonitorHooks
SimulatedInstance::MonitorHooks()
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

proxy::LeaseKeeperHooks
SimulatedInstance::KeeperHooks()
{
  proxy::LeaseKeeperHooks hooks;
  hooks.mGroups = [this] { return HomeGroups(); };
  hooks.mFollowers = [this](std::string_view aGroup) { return mCore.ReplicasOf(aGroup); };
  hooks.mLeaderZone = [this](std::string_view aGroup) {
    return mCore.PrimaryZone(aGroup, mContext.mClock.Now());
  };
  hooks.mQueryStatus = StatusQueryHook();
  hooks.mReadStore = [this](TimePoint aNow) { ReadCoordinationRows(aNow); };
  hooks.mNow = [this] { return mContext.mClock.Now(); };
  return hooks;
}

proxy::PromotionHooks
SimulatedInstance::CoordinatorHooks()
{
  proxy::PromotionHooks hooks;
  hooks.mGroups = [this] { return HomeGroups(); };
  hooks.mPrimaryHealth = [this](std::string_view aGroup, TimePoint aNow) {
    return mCore.PrimaryOf(aGroup, aNow);
  };
  hooks.mReplicas = [this](std::string_view aGroup) { return mCore.ReplicasOf(aGroup); };
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
    return SynchronousReplicas(aGroup);
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
SimulatedInstance::StatusQueryHook()
{
  return [this](std::string_view aMember,
                const proxy::MemberCommand& aCommand,
                Duration aTimeout,
                TimePoint aNow,
                proxy::StatusHook aHook) {
    mCore.QueryStatus(aMember, aCommand, aTimeout, aNow, std::move(aHook));
  };
}

std::function<void(LogLevel, std::string_view, std::initializer_list<LogField>)>
SimulatedInstance::LogHook()
{
  return
    [this](LogLevel, std::string_view aEvent, std::initializer_list<LogField> aFields) {
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

proxy::ProxyHooks
SimulatedInstance::CoreHooks()
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
    return mLeases.AreNeeded(aGroup) ? mLeases.Leader(aGroup) : std::nullopt;
  };
  hooks.mLog = LogHook();
  hooks.mCount = [](std::string_view) {};
  hooks.mRecordLatency = [](std::string_view, Duration) {};
  return hooks;
}

void
SimulatedInstance::AddHomeHooks(proxy::ProxyHooks& aHooks)
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

} // namespace papayaspindle::exploration
