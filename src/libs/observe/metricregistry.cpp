#include "observe/metricregistry.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace papayaspindle {

namespace {

namespace bh = boost::histogram;

// Edges from 1 to 10^9 cover durations from 1 us to 17 minutes. 25 bins per decade keep
// percentiles within 10 % of the exact value.
constexpr double kLowestEdge = 1;
constexpr double kHighestEdge = 1e9;
constexpr unsigned kBins = 225;
constexpr double kMedianShare = 0.5;
constexpr double kPercentile99Share = 0.99;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Bins = bh::histogram<std::tuple<LogAxis>, bh::dense_storage<std::uint64_t>>;

Bins
MakeBins()
{
  return bh::make_histogram_with(bh::dense_storage<std::uint64_t>(),
                                 LogAxis(kBins, kLowestEdge, kHighestEdge));
}

struct Metric
{
  std::mutex mMutex;
  std::string mUnit;
  std::unique_ptr<Bins> mBins;
  std::uint64_t mCount = 0;
  double mValue = 0;
  double mMax = 0;
};

/** @return upper edge of the bin in which the share of the samples is reached, at most
 * the maximum */
double
Percentile(const MetricValue& aValue, double aShare)
{
  const double targetCount = aShare * static_cast<double>(aValue.mCount);
  std::uint64_t cumulativeCount = 0;
  for (const MetricBin& bin : aValue.mBins) {
    cumulativeCount += bin.mCount;
    if (static_cast<double>(cumulativeCount) >= targetCount) {
      return std::min(bin.mUpper, aValue.mMax);
    }
  }
  return aValue.mMax;
}

void
FillHistogram(const Metric& aMetric, MetricValue& aValue)
{
  for (auto&& bin : bh::indexed(*aMetric.mBins, bh::coverage::all)) {
    const std::uint64_t count = *bin;
    if (count == 0) {
      continue;
    }
    // The underflow bin starts at the pole of the logarithm, and the overflow bin ends at
    // infinity. Such edges are replaced by 0 and by the maximum.
    const double lower = std::isfinite(bin.bin().lower()) ? bin.bin().lower() : 0;
    const double upper =
      std::isfinite(bin.bin().upper()) ? bin.bin().upper() : aMetric.mMax;
    aValue.mBins.push_back({ lower, upper, count });
  }
  aValue.mP50 = Percentile(aValue, kMedianShare);
  aValue.mP99 = Percentile(aValue, kPercentile99Share);
}

} // namespace

struct MetricRegistry::Private
{
  /** Locked before a metric's own lock. No other lock is taken while either is held. */
  mutable std::shared_mutex mMutex;
  std::map<std::string, Metric, std::less<>> mMetrics;

  Metric& FindOrCreate(std::string_view aName)
  {
    {
      const std::shared_lock lock(mMutex);
      const auto found = mMetrics.find(aName);
      if (found != mMetrics.end()) {
        return found->second;
      }
    }
    const std::unique_lock lock(mMutex);
    return mMetrics[std::string(aName)];
  }
};

MetricRegistry::MetricRegistry()
  : mPrivate(std::make_unique<Private>())
{
}

MetricRegistry::~MetricRegistry() = default;

void
MetricRegistry::Record(std::string_view aName, std::string_view aUnit, double aValue)
{
  Metric& metric = mPrivate->FindOrCreate(aName);
  const std::lock_guard lock(metric.mMutex);
  if (!metric.mBins) {
    metric.mBins = std::make_unique<Bins>(MakeBins());
    metric.mUnit = aUnit;
  }
  (*metric.mBins)(std::max(aValue, 0.0));
  ++metric.mCount;
  metric.mMax = std::max(metric.mMax, aValue);
}

void
MetricRegistry::Add(std::string_view aName, std::uint64_t aCount)
{
  Metric& metric = mPrivate->FindOrCreate(aName);
  const std::lock_guard lock(metric.mMutex);
  metric.mUnit = "count";
  metric.mCount += aCount;
  metric.mValue += static_cast<double>(aCount);
}

void
MetricRegistry::Set(std::string_view aName, double aValue)
{
  Metric& metric = mPrivate->FindOrCreate(aName);
  const std::lock_guard lock(metric.mMutex);
  metric.mUnit = "count";
  metric.mValue = aValue;
  metric.mMax = std::max(metric.mMax, aValue);
}

std::vector<MetricValue>
MetricRegistry::Snapshot() const
{
  std::vector<MetricValue> values;
  const std::shared_lock lock(mPrivate->mMutex);
  values.reserve(mPrivate->mMetrics.size());
  for (auto& [name, metric] : mPrivate->mMetrics) {
    const std::lock_guard metricLock(metric.mMutex);
    MetricValue value;
    value.mName = name;
    value.mUnit = metric.mUnit;
    value.mCount = metric.mCount;
    value.mValue = metric.mValue;
    value.mMax = metric.mMax;
    if (metric.mBins) {
      FillHistogram(metric, value);
    }
    values.push_back(std::move(value));
  }
  return values;
}

} // namespace papayaspindle
