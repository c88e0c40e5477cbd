#include "decision/failover/suspiciontracker.h"

namespace papayaspindle {

SuspicionTracker::SuspicionTracker(const SuspicionSettings& aSettings)
  : mSettings(aSettings)
{
}

void
SuspicionTracker::OnTick(TimePoint aNow)
{
  const Duration gap = mLastTick ? aNow - *mLastTick : Duration::zero();
  mLastTick = aNow;
  if (gap <= mSettings.mMaxTickGap) {
    return;
  }
  // Answers that arrived during the pause were not processed, so the time without an
  // answer starts over.
  for (auto& [member, state] : mStates) {
    state.mLastAnswerAt = aNow;
    state.mFailure.reset();
  }
}

void
SuspicionTracker::OnAnswer(const MemberId& aMember, TimePoint aNow)
{
  PollState& state = FindOrAddState(aMember, aNow);
  state.mLastAnswerAt = aNow;
  state.mFailure.reset();
}

void
SuspicionTracker::OnFailure(const MemberId& aMember, PollFailure aFailure, TimePoint aNow)
{
  FindOrAddState(aMember, aNow).mFailure = aFailure;
}

std::optional<PollFailure>
SuspicionTracker::Suspicion(const MemberId& aMember, int aRank, TimePoint aNow) const
{
  const auto found = mStates.find(aMember);
  if (found == mStates.end() || !found->second.mFailure || aRank < 0) {
    return std::nullopt;
  }
  const bool refused = found->second.mFailure == PollFailure::Refused;
  const Duration threshold =
    (refused ? mSettings.mRefusedThreshold : mSettings.mSilentThreshold) +
    aRank * mSettings.mDelayPerRank;
  if (aNow - found->second.mLastAnswerAt < threshold) {
    return std::nullopt;
  }
  return found->second.mFailure;
}

bool
SuspicionTracker::HasFailed(const MemberId& aMember) const
{
  const auto found = mStates.find(aMember);
  return found != mStates.end() && found->second.mFailure.has_value();
}

Duration
SuspicionTracker::Silence(const MemberId& aMember, TimePoint aNow) const
{
  const auto found = mStates.find(aMember);
  return found == mStates.end() ? Duration::zero() : aNow - found->second.mLastAnswerAt;
}

SuspicionTracker::PollState&
SuspicionTracker::FindOrAddState(const MemberId& aMember, TimePoint aNow)
{
  return mStates.try_emplace(aMember, PollState{ aNow, std::nullopt }).first->second;
}

} // namespace papayaspindle
