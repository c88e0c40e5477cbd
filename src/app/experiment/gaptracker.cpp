#include "experiment/gaptracker.h"

#include <algorithm>

namespace papayaspindle::experiment {

namespace {

Gap
Longer(const Gap& aKnown, TimePoint aBegin, TimePoint aEnd)
{
  return aEnd - aBegin > aKnown.mLength ? Gap{ aBegin, aEnd - aBegin } : aKnown;
}

} // namespace

void
GapTracker::Acknowledged(const GroupId& aGroup, TimePoint aAt)
{
  const std::lock_guard lock(mMutex);
  State& state = mGroups.try_emplace(aGroup, State{ mStart, {} }).first->second;
  state.mLongest = Longer(state.mLongest, state.mLast, aAt);
  state.mLast = std::max(state.mLast, aAt);
}

std::map<GroupId, Gap>
GapTracker::Longest(TimePoint aEnd) const
{
  const std::lock_guard lock(mMutex);
  std::map<GroupId, Gap> longest;
  for (const auto& [group, state] : mGroups) {
    longest[group] = Longer(state.mLongest, state.mLast, aEnd);
  }
  return longest;
}

} // namespace papayaspindle::experiment
