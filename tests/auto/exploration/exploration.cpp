#include "exploration/exploration.h"

#include <set>

namespace papayaspindle::exploration {

namespace {

constexpr Duration kStep = 5ms;
constexpr std::uint64_t kStepsPerClientAction = 5;
constexpr std::uint64_t kStepsPerFeed = 20;
constexpr std::uint64_t kStepsPerCheck = 50;
// Part of the checks of a whole sequence: no group may have gone without writes for
// longer.
constexpr Duration kServedWithin = 3s;

const char* const kZones[] = { "zone-a", "zone-b", "zone-c" };

} // namespace

Exploration::Exploration(std::uint64_t aSeed, Store aStore)
  : mContext(aSeed)
  , mSetup(ChooseSetup(mContext.mRandom))
  , mLedger(mContext)
  , mConfiguration(Configuration(mSetup, 1, {}))
  , mStore(mContext, mInstances, mGroups)
  , mMembers(mContext, mLedger, mGroups, mSetup.mMaxConnections)
  , mPeers(mContext, mInstances)
  , mClients(mContext, mLedger, mInstances, mGroups, mConfiguration, mSetup.mCustomers)
  , mEnvironment(Environment())
{
  if (aStore == Store::Returns) {
    mStore.AnnounceIncarnation();
    StoreConfiguration();
  }
  for (std::size_t index = 0; index < mSetup.mGroups; index++) {
    const std::string name = fmt::format("group{}", index);
    mGroups[name] = std::make_unique<SimulatedGroup>(
      mContext, mLedger, name, mSetup.mEnforcer, mSetup.mSynchronousReplicas);
  }
  for (std::size_t index = 0; index < mSetup.mInstances; index++) {
    StartInstance(fmt::format("instance-{}", index));
  }
}

ExplorationSetup
Exploration::ChooseSetup(RandomSource& aRandom)
{
  ExplorationSetup setup;
  setup.mInstances = 3 + aRandom.Below(4);
  setup.mGroups = 1 + aRandom.Below(2);
  setup.mHomesPerGroup = 2 + aRandom.Below(3);
  setup.mSynchronousReplicas = static_cast<std::uint32_t>(aRandom.Below(2));
  setup.mMaxConnections = static_cast<std::uint32_t>(8 + aRandom.Below(12));
  setup.mEnforcer = aRandom.Chance(700) ? proxy::LeadershipEnforcer::Instances
                                        : proxy::LeadershipEnforcer::Platform;
  if (aRandom.Chance(400)) {
    setup.mCustomers = { "amber", "birch", "cedar" };
  }
  return setup;
}

proxy::ProxyConfiguration
Exploration::Configuration(const ExplorationSetup& aSetup,
                           std::uint64_t aVersion,
                           const std::string& aWithdrawn)
{
  proxy::ProxyConfiguration configuration;
  configuration.mVersion = aVersion;
  const std::pair<const char*, proxy::Consistency> kinds[] = {
    { "main", proxy::Consistency::Primary },
    { "views", proxy::Consistency::Bounded },
    { "ledger", proxy::Consistency::ReadYourWrites },
  };
  for (std::size_t index = 0; index < aSetup.mGroups; index++) {
    const std::string group = fmt::format("group{}", index);
    configuration.mGroups[group] = { group,
                                     aSetup.mMaxConnections,
                                     aSetup.mSynchronousReplicas };
    for (const auto& [name, consistency] : kinds) {
      proxy::Route route;
      route.mDatabase = fmt::format("{}-{}", name, index);
      route.mGroup = group;
      route.mConsistency = consistency;
      route.mStatementTimeout = aVersion % 2 == 1 ? 800ms : 1200ms;
      route.mLatencyObjective = aVersion % 2 == 1 ? 300ms : 500ms;
      route.mPriority = consistency == proxy::Consistency::Primary ? 1 : 2;
      route.mMaxStaleness = consistency == proxy::Consistency::Primary ? 0ms : 1500ms;
      configuration.mRoutes[route.mDatabase] = route;
    }
  }
  for (const std::string& name : aSetup.mCustomers) {
    if (name == aWithdrawn) {
      continue;
    }
    const proxy::KeyDigest key = proxy::DigestOf("key of " + name);
    configuration.mCustomers.Add({ name, std::nullopt, 0 }, { &key, 1 });
  }
  return configuration;
}

InstanceEnvironment
Exploration::Environment()
{
  InstanceEnvironment environment;
  environment.mOpen =
    [this](auto& aInstance, auto aKey, const auto& aMember, auto aName) {
      mMembers.Open(aInstance, aKey, aMember, aName);
    };
  environment.mSend = [this](auto& aInstance, auto aKey, auto aCommands) {
    mMembers.Send(aInstance, aKey, aCommands);
  };
  environment.mCloseConnection = [this](auto& aInstance, auto aKey) {
    mMembers.Close(aInstance, aKey);
  };
  environment.mForward =
    [this](auto& aInstance, const auto& aHome, auto aKey, const auto& aStatement) {
      mPeers.Forward(aInstance, aHome, aKey, aStatement);
    };
  environment.mCancelForward = [this](auto& aInstance, auto aKey) {
    mPeers.Cancel(aInstance, aKey);
  };
  environment.mEndTransaction = [this](auto& aInstance, const auto& aHome, auto aKey) {
    mPeers.EndTransaction(aInstance, aHome, aKey);
  };
  environment.mPing = [this](auto& aInstance, const auto& aHome) {
    mPeers.Ping(aInstance, aHome);
  };
  environment.mAnswer = [this](auto& aInstance, auto aKey, const auto& aAnswer) {
    mClients.CheckAcceptance(aAnswer);
    if (PeerLinks::IsForwardedSession(aKey)) {
      mPeers.Answer(aInstance, aKey, aAnswer);
    } else {
      mClients.OnAnswer(aInstance, aKey, aAnswer);
    }
  };
  environment.mAcceptSession = [this](auto& aInstance, auto aKey) {
    mClients.OnAccepted(aInstance, aKey);
  };
  environment.mCloseSession = [this](auto& aInstance, auto aKey) {
    mClients.OnClosed(aInstance, aKey);
  };
  environment.mRead = [this](auto& aInstance, auto aTable, auto aHook) {
    mStore.Read(aInstance, aTable, aHook);
  };
  environment.mWrite = [this](auto& aInstance, const auto& aWrite, auto aHook) {
    mStore.Write(aInstance, aWrite, aHook);
  };
  environment.mPromote = [this](auto& aInstance, const auto& aCall, auto aHook) {
    mStore.Promote(aInstance, aCall, aHook);
  };
  return environment;
}

void
Exploration::Run(Duration aTime)
{
  const TimePoint end = mContext.mClock.Now() + aTime;
  while (mContext.mClock.Now() < end && !HasViolation()) {
    mContext.mClock.AdvanceTo(mContext.mClock.Now() + kStep);
    for (auto& [name, group] : mGroups) {
      group->Update();
    }
    mSteps++;
    if (mSteps % kStepsPerFeed == 0) {
      mStore.Feed();
      mMembers.DropAbandoned();
      mPeers.BreakSome(mContext.mLostAnswers);
    }
    for (const auto& [name, instance] : mInstances) {
      instance->OnTimer();
    }
    if (mHasClients && mSteps % kStepsPerClientAction == 0) {
      mClients.Step();
    }
    if (mSteps % kStepsPerCheck == 0) {
      CheckConnections();
      CheckConfigurations();
    }
  }
}

void
Exploration::KillInstance(const std::string& aName, bool aIsPowerLoss)
{
  const auto& instance = mInstances.at(aName);
  if (!instance->IsRunning()) {
    return;
  }
  instance->Kill();
  mClients.OnInstanceKilled(aName);
  mMembers.OnInstanceKilled(*instance, aIsPowerLoss);
  mPeers.OnInstanceKilled(*instance, aIsPowerLoss);
}

void
Exploration::StartInstance(const std::string& aName)
{
  const auto previous = mInstances.find(aName);
  if (previous != mInstances.end()) {
    if (previous->second->IsRunning()) {
      return;
    }
    mEndedProcesses.push_back(previous->second);
  }
  InstanceSetup setup;
  setup.mName = aName;
  setup.mZone = kZones[std::stoul(aName.substr(aName.rfind('-') + 1)) % 3];
  setup.mProcess = ++mProcesses[aName];
  setup.mHomesPerGroup = mSetup.mHomesPerGroup;
  setup.mEnforcer = mSetup.mEnforcer;
  const auto instance =
    std::make_shared<SimulatedInstance>(mContext, setup, mEnvironment);
  mInstances[aName] = instance;
  SendConfiguration(instance, 80ms);
}

void
Exploration::SendConfiguration(const std::shared_ptr<SimulatedInstance>& aInstance,
                               Duration aLongest)
{
  if (mStore.Incarnation() != 0) {
    // The store feeds it.
    return;
  }
  mContext.mClock.After(mContext.mRandom.Between(1ms, aLongest),
                        [this, aInstance, configuration = mConfiguration] {
                          aInstance->Post([this, aInstance, configuration] {
                            aInstance->Core().OnConfiguration(configuration,
                                                              mContext.mClock.Now());
                          });
                        });
}

void
Exploration::ChangeConfiguration(const std::string& aWithdrawn)
{
  mConfiguration = Configuration(mSetup, mConfiguration.mVersion + 1, aWithdrawn);
  if (mStore.Incarnation() != 0) {
    StoreConfiguration();
  }
  for (const auto& [name, instance] : mInstances) {
    SendConfiguration(instance, 800ms);
  }
}

void
Exploration::StoreConfiguration()
{
  mStore.WriteConfiguration(
    std::make_shared<const proxy::ProxyConfiguration>(mConfiguration));
}

void
Exploration::SuspendInstance(const std::string& aName)
{
  mInstances.at(aName)->Suspend();
}

void
Exploration::ResumeInstance(const std::string& aName)
{
  mInstances.at(aName)->Resume();
}

void
Exploration::KillMember(SimulatedGroup& aGroup,
                        SimulatedMember& aMember,
                        bool aIsPowerLoss)
{
  if (aMember.mIsAlive) {
    aGroup.Kill(aMember);
    mMembers.OnMemberKilled(aMember, aIsPowerLoss);
  }
}

std::vector<proxy::MemberExplanation>
Exploration::ExplainMembers(SimulatedInstance& aInstance, const std::string& aGroup)
{
  const std::string database = "main-" + aGroup.substr(5);
  std::vector<std::string> customers = mSetup.mCustomers;
  if (customers.empty()) {
    customers.emplace_back();
  }
  for (const std::string& customer : customers) {
    const proxy::Explanation explanation =
      aInstance.Core().Explain({ database, false, customer }, mContext.mClock.Now());
    if (!explanation.mMembers.empty()) {
      return explanation.mMembers;
    }
  }
  return {};
}

void
Exploration::CheckConnections()
{
  for (const auto& [name, instance] : mInstances) {
    if (!instance->IsRunning()) {
      continue;
    }
    std::map<std::string, std::uint32_t> open;
    for (const auto& [key, member] : instance->Connections()) {
      open[member]++;
    }
    for (const auto& [groupName, group] : mGroups) {
      for (const proxy::MemberExplanation& member :
           ExplainMembers(*instance, groupName)) {
        const std::string& id = member.mEntry.mId;
        if (member.mConnections != open[id]) {
          mContext.mJournal.Report("COUNT",
                                   { id, groupName },
                                   fmt::format("{} counts {} connections to {}, has {}",
                                               name,
                                               member.mConnections,
                                               id,
                                               open[id]));
        }
        if (member.mInFlight > member.mConnections) {
          mContext.mJournal.Report(
            "COUNT",
            { id, groupName },
            fmt::format("{} counts {} statements at {} on {} connections",
                        name,
                        member.mInFlight,
                        id,
                        member.mConnections));
        }
      }
    }
  }
}

void
Exploration::CheckService()
{
  for (const auto& [groupName, group] : mGroups) {
    for (const auto& [name, instance] : mInstances) {
      if (mContext.mClock.Now() - mClients.LastWrite(groupName, name) > kServedWithin) {
        mContext.mJournal.Report("SERVED",
                                 { groupName },
                                 fmt::format("{} writes nothing to {}", name, groupName));
      }
    }
    for (const auto& [id, member] : group->Members()) {
      if (member.mPausedTerm != 0) {
        mContext.mJournal.Report("PAUSED", { groupName }, id + " stays paused");
      }
    }
  }
  if (mStore.Incarnation() != 0) {
    CheckCopies();
  }
  mClients.CheckUnanswered();
}

void
Exploration::CheckIdle()
{
  CheckConnections();
  if (mMembers.OpenTransactions() > 0) {
    mContext.mJournal.Report(
      "IDLE",
      {},
      fmt::format("{} transactions stay open at members", mMembers.OpenTransactions()));
  }
  if (mMembers.AbandonedCount() > 0) {
    mContext.mJournal.Report(
      "IDLE", {}, "members count connections that no process uses any more");
  }
  for (const auto& [name, instance] : mInstances) {
    for (const auto& [groupName, group] : mGroups) {
      const std::uint32_t share = std::max<std::uint32_t>(
        mSetup.mMaxConnections / instance->Homes().HomeCount(groupName), 1);
      for (const proxy::MemberExplanation& member :
           ExplainMembers(*instance, groupName)) {
        if (member.mConnections > share || member.mInFlight > 0) {
          mContext.mJournal.Report("IDLE",
                                   { member.mEntry.mId, groupName },
                                   fmt::format("{} keeps {} connections and {} "
                                               "statements at {}, share {}",
                                               name,
                                               member.mConnections,
                                               member.mInFlight,
                                               member.mEntry.mId,
                                               share));
        }
      }
    }
  }
}

} // namespace papayaspindle::exploration
