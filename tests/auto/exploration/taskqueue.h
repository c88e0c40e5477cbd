#pragma once

#include "core/timetypes.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace papayaspindle::exploration {

/** Manual clock with tasks that are due at given times. Tasks of the same time run in the
 * order in which they were added. */
class TaskQueue
{
public:
  [[nodiscard]] TimePoint Now() const { return mNow; }
  void At(TimePoint aTime, std::function<void()> aTask)
  {
    mTasks.emplace(aTime, std::move(aTask));
  }
  void After(Duration aDelay, std::function<void()> aTask)
  {
    At(mNow + aDelay, std::move(aTask));
  }

  /** Advances the clock and runs the tasks that become due. */
  void AdvanceTo(TimePoint aTime)
  {
    while (!mTasks.empty() && mTasks.begin()->first <= aTime) {
      mNow = std::max(mNow, mTasks.begin()->first);
      const auto task = std::move(mTasks.begin()->second);
      mTasks.erase(mTasks.begin());
      task();
    }
    mNow = aTime;
  }

private:
  TimePoint mNow{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> mTasks;
};

} // namespace papayaspindle::exploration
