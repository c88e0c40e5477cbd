// Tests of tokens that an instance requests in advance: when it asks for them, and which
// operations wait for them.

#include "rateholderfixture.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;

// Guards against refusals while a limiter has a token within the time that an operation
// can wait, and against a request in advance while another limiter has tokens.
TEST_CASE("the limiter with the next token is asked for it in advance before a refusal")
{
  RateHolderFixture fixture;
  fixture.mLimiters = { "l1", "l2", "l3" };
  REQUIRE(fixture.mHolder.Take("acme", 1, fixture.mNow, 50ms).mOutcome ==
          TokenOutcome::Pending);
  fixture.Grant(0, 40ms);
  fixture.Grant(0, 20ms);
  fixture.Grant(0, 41ms);
  REQUIRE(fixture.mSent.size() == 4);
  REQUIRE(fixture.mSent.back().mLimiter == "l2");
  REQUIRE(fixture.mSent.back().mMaxWait == 40ms);
  fixture.mHolder.OnGrant(fixture.mSent.back().mRequest, { 0, 20ms, 1 }, fixture.mNow);
  REQUIRE(fixture.mDecisions.size() == 1);
  REQUIRE(fixture.mDecisions[0].second.mOutcome == TokenOutcome::Granted);
  REQUIRE(fixture.mDecisions[0].second.mUsableAt == fixture.mNow + 20ms);
  REQUIRE(fixture.mDecisions[0].second.mExpiresAt == fixture.mNow + kTokenLifetime);
}

// Guards against operations that wait and are refused in the end.
TEST_CASE("an operation that can't wait for the next token is refused at once")
{
  const auto maxWait = GENERATE(0ms, 9ms, 49ms);
  RateHolderFixture fixture;
  fixture.mLimiters = { "l1", "l2" };
  fixture.mHolder.Take("acme", 1, fixture.mNow, maxWait);
  fixture.Grant(0, 40ms);
  fixture.Grant(0, 60ms);
  REQUIRE(fixture.mSent.size() == 2);
  REQUIRE(fixture.Count(TokenOutcome::Refused) == 1);
}

// Guards against endless requests to a limiter of an older version, which answers without
// tokens in advance, and against a token that comes too late.
TEST_CASE(
  "a request in advance is sent once, and a token that is usable too late is left")
{
  const auto grant = GENERATE(TokenGrant{ 0, 20ms, 0 }, TokenGrant{ 0, 51ms, 1 });
  RateHolderFixture fixture;
  fixture.mLimiters = { "l1" };
  fixture.mHolder.Take("acme", 1, fixture.mNow, 50ms);
  fixture.Grant(0, 20ms);
  fixture.mHolder.OnGrant(fixture.mSent.back().mRequest, grant, fixture.mNow);
  if (grant.mAdvanced > 0) {
    // The next request is answered without tokens.
    fixture.mHolder.OnGrant(fixture.mSent.back().mRequest, { 0, 20ms, 0 }, fixture.mNow);
  }
  REQUIRE(fixture.mSent.size() == (grant.mAdvanced > 0 ? 3 : 2));
  REQUIRE(fixture.Count(TokenOutcome::Refused) == 1);
}
