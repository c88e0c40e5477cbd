// Rate limits in deployments of more than 100 instances, which read the list of instances
// through the readers of their zone. They guard against a customer over its limit that
// exceeds it after a change of the instances, because some instances use older lists.

#include "rateexcess.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

/** A deployment with a customer far over its limit and one below. */
class LargeDeployment
{
public:
  LargeDeployment(std::uint64_t aSeed, std::uint32_t aInstances)
    : mSimulation(aSeed)
  {
    AddCustomer("over", { 100, 50 }, 800);
    AddCustomer("below", { 64, 0 }, 40);
    for (; mCount < aInstances; mCount++) {
      // All instances start within a second, in no order.
      const std::string name = "i" + std::to_string(mCount);
      const std::string zone = "z" + std::to_string(mCount % 3);
      mSimulation.Schedule(mSimulation.mNow + mSimulation.mNumbers.Between(0ms, 1s),
                           [this, name, zone] { mSimulation.Start(name, zone); });
    }
  }

  void StartAnother()
  {
    mSimulation.Start("i" + std::to_string(mCount), "z" + std::to_string(mCount % 3));
    mCount++;
  }

  /** @return names of the limiters of the customer that is over its limit */
  std::vector<std::string> Limiters()
  {
    return LimitersAt(mSimulation.Running().front());
  }

  /** @return names of the limiters by the list of an instance, in alphabetical order */
  std::vector<std::string> LimitersAt(const std::string& aInstance)
  {
    auto limiters = mSimulation.mInstances.at(aInstance).mLimiters->LimitersOf(
      "over", mSimulation.mNow);
    std::sort(limiters.begin(), limiters.end());
    return limiters;
  }

  double ExcessOf(const std::string& aCustomer)
  {
    const RateSimulation::Customer& customer = mSimulation.mCustomers.at(aCustomer);
    return LargestExcess(customer.mRuns, { { {}, customer.mLimit } }, mSimulation.mWindow)
      .mOperations;
  }

  /** @return share of the operations of the customer below its limit that were refused
   * during the given time */
  double RefusedShareDuring(Duration aTime)
  {
    RateSimulation::Customer& customer = mSimulation.mCustomers.at("below");
    customer.mStarted = 0;
    customer.mRefused = 0;
    customer.mUnavailable = 0;
    mSimulation.RunFor(aTime);
    return static_cast<double>(customer.mRefused + customer.mUnavailable) /
           static_cast<double>(std::max<std::uint64_t>(customer.mStarted, 1));
  }

  RateSimulation mSimulation;

private:
  void AddCustomer(const std::string& aName, const RateLimit& aLimit, double aDemand)
  {
    RateSimulation::Customer customer;
    customer.mLimit = aLimit;
    customer.mDemand = aDemand;
    mSimulation.mCustomers[aName] = customer;
  }

  std::uint32_t mCount = 0;
};

} // namespace

// Guards against lists of different lengths during the first start, and against a wait
// for which a whole deployment refuses its customers.
TEST_CASE("after the first start of many instances, customers are served after 14 s")
{
  const auto instances = GENERATE(200U, 300U);
  const std::uint64_t seed = FirstSeed();
  CAPTURE(instances, seed);
  LargeDeployment deployment(seed, instances);
  // 14 s after the last instance has started.
  deployment.mSimulation.RunFor(15s);
  CHECK(deployment.RefusedShareDuring(20s) < 0.02);
  CHECK(deployment.ExcessOf("over") <= 0);
}

// Guards against limiters that grant their parts while instances with older lists take
// them from their predecessors.
TEST_CASE("changes of many instances don't let a customer exceed its limit in a window")
{
  const auto instances = GENERATE(200U, 300U);
  const std::uint64_t seed = FirstSeed();
  CAPTURE(instances, seed);
  LargeDeployment deployment(seed, instances);
  RateSimulation& simulation = deployment.mSimulation;
  simulation.mLinkFaults = { 10'000, 10'000, 10'000 };
  simulation.RunFor(25s);
  // Each limiter announces that it leaves, so that others take over within a read.
  for (const std::string& limiter : deployment.Limiters()) {
    simulation.mInstances.at(limiter).mRegistry->Leave();
    simulation.Schedule(simulation.mNow + 6s,
                        [&simulation, limiter] { simulation.Kill(limiter); });
    for (int added = 0; added < 10; added++) {
      deployment.StartAnother();
    }
    simulation.RunFor(simulation.mNumbers.Between(1s, 8s));
  }
  simulation.RunFor(20s);
  CHECK(deployment.ExcessOf("over") <= 0);
  CHECK(deployment.ExcessOf("below") <= 0);
}

// Guards against limiters that grant beside living ones with older lists: with reads
// every 30 s and a wait of 11 s, both granted their parts.
TEST_CASE(
  "new instances that replace most limiters don't let a customer exceed its limit")
{
  const auto instances = GENERATE(200U, 300U);
  const std::uint64_t seed = FirstSeed();
  CAPTURE(instances, seed);
  const std::uint32_t first = instances / 4;
  LargeDeployment deployment(seed, first);
  RateSimulation& simulation = deployment.mSimulation;
  // The first reads of the old instances are over, and their next one is due late.
  simulation.RunFor(16s);
  for (std::uint32_t index = first; index < instances; index++) {
    deployment.StartAnother();
  }
  simulation.RunFor(35s);
  CHECK(deployment.ExcessOf("over") <= 0);
}

// Guards against instances that act as the only limiters after a return of the store to
// an older state, and against a store whose rates are exceeded because all of them write
// their rows again at once.
TEST_CASE("a return of the store doesn't let a customer exceed its limit")
{
  const auto [instances, lost] = GENERATE(std::pair{ 6U, 1s },
                                          std::pair{ 6U, 5s },
                                          std::pair{ 6U, 30s },
                                          std::pair{ 60U, 5s },
                                          std::pair{ 300U, 5s });
  const std::uint64_t seed = FirstSeed();
  INFO(instances << " instances, " << lost.count() << " s lost, seed " << seed);
  LargeDeployment deployment(seed, instances);
  RateSimulation& simulation = deployment.mSimulation;
  // The first return is that of a store which has announced no incarnation before.
  simulation.RunFor(40s);
  const auto copy = simulation.mStore.Copy();
  simulation.RunFor(lost);
  const auto limiters = deployment.Limiters();
  const TimePoint start = simulation.mNow;
  simulation.ReturnStore(copy);
  simulation.RunFor(4s);
  simulation.ReturnStore(copy);
  CHECK(deployment.RefusedShareDuring(60s) < 0.02);
  CHECK(deployment.ExcessOf("over") <= 0);
  CHECK(deployment.ExcessOf("below") <= 0);
  for (const std::string& name : simulation.Running()) {
    INFO(name);
    CHECK(deployment.LimitersAt(name) == limiters);
  }
  // A part of a table takes 200 writes a second, and the rows of leadership are written
  // again at the same time.
  const auto mostSince = [&](const std::map<TimePoint, std::uint64_t>& aCalls) {
    std::uint64_t most = 0;
    for (const auto& [second, calls] : aCalls) {
      const bool isCounted = second >= start && second < start + 15s;
      most = std::max(most, isCounted ? calls : 0);
    }
    return most;
  };
  CHECK(mostSince(simulation.mWrites) <= 100);
  CHECK(mostSince(simulation.mReads) <= 100);
}
