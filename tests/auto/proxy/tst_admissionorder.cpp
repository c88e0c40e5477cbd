// Tests the order and the refusals of waiting statements by customer.

#include "proxy/admission/admissionorder.h"

#include <catch2/catch.hpp>

#include <string>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

/** Customers large (weight 10, index 0) and small (weight 1, index 1), whose reads the
 * members complete at 100 per second. */
struct OrderFixture
{
  /** Adds a statement that has to start within 100 ms. */
  std::uint64_t Wait(std::size_t aCustomer, Duration aUsual = 4ms, bool aIsNew = false)
  {
    WaitingStatement statement;
    statement.mKey = mNextKey++;
    statement.mCustomer = aCustomer;
    statement.mIsNew = aIsNew;
    statement.mArrivedAt = mNow;
    statement.mObjectiveLimit = mNow + 100ms;
    statement.mWaitLimit = mNow + 500ms;
    statement.mUsualTime = aUsual;
    mWaiting.push_back(statement);
    return statement.mKey;
  }

  AdmissionPlan Plan() { return mOrder.Plan({ mWaiting, mCustomers, mRates, mNow }); }

  PlannedStatement PlanOf(std::uint64_t aKey)
  {
    for (const PlannedStatement& planned : Plan()) {
      if (planned.mKey == aKey) {
        return planned;
      }
    }
    return {};
  }

  std::vector<std::uint64_t> Keys()
  {
    std::vector<std::uint64_t> keys;
    for (const PlannedStatement& planned : Plan()) {
      keys.push_back(planned.mKey);
    }
    return keys;
  }

  /** Starts the first statement of the plan. @return its customer */
  std::size_t StartFirst()
  {
    const std::uint64_t key = Plan().front().mKey;
    const auto found =
      std::find_if(mWaiting.begin(), mWaiting.end(), [&](const auto& aStatement) {
        return aStatement.mKey == key;
      });
    const std::size_t customer = found->mCustomer;
    mWaiting.erase(found);
    mOrder.OnStarted(mCustomers[customer].mName, false, mNow);
    return customer;
  }

  AdmissionOrder mOrder;
  std::vector<WaitingStatement> mWaiting;
  std::vector<CustomerLoad> mCustomers{ { "large", 10, 2 }, { "small", 1, 0 } };
  CompletionRates mRates{ 50, 100 };
  TimePoint mNow{ 1h };
  std::uint64_t mNextKey = 1;
};

} // namespace

// Guards against a customer that has nothing running and is refused for others' load.
TEST_CASE("a customer without a running statement keeps one waiting statement")
{
  OrderFixture fixture;
  // Shorter statements of the same round go first, so a start within 100 ms is
  // impossible.
  for (int index = 0; index < 20; index++) {
    fixture.Wait(0, 1ms);
  }
  const std::uint64_t first = fixture.Wait(1, 4ms, true);
  const std::uint64_t second = fixture.Wait(1, 4ms, true);
  REQUIRE_FALSE(fixture.PlanOf(first).mRefusal);
  REQUIRE(fixture.PlanOf(first).mMissesObjective);
  REQUIRE(fixture.PlanOf(second).mRefusal);
  // The kept statement delays no statement that can meet its objective.
  fixture.mWaiting[20].mMissesObjective = true;
  const std::uint64_t later = fixture.Wait(0, 9ms);
  REQUIRE(fixture.PlanOf(later).mAhead <= 20);
  REQUIRE(fixture.PlanOf(first).mAhead >= fixture.PlanOf(later).mAhead);
  fixture.mNow += 500ms;
  REQUIRE(fixture.PlanOf(first).mRefusal == RefusalReason::WaitLimitPassed);
}

// Guards against a customer whose place is taken because each one has a running
// statement.
TEST_CASE("the customer with the fewest statements keeps a place")
{
  OrderFixture fixture;
  fixture.mCustomers[1].mRunning = 1;
  for (int index = 0; index < 20; index++) {
    fixture.Wait(0, 1ms);
  }
  const std::uint64_t kept = fixture.Wait(1, 4ms, true);
  REQUIRE_FALSE(fixture.PlanOf(kept).mRefusal);
}

