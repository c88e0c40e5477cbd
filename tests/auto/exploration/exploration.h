#pragma once

#include "exploration/memberserver.h"
#include "exploration/peerlinks.h"
#include "exploration/simulatedclients.h"
#include "exploration/simulatedstore.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayaspindle::exploration {

/** Properties of a sequence, chosen by its seed. */
struct ExplorationSetup
{
  std::size_t mInstances = 3;
  std::size_t mGroups = 1;
  std::size_t mHomesPerGroup = 4;
  std::uint32_t mSynchronousReplicas = 0;
  std::uint32_t mMaxConnections = 16;
  proxy::LeadershipEnforcer mEnforcer = proxy::LeadershipEnforcer::Instances;
  std::vector<std::string> mCustomers;
};

/** Complete instances with the members, the store and the clients that they need. */
class Exploration
{
public:
  using Instances = std::map<std::string, std::shared_ptr<SimulatedInstance>>;
  using Groups = std::map<std::string, std::unique_ptr<SimulatedGroup>>;

  /** Whether the store announces incarnations and may return to older states. */
  enum class Store : std::uint8_t
  {
    Stays,
    Returns,
  };

  explicit Exploration(std::uint64_t aSeed, Store aStore = Store::Stays);
  Exploration(const Exploration&) = delete;
  Exploration& operator=(const Exploration&) = delete;

  /** Advances the clock in small steps, until a check fails. */
  void Run(Duration aTime);

  void KillInstance(const std::string& aName, bool aIsPowerLoss);
  void StartInstance(const std::string& aName);
  void SuspendInstance(const std::string& aName);
  void ResumeInstance(const std::string& aName);
  void KillMember(SimulatedGroup& aGroup, SimulatedMember& aMember, bool aIsPowerLoss);

  /** Gives all instances a new version of the configuration, each after some time.
   *
   * @param aWithdrawn customer whose key the version lacks; empty for none */
  void ChangeConfiguration(const std::string& aWithdrawn);
  /** Writes the newest configuration to a store that may return. */
  void StoreConfiguration();

  /** Checks that each group is served through each instance, and that no member is
   * paused. */
  void CheckService();
  /** Checks, after all clients have left, that connections and slots are those of an idle
   * system. */
  void CheckIdle();

  [[nodiscard]] bool HasViolation() const
  {
    return !mContext.mJournal.Violations().empty();
  }

  ExplorationContext mContext;
  ExplorationSetup mSetup;
  StatementLedger mLedger;
  proxy::ProxyConfiguration mConfiguration;
  Instances mInstances;
  Groups mGroups;
  SimulatedStore mStore;
  MemberServer mMembers;
  PeerLinks mPeers;
  SimulatedClients mClients;
  bool mHasClients = true;

private:
  /** What an instance has received of the configuration in the store. */
  struct ReceivedConfiguration
  {
    std::uint64_t mProcess = 0;
    std::uint64_t mApplied = 0;
    std::uint64_t mStored = 0;
    /** Since when the store with this version has been reachable. */
    TimePoint mSince;
  };

  static ExplorationSetup ChooseSetup(RandomSource& aRandom);
  static proxy::ProxyConfiguration Configuration(const ExplorationSetup& aSetup,
                                                 std::uint64_t aVersion,
                                                 const std::string& aWithdrawn);
  void SendConfiguration(const std::shared_ptr<SimulatedInstance>& aInstance,
                         Duration aLongest);
  InstanceEnvironment Environment();
  /** Compares the connections that instances count with those that they have opened. */
  void CheckConnections();
  /** Checks that each instance applies the newest configuration in time, and no older
   * one after a newer one. */
  void CheckConfigurations();
  void CheckConfiguration(const SimulatedInstance& aInstance);
  /** Checks that each instance has the newest configuration and lists all others. */
  void CheckCopies();
  std::vector<proxy::MemberExplanation> ExplainMembers(SimulatedInstance& aInstance,
                                                       const std::string& aGroup);

  InstanceEnvironment mEnvironment;
  /** Ended processes, to which late events refer. */
  std::vector<std::shared_ptr<SimulatedInstance>> mEndedProcesses;
  std::map<std::string, std::uint64_t> mProcesses;
  std::uint64_t mSteps = 0;
  std::map<std::string, ReceivedConfiguration> mReceivedConfigurations;
};

} // namespace papayaspindle::exploration
