#pragma once

#include "core/error.h"
#include "core/instanceinfo.h"
#include "daemon/configuration/configurationmanager.h"
#include "daemon/configuration/configurationstore.h"
#include "decision/configuration/configurationview.h"
#include "interfaces/peerhandlers.h"
#include "peer.pb.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace papayaspindle {

/**
 * The configuration in force here and how it gets in step with the store and the peers.
 *
 * Lock order: its lock is a leaf; it is not held during calls.
 */
class ConfigurationSpread
{
public:
  ConfigurationSpread(const ConfigurationReferences& aReferences,
                      const ConfigurationManagerSettings& aSettings,
                      ConfigurationStore& aStore);

  void Tick();
  void Stop();
  void NotePeerRevision(const InstanceInfo& aPeer, std::uint64_t aRevision);
  /** Takes a change that was committed here. */
  void NoteCommitted(const ConfigurationChange& aChange);
  [[nodiscard]] std::uint64_t Revision() const;
  [[nodiscard]] std::optional<GroupSettings> Find(const GroupId& aGroup) const;
  Result<std::string> HandlePull(const PeerRequest& aRequest);
  Result<std::string> HandlePush(const PeerRequest& aRequest);

private:
  /** Applies changes in order.
   * @return whether changes are missing before them */
  bool Adopt(std::span<const ConfigurationChange> aChanges);
  void AdoptSnapshot(const ConfigurationSnapshot& aSnapshot);
  void NoteSpread(const ConfigurationChange& aChange);
  void SubmitOnce(std::atomic<bool>& aUnderWay, std::function<void()> aTask);
  void LoadFromStore();
  /** @return whether the log was read to its end */
  bool ReadLog();
  void WriteSnapshot();
  void PushAdvance(bool aDelegate);
  void Push(const InstanceInfo& aPeer, std::uint64_t aAfterRevision, bool aFollowUp);
  void Pull(const InstanceInfo& aPeer, std::uint64_t aAfterRevision);
  [[nodiscard]] std::vector<InstanceInfo> ZonePeers() const;

  ConfigurationReferences mReferences;
  ConfigurationManagerSettings mSettings;
  ConfigurationStore& mStore;
  std::uint64_t mStartedUnixMs;
  mutable std::mutex mMutex;
  ConfigurationView mView;
  PropagationPlanner mPlanner;
  std::uint64_t mPushedRevision = 0;
  bool mLoaded = false;
  std::optional<TimePoint> mNextLoad;
  /** Revision at which a snapshot is to be written; 0 for none. */
  std::uint64_t mSnapshotDue = 0;
  std::optional<TimePoint> mNextSnapshot;
  std::atomic<bool> mStoreUnderWay = false;
  std::atomic<bool> mSnapshotUnderWay = false;
  TaskGroup mTasks;
};

} // namespace papayaspindle