TEST_CASE("statements beyond a customer's share go last and are refused first")
{
  OrderFixture fixture;
  std::vector<std::uint64_t> flood;
  for (int index = 0; index < 30; index++) {
    flood.push_back(fixture.Wait(1, 1ms));
  }
  const std::uint64_t usual = fixture.Wait(0, 4ms, true);
  REQUIRE_FALSE(fixture.PlanOf(usual).mRefusal);
  REQUIRE(fixture.PlanOf(usual).mAhead < 10);
  REQUIRE_FALSE(fixture.PlanOf(flood.front()).mRefusal);
  REQUIRE(fixture.PlanOf(flood.back()).mRefusal == RefusalReason::ShareExceeded);
}

// Guards against refusals of accepted statements by a prediction that varies.
TEST_CASE("an accepted statement within its customer's share waits for its objective")
{
  OrderFixture fixture;
  std::uint64_t last = 0;
  for (int index = 0; index < 30; index++) {
    last = fixture.Wait(0);
    fixture.Wait(1);
  }
  fixture.mCustomers[1].mWeight = 10;
  REQUIRE_FALSE(fixture.PlanOf(last).mRefusal);
  fixture.mWaiting.back().mIsNew = true;
  REQUIRE(fixture.PlanOf(fixture.mWaiting.back().mKey).mRefusal ==
          RefusalReason::PredictedWait);
  fixture.mNow += 100ms;
  const std::uint64_t next = fixture.Wait(0, 9ms);
  REQUIRE(fixture.Keys().front() == next);
  REQUIRE(fixture.PlanOf(last).mRefusal == RefusalReason::ObjectivePassed);
}

// Guards against a customer that never gets a turn beside one with shorter statements.
TEST_CASE("no customer starves")
{
  OrderFixture fixture;
  for (int index = 0; index < 50; index++) {
    fixture.Wait(0, 1ms);
  }
  fixture.Wait(1, 20ms);
  int sinceSmall = 0;
  int longest = 0;
  for (int start = 0; start < 2000; start++) {
    fixture.mNow += 1ms;
    for (WaitingStatement& statement : fixture.mWaiting) {
      statement.mObjectiveLimit = fixture.mNow + 100ms;
    }
    const std::size_t customer = fixture.StartFirst();
    fixture.Wait(customer, customer == 0 ? 1ms : 20ms);
    sinceSmall = customer == 1 ? 0 : sinceSmall + 1;
    longest = std::max(longest, sinceSmall);
  }
  // Its weight is a tenth, and twice the fair use goes into one round.
  REQUIRE(longest <= 100);
}

TEST_CASE("equal statements keep the order of arrival, also when some are withdrawn")
{
  OrderFixture fixture;
  for (int index = 0; index < 3; index++) {
    fixture.Wait(0);
    fixture.Wait(1);
  }
  REQUIRE(fixture.Keys() == std::vector<std::uint64_t>{ 1, 2, 3, 4, 5, 6 });
  REQUIRE(fixture.Keys() == fixture.Keys());
  REQUIRE(fixture.PlanOf(6).mAhead == 5);
  fixture.mWaiting.erase(fixture.mWaiting.begin() + 2);
  REQUIRE(fixture.Keys() == std::vector<std::uint64_t>{ 1, 2, 4, 5, 6 });
  REQUIRE(fixture.PlanOf(6).mAhead == 4);
}

TEST_CASE("priority goes before the customers' shares, and the objective before both")
{
  OrderFixture fixture;
  const std::uint64_t low = fixture.Wait(1);
  fixture.mWaiting.back().mPriority = 1;
  std::vector<std::uint64_t> high;
  for (int index = 0; index < 12; index++) {
    high.push_back(fixture.Wait(0));
  }
  REQUIRE(fixture.Keys().back() == low);
  fixture.mWaiting[1].mObjectiveLimit = fixture.mNow;
  REQUIRE(fixture.Keys().back() == high.front());
}

TEST_CASE("without a known member, nothing is refused before its wait limit")
{
  OrderFixture fixture;
  fixture.mRates = {};
  for (int index = 0; index < 100; index++) {
    fixture.Wait(0, 1ms, true);
  }
  for (const PlannedStatement& planned : fixture.Plan()) {
    REQUIRE_FALSE(planned.mRefusal);
  }
}

// Guards against state that grows with the number of customers ever seen.
TEST_CASE("the state of an inactive customer is dropped after some seconds")
{
  OrderFixture fixture;
  fixture.Wait(0);
  fixture.Plan();
  REQUIRE(fixture.mOrder.StateCount() == 4);
  fixture.mCustomers.pop_back();
  fixture.mNow += 6s;
  fixture.Plan();
  REQUIRE(fixture.mOrder.StateCount() == 2);
}
