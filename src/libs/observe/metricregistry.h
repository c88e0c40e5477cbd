#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle {

/** One bin of a histogram, with its edges in the metric's unit. */
struct MetricBin
{
  double mLower = 0;
  double mUpper = 0;
  std::uint64_t mCount = 0;
};

/** Snapshot of a metric. */
struct MetricValue
{
  std::string mName;
  /** Unit of the values: "us", "ms" or "count". */
  std::string mUnit;
  /** Non-empty bins of a histogram; empty for counters and gauges. */
  std::vector<MetricBin> mBins;
  std::uint64_t mCount = 0;
  /** Value of a counter or gauge; 0 for histograms. */
  double mValue = 0;
  double mP50 = 0;
  double mP99 = 0;
  double mMax = 0;
};

/** Histograms, counters and gauges by name. Thread-safe: it calls no other code while it
 * holds its locks. */
class MetricRegistry
{
public:
  MetricRegistry();
  ~MetricRegistry();

  /** Adds a sample to the histogram with that name; the first call creates the histogram.
   * Negative samples count as 0. */
  void Record(std::string_view aName, std::string_view aUnit, double aValue);
  /** Increases the counter with that name. */
  void Add(std::string_view aName, std::uint64_t aCount = 1);
  /** Sets the gauge with that name. */
  void Set(std::string_view aName, double aValue);
  /** @return all metrics, sorted by name */
  [[nodiscard]] std::vector<MetricValue> Snapshot() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
