// Scenarios of rate limits over several instances. They guard against windows that exceed
// a limit after a single fault, and against refusals of customers that stay below their
// limits.

#include "rateexcess.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

// Guards against a former limiter that comes back and grants its part while its successor
// still does.
TEST_CASE("a limiter that was replaced meanwhile comes back without its part")
{
  const bool isRestarted = GENERATE(false, true);
  const int instances = GENERATE(8, 16);
  const std::uint64_t seed = GENERATE(range(1, 7));
  const Duration away = instances > 12 ? 80s : 40s;
  RateSimulation simulation(seed);
  RateSimulation::Customer customer;
  customer.mLimit = { 100, 0 };
  customer.mDemand = 1500;
  simulation.mCustomers["customer"] = customer;
  for (int index = 0; index < instances; index++) {
    simulation.Start("i" + std::to_string(index), "z" + std::to_string(index % 3));
  }
  simulation.RunFor(25s);
  const LimiterTable& table = *simulation.mInstances.at("i0").mLimiters;
  const std::string limiter = table.LimitersOf("customer", simulation.mNow)[1];
  if (isRestarted) {
    simulation.Kill(limiter);
    simulation.RunFor(away);
    simulation.Start(limiter, simulation.mInstances.at(limiter).mZone);
  } else {
    simulation.Suspend(limiter);
    simulation.RunFor(away);
    simulation.Wake(limiter);
  }
  simulation.RunFor(25s);
  const Excess excess = LargestExcess(simulation.mCustomers.at("customer").mRuns,
                                      { { {}, customer.mLimit } },
                                      simulation.mWindow);
  INFO((isRestarted ? "restarted " : "suspended ")
       << limiter << " of " << instances << " seed " << seed << " window from "
       << (excess.mWindowStart - TimePoint(1h)) / 1ms << " ms");
  CHECK(excess.mOperations <= 0);
}

// Guards against refusals of customers that send 1/1.6 of their limit, which is the usual
// load: they are lost to callers.
TEST_CASE("in calm conditions a customer below its limit is hardly ever refused")
{
  struct Load
  {
    double mPerSecond;
    double mBurst;
    bool mIsAtOneInstance;
  };
  const auto load = GENERATE(Load{ 2.6, 0, false },
                             Load{ 2.6, 0, true },
                             Load{ 2.6, 4, false },
                             Load{ 40, 0, false },
                             Load{ 40, 0, true },
                             Load{ 400, 0, false },
                             Load{ 400, 100, true });
  const auto instances = GENERATE(3U, 5U, 12U);
  RateSimulation simulation(FirstSeed());
  RateSimulation::Customer customer;
  customer.mLimit = { load.mPerSecond * 1.6, load.mBurst };
  customer.mDemand = load.mPerSecond;
  customer.mOnlyAt = load.mIsAtOneInstance ? "i1" : "";
  simulation.mCustomers["customer"] = customer;
  for (std::uint32_t index = 0; index < instances; index++) {
    simulation.Start("i" + std::to_string(index), "z" + std::to_string(index % 3));
  }
  simulation.RunFor(25s);
  RateSimulation::Customer& counted = simulation.mCustomers.at("customer");
  counted.mStarted = 0;
  counted.mRefused = 0;
  counted.mUnavailable = 0;
  simulation.RunFor(load.mPerSecond < 10 ? 400s : 60s);
  INFO("rate " << load.mPerSecond << " burst " << load.mBurst << " instances "
               << instances << " started " << counted.mStarted << " refused "
               << counted.mRefused << " unavailable " << counted.mUnavailable);
  REQUIRE(counted.mStarted > 900);
  REQUIRE((counted.mRefused + counted.mUnavailable) * 200 < counted.mStarted);
}

// Guards against limiters that take an outage of the store for their own isolation.
TEST_CASE("a store outage for all instances refuses no customer below its limit")
{
  const auto instances = GENERATE(3U, 12U);
  const auto zones = GENERATE(1U, 2U, 3U);
  RateSimulation simulation(FirstSeed());
  simulation.mLinkFaults = { 20'000, 20'000, 20'000 };
  RateSimulation::Customer customer;
  customer.mLimit = { 64, 0 };
  customer.mDemand = 40;
  simulation.mCustomers["customer"] = customer;
  for (std::uint32_t index = 0; index < instances; index++) {
    simulation.Start("i" + std::to_string(index), "z" + std::to_string(index % zones));
  }
  simulation.RunFor(25s);
  for (auto& [name, instance] : simulation.mInstances) {
    instance.mReachesStore = false;
  }
  RateSimulation::Customer& counted = simulation.mCustomers.at("customer");
  counted.mStarted = 0;
  counted.mRefused = 0;
  counted.mUnavailable = 0;
  simulation.RunFor(120s);
  INFO("instances " << instances << " zones " << zones << " started " << counted.mStarted
                    << " refused " << counted.mRefused << " unavailable "
                    << counted.mUnavailable);
  REQUIRE(counted.mStarted > 4000);
  REQUIRE((counted.mRefused + counted.mUnavailable) * 200 < counted.mStarted);
}
