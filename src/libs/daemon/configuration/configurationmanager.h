#pragma once

#include "core/hooks.h"
#include "core/instanceinfo.h"
#include "daemon/configuration/commitdriver.h"
#include "decision/configuration/propagationplanner.h"
#include "interfaces/configuration.h"
#include "runtime/taskgroup.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace papayaspindle {

class Groups;
class Instances;
class MetricRegistry;
class ObjectStorage;
class PeerCalls;
class PeerHandlers;
class TableStore;
class Tracer;

/** Settings of the spread and commit of configuration. */
struct ConfigurationManagerSettings
{
  PropagationSettings mSpread;
  CommitTimes mCommit;
  std::chrono::milliseconds mTickInterval{ 200 };
  std::chrono::milliseconds mPeerTimeout{ 1000 };
  /** Of calls to the stores outside operator calls. */
  std::chrono::milliseconds mStoreTimeout{ 500 };
  /** A snapshot of 15,000 groups has about 5 MB. */
  std::chrono::milliseconds mSnapshotTimeout{ 5000 };
  /** Between tries to read the store at the start, and to write a snapshot. */
  std::chrono::milliseconds mStoreRetry{ 5000 };
  /** Changes between two snapshots. */
  std::uint64_t mSnapshotEvery = 1000;
  /** Changes kept in memory for peers that are behind. */
  std::size_t mMaxLog = 1000;
};

/** What the configuration manager uses. */
struct ConfigurationReferences
{
  TableStore& mTable;
  ObjectStorage& mObjects;
  PeerCalls& mPeers;
  PeerHandlers& mHandlers;
  Instances& mInstances;
  Groups& mGroups;
  Tracer& mTracer;
  MetricRegistry& mMetrics;
  /** Returns whether this instance is a delegate of its zone. */
  std::function<bool()> mIsDelegate;
  /** A pool of control workers. */
  SubmitHook mSubmit;
  NowHook mNow;
  UnixMsHook mUnixMs;
  PauseHook mPause;
};

/**
 * Commits operators' changes and spreads them; the revision in force only rises.
 *
 * Lock order: its lock is a leaf; it is not held during calls.
 */
class ConfigurationManager : public Configuration
{
public:
  /** Registers the handlers "PullConfiguration" and "PushConfiguration". */
  ConfigurationManager(const ConfigurationReferences& aReferences,
                       ConfigurationManagerSettings aSettings);
  ~ConfigurationManager() override;

  /** Begins to tick on a thread of its own; reads the store in the background. */
  void Start();
  /** Ends the ticks and waits for calls under way. */
  void Stop();
  /** One step; Start() calls it periodically. */
  void Tick();
  /** Notes the revision that a peer's probe showed; pulls when the peer is ahead. */
  void NotePeerRevision(const InstanceInfo& aPeer, std::uint64_t aRevision);

  v1::ChangeGroupReply Change(const v1::ChangeGroupRequest& aRequest,
                              bool aCreate) override;
  v1::PlanChangeReply Plan(const v1::ChangeGroupRequest& aRequest) override;
  [[nodiscard]] std::uint64_t Revision() const override;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
