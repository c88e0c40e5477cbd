#pragma once

#include "core/ids.h"
#include "core/timetypes.h"

#include <map>
#include <mutex>

namespace papayaspindle::experiment {

/** The longest time in which a group acknowledged nothing. */
struct Gap
{
  TimePoint mBegin;
  Duration mLength{};
};

/** Finds each group's longest gap between acknowledged writes. Thread-safe. */
class GapTracker
{
public:
  /** Begins the first gap of each group. */
  explicit GapTracker(TimePoint aStart)
    : mStart(aStart)
  {
  }

  void Acknowledged(const GroupId& aGroup, TimePoint aAt);
  /** @return each group's longest gap, the one that is open at the end included */
  [[nodiscard]] std::map<GroupId, Gap> Longest(TimePoint aEnd) const;

private:
  struct State
  {
    TimePoint mLast;
    Gap mLongest;
  };

  mutable std::mutex mMutex;
  TimePoint mStart;
  std::map<GroupId, State> mGroups;
};

} // namespace papayaspindle::experiment
