#pragma once

#include "core/timetypes.h"
#include "experiment/faultscript.h"

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <condition_variable>
#include <mutex>

namespace papayaspindle::experiment {

/** Carries out a fault script on a thread of its own. */
class FaultRunner
{
public:
  /** Told of each step when it is done: the step and an error text, empty for none. */
  using ReportHook = std::function<void(const FaultStep&, const std::string&)>;

  FaultRunner(std::vector<FaultStep> aSteps, TimePoint aStart, ReportHook aReport);
  /** Leaves out the steps that have not begun. */
  ~FaultRunner();

private:
  void Loop();

  std::vector<FaultStep> mSteps;
  TimePoint mStart;
  ReportHook mReport;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace papayaspindle::experiment
