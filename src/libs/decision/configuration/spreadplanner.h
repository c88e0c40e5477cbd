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

/** Intervals of the spread of configuration. */
struct SpreadSettings
{
  std::chrono::milliseconds mPollInterval{ 1000 };
  /** A pull without an answer is given up after this. */
  std::chrono::milliseconds mPullTimeout{ 1000 };
};

/** Ask this peer for the changes after a revision. */
struct PullFrom
{
  InstanceId mPeer;
  std::uint64_t mAfterRevision = 0;
};

/**
 * Decides who reads the change log, who gets a push and from whom to pull.
 *
 * Delegates read the log once a second and push to their zone; any other instance sees a
 * higher revision on a probe and pulls from that peer.
 */
class SpreadPlanner
{
public:
  explicit SpreadPlanner(SpreadSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /** @return whether the change log is to be read now */
  bool PollDue(bool aDelegate, TimePoint aNow);
  /**
   * @param aZonePeers live instances of the own zone, this one aside
   * @param aRevision the revision in force here
   * @return the peers that are not known to have it
   */
  [[nodiscard]] std::vector<InstanceId> PushTargets(
    std::span<const InstanceInfo> aZonePeers,
    std::uint64_t aRevision) const;
  /**
   * Notes the revision that a probe, push or reply showed.
   *
   * @param aOwnRevision the revision in force here
   * @return a pull, when the peer is ahead and no pull is under way
   */
  std::optional<PullFrom> NotePeerRevision(const InstanceId& aPeer,
                                           std::uint64_t aRevision,
                                           std::uint64_t aOwnRevision,
                                           TimePoint aNow);
  /** The pull under way ended. */
  void NotePullEnded();
  /** Forgets peers that are gone. */
  void Forget(const InstanceId& aPeer);

private:
  SpreadSettings mSettings;
  std::optional<TimePoint> mNextPoll;
  std::optional<TimePoint> mPullStarted;
  std::map<InstanceId, std::uint64_t> mRevisions;
};

} // namespace papayaspindle
