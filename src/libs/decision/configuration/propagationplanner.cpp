#include "decision/configuration/propagationplanner.h"

#include <algorithm>

namespace papayaspindle {

bool
PropagationPlanner::IsPollDue(bool aDelegate, TimePoint aNow)
{
  if (!aDelegate || (mNextPoll && aNow < *mNextPoll)) {
    return false;
  }
  mNextPoll = aNow + mSettings.mPollInterval;
  return true;
}

std::vector<InstanceId>
PropagationPlanner::PushTargets(std::span<const InstanceInfo> aZonePeers,
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

std::optional<PullRequest>
PropagationPlanner::UpdatePeerRevision(const InstanceId& aPeer,
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
  return PullRequest{ aPeer, aOwnRevision };
}

void
PropagationPlanner::OnPullEnded()
{
  mPullStarted.reset();
}

void
PropagationPlanner::RemovePeer(const InstanceId& aPeer)
{
  mPeerRevisions.erase(aPeer);
}

} // namespace papayaspindle
