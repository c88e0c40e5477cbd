#pragma once

#include "experiment/experimentoptions.h"
#include "experiment/gaptracker.h"
#include "experiment/tally.h"
#include "experiment/writeledger.h"
#include "observe/metricregistry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::experiment {

/** What one experiment measured and found. */
struct ExperimentResult
{
  TallyValues mTally;
  /** Nothing when the logs could not be read. */
  std::optional<WriteVerdict> mWrites;
  /** Why the logs could not be read; empty otherwise. */
  std::string mCheckError;
  std::map<GroupId, Gap> mGaps;
  std::vector<MetricValue> mMetrics;
  TimePoint mStart;
  /** From the start to the last answer. */
  Duration mTaken{};

  /** @return whether everything was checked and no rule was broken */
  [[nodiscard]] bool IsGood() const;
};

/** @return one JSON object, on one line */
std::string ResultAsJson(const ExperimentOptions& aOptions,
                         const ExperimentResult& aResult);

/** @return a summary for people, with the latency histograms */
std::string ResultAsText(const ExperimentResult& aResult);

} // namespace papayaspindle::experiment
