#include "observe/metricregistry.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;

// Guards against percentiles that deviate by more than the width of a bin.
TEST_CASE("percentiles are within 10 % of the exact values", "[observe]")
{
  MetricRegistry registry;
  for (int i = 1; i <= 1000; ++i) {
    registry.Record("wait", "us", i);
  }
  const auto metrics = registry.Snapshot();
  REQUIRE(metrics.size() == 1);
  const MetricValue& wait = metrics.front();
  CHECK(wait.mUnit == "us");
  CHECK(wait.mCount == 1000);
  CHECK(wait.mMax == 1000);
  CHECK(wait.mP50 == Approx(500).epsilon(0.1));
  CHECK(wait.mP99 == Approx(990).epsilon(0.1));
}

// Guards against samples that are lost because they are outside the histogram's range.
TEST_CASE("samples below and above the histogram's range are counted", "[observe]")
{
  MetricRegistry registry;
  registry.Record("wait", "us", 0);
  registry.Record("wait", "us", 0.25);
  registry.Record("wait", "us", 5e9);
  const MetricValue wait = registry.Snapshot().front();
  REQUIRE(wait.mBins.size() == 2);
  CHECK(wait.mBins.front().mLower == 0);
  CHECK(wait.mBins.front().mCount == 2);
  CHECK(wait.mBins.back().mUpper == 5e9);
  CHECK(wait.mP99 == 5e9);
}

TEST_CASE("counters add up their values and gauges keep the last one", "[observe]")
{
  MetricRegistry registry;
  registry.Add("a_counter", 2);
  registry.Add("a_counter");
  registry.Set("b_gauge", 7);
  registry.Set("b_gauge", 4);
  const auto metrics = registry.Snapshot();
  REQUIRE(metrics.size() == 2);
  CHECK(metrics[0].mValue == 3);
  CHECK(metrics[0].mBins.empty());
  CHECK(metrics[1].mValue == 4);
}
