#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"
#include "core/timetypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace papayaspindle {

/** Settings of configuration propagation. */
struct PropagationSettings
{
  /** Interval at which delegates read the change log. */
  std::chrono::milliseconds mPollInterval{ 1000 };
  /** Timeout of a pull. */
  std::chrono::milliseconds mPullTimeout{ 1000 };
};

/** Request to a peer for the changes after a revision. */
struct PullRequest
{
  InstanceId mPeer;
  std::uint64_t mAfterRevision = 0;
};

/**
 * Decides when this instance reads the change log, to which peers it pushes changes and
 * from which peer it pulls them.
 *
 * Delegates read the log once a second and push changes to the instances of their zone.
 * Any other instance that receives a higher revision with a probe pulls from that peer.
 */
class PropagationPlanner
{
public:
  explicit PropagationPlanner(PropagationSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /** @return whether this instance must read the change log now */
  bool IsPollDue(bool aDelegate, TimePoint aNow);
  /**
   * @param aZonePeers live instances of this instance's zone, without this instance
   * @param aRevision the revision in force at this instance
   * @return the peers that are not known to have the revision
   */
  [[nodiscard]] std::vector<InstanceId> PushTargets(
    std::span<const InstanceInfo> aZonePeers,
    std::uint64_t aRevision) const;
  /**
   * Records the revision of a peer, as received in a probe, push or reply.
   *
   * @param aOwnRevision the revision in force at this instance
   * @return the pull to start when the peer has a higher revision and no pull is running
   */
  std::optional<PullRequest> UpdatePeerRevision(const InstanceId& aPeer,
                                                std::uint64_t aRevision,
                                                std::uint64_t aOwnRevision,
                                                TimePoint aNow);
  /** To be called when the running pull has ended. */
  void OnPullEnded();
  /** Removes the recorded revision of a peer that is no longer listed. */
  void RemovePeer(const InstanceId& aPeer);

private:
  PropagationSettings mSettings;
  std::optional<TimePoint> mNextPoll;
  std::optional<TimePoint> mPullStarted;
  std::map<InstanceId, std::uint64_t> mPeerRevisions;
};

} // namespace papayaspindle
