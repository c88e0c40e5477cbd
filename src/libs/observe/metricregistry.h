#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle {

/** One bin of a histogram. */
struct MetricBin
{
  double mLower = 0;
  double mUpper = 0;
  std::uint64_t mCount = 0;
};

/** A metric as it was at one moment. */
struct MetricValue
{
  std::string mName;
  /** "us", "ms", "count". */
  std::string mUnit;
  /** Non-empty bins of a histogram; empty for counters and gauges. */
  std::vector<MetricBin> mBins;
  std::uint64_t mCount = 0;
  /** Value of a counter or gauge. */
  double mValue = 0;
  double mP50 = 0;
  double mP99 = 0;
  double mMax = 0;
};

/** Histograms, counters and gauges by name. Thread-safe; its lock is a leaf. */
class MetricRegistry
{
public:
  MetricRegistry();
  ~MetricRegistry();

  /** Adds a sample to the histogram of that name; the first call makes it. */
  void Record(std::string_view aName, std::string_view aUnit, double aValue);
  /** Adds to the counter of that name. */
  void Add(std::string_view aName, std::uint64_t aCount = 1);
  /** Sets the gauge of that name. */
  void Set(std::string_view aName, double aValue);
  /** @return all metrics, by name */
  [[nodiscard]] std::vector<MetricValue> Snapshot() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
