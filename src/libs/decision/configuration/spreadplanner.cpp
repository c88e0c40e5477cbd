#include "decision/configuration/spreadplanner.h"

#include <algorithm>

namespace papayaspindle {

bool
SpreadPlanner::PollDue(bool aDelegate, TimePoint aNow)
{
  if (!aDelegate || (mNextPoll && aNow < *mNextPoll)) {
    return false;
  }
  mNextPoll = aNow + mSettings.mPollInterval;
  return true;
}

std::vector<InstanceId>
SpreadPlanner::PushTargets(std::span<const InstanceInfo> aZonePeers,
                           std::uint64_t aRevision) const
{
  std::vector<InstanceId> targets;
  for (const InstanceInfo& peer : aZonePeers) {
    const auto known = mPeerRevisions.find(peer.mInstance);
    if (known == mPeerRevisions.end() || known->second < aRevision) {
      targets.push_back(peer.mInstance);
    }
  }
  return targets;
}

std::optional<PullFrom>
SpreadPlanner::NotePeerRevision(const InstanceId& aPeer,
                                std::uint64_t aRevision,
                                std::uint64_t aOwnRevision,
                                TimePoint aNow)
{
  std::uint64_t& known = mPeerRevisions[aPeer];
  known = std::max(known, aRevision);
  const bool pulling = mPullStarted && aNow - *mPullStarted < mSettings.mPullTimeout;
  if (aRevision <= aOwnRevision || pulling) {
    return std::nullopt;
  }
  mPullStarted = aNow;
  return PullFrom{ aPeer, aOwnRevision };
}

void
SpreadPlanner::NotePullEnded()
{
  mPullStarted.reset();
}

void
SpreadPlanner::Forget(const InstanceId& aPeer)
{
  mPeerRevisions.erase(aPeer);
}

} // namespace papayaspindle
