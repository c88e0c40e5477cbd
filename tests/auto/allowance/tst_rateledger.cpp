// Tests of a limiter's token buckets: what they grant after a start, a suspension and a
// change of the limit, and that the parts of all limiters stay within the limit.

#include "decision/allowance/rateledger.h"
#include "decision/allowance/ratewindow.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kMany = 10'000;

/** A ledger, asked for one customer on a manual clock. */
struct Fixture
{
  TokenGrant Ask(std::uint32_t aCount)
  {
    return mLedger.Grant({ "acme", aCount }, mPart, mSince, mNow);
  }

  RateLedger mLedger{ 2.5 };
  RateLimit mPart{ 10, 20 };
  TimePoint mSince{ 1h };
  TimePoint mNow{ 1h };
};

} // namespace

// Guards against a limiter that restarts and grants the burst that its predecessor has
// granted just before.
TEST_CASE("a limiter that has just started grants few tokens")
{
  Fixture fixture;
  REQUIRE(fixture.Ask(kMany).mGranted == 2);
  fixture.mNow += 1s;
  REQUIRE(fixture.Ask(kMany).mGranted == 10);
}

// Guards against refusing a customer whose bucket refilled before its first request here.
TEST_CASE("a bucket fills from the time since when the process has been a limiter")
{
  Fixture fixture;
  fixture.mNow += 1s;
  REQUIRE(fixture.Ask(kMany).mGranted == 12);
}

// Guards against a burst without bounds after a quiet or suspended hour.
TEST_CASE("a bucket holds at most the burst and the initial tokens")
{
  Fixture fixture;
  fixture.Ask(1);
  fixture.mNow += 1h;
  const std::uint32_t granted = fixture.Ask(kMany).mGranted;
  REQUIRE(granted >= 20);
  REQUIRE(granted <= 22);
  REQUIRE(fixture.Ask(kMany).mGranted == 0);
}

// Guards against tokens that survive a lowered burst and exceed it seconds later.
TEST_CASE("tokens above a lowered burst are dropped")
{
  Fixture fixture;
  fixture.mNow += 1h;
  fixture.Ask(1);
  fixture.mPart = { 1, 2 };
  REQUIRE(fixture.Ask(kMany).mGranted <= 4);
  fixture.mNow += 1s;
  REQUIRE(fixture.Ask(kMany).mGranted <= 1);
}

// Guards against clients that return too early, or never.
TEST_CASE("a refusal reports the time until the next token")
{
  Fixture fixture;
  fixture.Ask(kMany);
  const TokenGrant refused = fixture.Ask(1);
  REQUIRE(refused.mGranted == 0);
  REQUIRE(refused.mWait > 0ms);
  REQUIRE(refused.mWait <= 100ms);
  fixture.mNow += refused.mWait + 1ms;
  REQUIRE(fixture.Ask(1).mGranted == 1);
}

// Guards against a division by zero and against an endless wait.
TEST_CASE("a limit of zero grants nothing beyond the initial tokens")
{
  Fixture fixture;
  fixture.mPart = { 0, 0 };
  REQUIRE(fixture.Ask(kMany).mGranted <= 2);
  fixture.mNow += 1h;
  const TokenGrant refused = fixture.Ask(1);
  REQUIRE(refused.mGranted == 0);
  REQUIRE(refused.mWait == 5s);
}

// Guards against tokens from the future, and against refilling the same time twice.
TEST_CASE("a clock that goes back neither adds nor removes tokens")
{
  Fixture fixture;
  fixture.mNow += 1h;
  fixture.Ask(kMany);
  fixture.mNow -= 10s;
  REQUIRE(fixture.Ask(kMany).mGranted == 0);
  fixture.mNow += 10s;
  REQUIRE(fixture.Ask(kMany).mGranted == 0);
}

// Guards against one customer that uses up the tokens of another.
TEST_CASE("customers have separate buckets")
{
  Fixture fixture;
  fixture.Ask(kMany);
  REQUIRE(
    fixture.mLedger.Grant({ "other", 1 }, fixture.mPart, fixture.mSince, fixture.mNow)
      .mGranted == 1);
  REQUIRE(fixture.mLedger.size() == 2);
  fixture.mLedger.RemoveIf([](std::string_view aName) { return aName == "acme"; });
  REQUIRE(fixture.mLedger.size() == 1);
}

// Guards against parts that together exceed the limit, also for tiny and huge customers.
TEST_CASE("the parts of all limiters stay within the limit in each window")
{
  const auto limit = GENERATE(RateLimit{ 0, 0 },
                              RateLimit{ 4.16, 8 },
                              RateLimit{ 100, 100 },
                              RateLimit{ 5000, 0 },
                              RateLimit{ 1, 1000 });
  const auto limiters = GENERATE(1U, 2U, 3U, 4U);
  const RateWindow window{ 5s, 0.1, 20 };
  const RateLimit part = PartOfLimiter(limit, window, limiters);
  const double permitted = limit.mPerSecond * 5 + limit.mBurst;
  // Tokens are used up to 300 ms after they were granted.
  const double most =
    limiters * (part.mPerSecond * 5.3 + part.mBurst + InitialTokens(window));
  REQUIRE(most <= permitted * 1.1 + 20);
  REQUIRE(limiters * part.mPerSecond * 5 >= permitted * 0.999);
}

TEST_CASE("without a checked window a limiter owns its share of rate and burst")
{
  REQUIRE(PartOfLimiter({ 100, 40 }, {}, 4) == RateLimit{ 25, 10 });
  REQUIRE(PartOfLimiter({ 100, 40 }, {}, 0) == RateLimit{ 100, 40 });
}
