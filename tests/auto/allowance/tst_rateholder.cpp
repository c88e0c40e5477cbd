// Tests of the tokens that an instance holds for its clients' operations: which limiters
// it asks, when operations are refused, and how long tokens can be used.

#include "decision/allowance/rateholder.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

struct SentRequest
{
  std::string mLimiter;
  std::uint32_t mCount = 0;
  std::uint64_t mRequest = 0;
};

/** A holder with recorded requests and decisions; the test answers the requests. */
class Fixture
{
public:
  RateHolderHooks Hooks()
  {
    RateHolderHooks hooks;
    hooks.mLimiters = [this](std::string_view, TimePoint) { return mLimiters; };
    hooks.mRequest = [this](const std::string& aLimiter,
                            const TokenRequest& aRequest,
                            std::uint64_t aKey,
                            TimePoint) -> std::optional<TokenGrant> {
      mSent.push_back({ aLimiter, aRequest.mCount, aKey });
      if (aLimiter == "self") {
        return mOwnGrant;
      }
      return std::nullopt;
    };
    hooks.mDecided = [this](std::uint64_t aOperation, const TokenDecision& aDecision) {
      mDecisions.emplace_back(aOperation, aDecision);
      if (mOnDecided) {
        mOnDecided(aOperation);
      }
    };
    return hooks;
  }

  TokenDecision Take(std::uint64_t aOperation)
  {
    return mHolder.Take("acme", aOperation, mNow);
  }

  /** Answers the last request. */
  void Grant(std::uint32_t aGranted, Duration aWait = 0ms)
  {
    mHolder.OnGrant(mSent.back().mRequest, { aGranted, aWait }, mNow);
  }

  void Lose() { mHolder.OnNoAnswer(mSent.back().mRequest, mNow); }

  /** Leaves a token with the holder that was requested now. */
  void HoldToken()
  {
    Take(900);
    Grant(2);
    mSent.clear();
    mDecisions.clear();
  }

  std::size_t Count(TokenOutcome aOutcome) const
  {
    return static_cast<std::size_t>(
      std::count_if(mDecisions.begin(), mDecisions.end(), [&](const auto& aDecision) {
        return aDecision.second.mOutcome == aOutcome;
      }));
  }

  TimePoint mNow{ 1h };
  std::vector<std::string> mLimiters{ "l1", "l2", "l3", "l4" };
  TokenGrant mOwnGrant;
  std::vector<SentRequest> mSent;
  std::vector<std::pair<std::uint64_t, TokenDecision>> mDecisions;
  std::function<void(std::uint64_t)> mOnDecided;
  RateHolder mHolder{ Hooks() };
};

} // namespace

// Guards against asking distant limiters while the preferred one has tokens.
TEST_CASE("the preferred limiter is asked first, and the others in turn")
{
  Fixture fixture;
  REQUIRE(fixture.Take(1).mOutcome == TokenOutcome::Pending);
  REQUIRE(fixture.mSent.back().mLimiter == "l1");
  fixture.Grant(0, 40ms);
  REQUIRE(fixture.mSent.back().mLimiter == "l2");
  fixture.Lose();
  REQUIRE(fixture.mSent.back().mLimiter == "l3");
  fixture.Grant(1);
  REQUIRE(fixture.mSent.size() == 3);
  REQUIRE(fixture.mDecisions.size() == 1);
  REQUIRE(fixture.mDecisions[0].second.mOutcome == TokenOutcome::Granted);
  REQUIRE(fixture.mDecisions[0].second.mExpiresAt == fixture.mNow + kTokenLifetime);
}

// Guards against a round trip for a limiter in the own process.
TEST_CASE("a limiter in this instance decides at once")
{
  Fixture fixture;
  fixture.mLimiters = { "self" };
  fixture.mOwnGrant = { 1, {} };
  REQUIRE(fixture.Take(1).mOutcome == TokenOutcome::Granted);
  fixture.mOwnGrant = { 0, 700ms };
  const TokenDecision refused = fixture.Take(2);
  REQUIRE(refused.mOutcome == TokenOutcome::Refused);
  REQUIRE(refused.mRetryAfter == 700ms);
  REQUIRE(fixture.mDecisions.empty());
}

// Guards against a retry time that is longer than necessary.
TEST_CASE("a refusal reports the shortest wait of the limiters")
{
  Fixture fixture;
  fixture.Take(1);
  for (const Duration wait : { 900ms, 300ms, 600ms, 800ms }) {
    fixture.Grant(0, wait);
  }
  REQUIRE(fixture.Count(TokenOutcome::Refused) == 1);
  REQUIRE(fixture.mDecisions[0].second.mRetryAfter == 300ms);
}

// Guards against a message for each refusal of a customer far over its limit.
TEST_CASE("limiters without tokens are not asked again for a while")
{
  Fixture fixture;
  fixture.Take(1);
  for (int limiter = 0; limiter < 4; limiter++) {
    fixture.Grant(0, 900ms);
  }
  REQUIRE(fixture.Take(2).mOutcome == TokenOutcome::Refused);
  REQUIRE(fixture.mSent.size() == 4);
  fixture.mNow += 100ms;
  REQUIRE(fixture.Take(3).mOutcome == TokenOutcome::Pending);
  REQUIRE(fixture.mSent.size() == 5);
}

// Guards against telling a customer to come back earlier than its limiters have said,
// because the limiters were not asked again.
TEST_CASE("a refusal without a request reports the wait that the limiters reported")
{
  Fixture fixture;
  fixture.Take(1);
  for (int limiter = 0; limiter < 4; limiter++) {
    fixture.Grant(0, 900ms);
  }
  fixture.mNow += 50ms;
  REQUIRE(fixture.Take(2).mRetryAfter == 850ms);
}

// Guards against refusals below the limit: operations that arrive while a request is on
// its way are no evidence that the limiter has run out of tokens.
TEST_CASE("a limiter that granted all that was requested counts as having more")
{
  Fixture fixture;
  fixture.Take(1);
  for (std::uint64_t operation = 2; operation <= 20; operation++) {
    fixture.Take(operation);
    REQUIRE(fixture.mSent.back().mLimiter == "l1");
    fixture.Grant(fixture.mSent.back().mCount);
  }
  REQUIRE(fixture.Count(TokenOutcome::Refused) == 0);
}

// Guards against one message for each operation of a busy customer.
TEST_CASE("operations that wait together share a request")
{
  Fixture fixture;
  fixture.Take(1);
  fixture.Take(2);
  fixture.Take(3);
  REQUIRE(fixture.mSent.size() == 1);
  fixture.Grant(1);
  REQUIRE(fixture.mSent.size() == 2);
  REQUIRE(fixture.mSent[1].mCount == 2);
  fixture.Grant(2);
  REQUIRE(fixture.Count(TokenOutcome::Granted) == 3);
}

// Guards against operations that are refused as over the limit, or wait for good, when no
// limiter can be reached.
TEST_CASE("an operation is refused as undecided when no limiter answers")
{
  Fixture fixture;
  fixture.Take(1);
  for (int limiter = 0; limiter < 4; limiter++) {
    fixture.Lose();
  }
  REQUIRE(fixture.Count(TokenOutcome::Unavailable) == 1);
  fixture.mLimiters.clear();
  REQUIRE(fixture.Take(2).mOutcome == TokenOutcome::Unavailable);
}

// Guards against TOOMANY for a customer below its limit whose limiters are all lost: a
// refusal of an earlier minute says nothing about the limit now.
TEST_CASE("an old refusal of a lost limiter doesn't count as over the limit")
{
  Fixture fixture;
  fixture.Take(1);
  fixture.Grant(0, 40ms);
  fixture.Grant(1);
  fixture.mNow += 60s;
  fixture.Take(2);
  for (int limiter = 0; limiter < 4; limiter++) {
    fixture.Lose();
  }
  REQUIRE(fixture.Count(TokenOutcome::Unavailable) == 1);
  REQUIRE(fixture.Count(TokenOutcome::Refused) == 0);
}

// Guards against tokens of one window that are used in the next.
TEST_CASE("a token lapses 300 ms after its request")
{
  Fixture fixture;
  fixture.HoldToken();
  fixture.mNow += 299ms;
  REQUIRE(fixture.Take(1).mOutcome == TokenOutcome::Granted);
  fixture.HoldToken();
  fixture.mNow += 300ms;
  REQUIRE(fixture.Take(2).mOutcome == TokenOutcome::Pending);
}

// Guards against tokens from before a suspension of this instance.
TEST_CASE("a grant that arrives too late is void")
{
  Fixture fixture;
  fixture.Take(1);
  fixture.mNow += 10s;
  fixture.Grant(1);
  REQUIRE(fixture.Count(TokenOutcome::Granted) == 0);
  REQUIRE(fixture.mSent.size() == 2);
}

// Guards against counting twice what the link delivered twice.
TEST_CASE("a repeated answer adds no tokens")
{
  Fixture fixture;
  fixture.Take(1);
  fixture.Grant(1);
  fixture.Grant(1);
  fixture.Lose();
  REQUIRE(fixture.mDecisions.size() == 1);
  REQUIRE(fixture.Take(2).mOutcome == TokenOutcome::Pending);
}

// Guards against losing the tokens of operations that no member has run, and against
// extending their life.
TEST_CASE("a returned token serves another operation until it lapses")
{
  Fixture fixture;
  fixture.HoldToken();
  const TokenDecision taken = fixture.Take(1);
  fixture.mHolder.Return("acme", taken.mExpiresAt, fixture.mNow);
  const TokenDecision again = fixture.Take(2);
  REQUIRE(again.mOutcome == TokenOutcome::Granted);
  REQUIRE(again.mExpiresAt == taken.mExpiresAt);
  fixture.mNow = taken.mExpiresAt;
  fixture.mHolder.Return("acme", taken.mExpiresAt, fixture.mNow);
  REQUIRE(fixture.Take(3).mOutcome == TokenOutcome::Pending);
  fixture.mHolder.Return("unknown", taken.mExpiresAt + 1s, fixture.mNow);
}

// Guards against a decision on an operation that its client has abandoned.
TEST_CASE("a cancelled operation gets no decision, and its token serves the next one")
{
  Fixture fixture;
  fixture.Take(1);
  fixture.mHolder.Cancel("acme", 1);
  fixture.Grant(1);
  REQUIRE(fixture.mDecisions.empty());
  REQUIRE(fixture.Take(2).mOutcome == TokenOutcome::Granted);
  fixture.mHolder.Cancel("unknown", 7);
}

// Guards against operations that wait for a lost limiter one after the other, and against
// a lost limiter that is never asked again.
TEST_CASE("a lost limiter is asked again after a pause")
{
  Fixture fixture;
  fixture.Take(1);
  fixture.Lose();
  fixture.Grant(1);
  fixture.Take(2);
  REQUIRE(fixture.mSent.back().mLimiter == "l2");
  fixture.Grant(1);
  fixture.mNow += 500ms;
  fixture.Take(3);
  REQUIRE(fixture.mSent.back().mLimiter == "l1");
}

// Guards against a second decision on, or an endless loop with, operations that a session
// starts as soon as its previous one is decided.
TEST_CASE("an operation that starts from within a decision is decided once")
{
  const bool isGranted = GENERATE(true, false);
  Fixture fixture;
  std::uint64_t next = 2;
  fixture.mOnDecided = [&](std::uint64_t) {
    if (next <= 10) {
      const std::uint64_t operation = next++;
      const TokenDecision decision = fixture.Take(operation);
      if (decision.mOutcome != TokenOutcome::Pending) {
        fixture.mDecisions.emplace_back(operation, decision);
      }
    }
  };
  fixture.Take(1);
  for (int answer = 0; answer < 20; answer++) {
    fixture.Grant(isGranted ? 1 : 0, 200ms);
  }
  std::vector<std::uint64_t> decided;
  for (const auto& [operation, decision] : fixture.mDecisions) {
    decided.push_back(operation);
    REQUIRE(decision.mOutcome ==
            (isGranted ? TokenOutcome::Granted : TokenOutcome::Refused));
  }
  std::sort(decided.begin(), decided.end());
  REQUIRE(std::adjacent_find(decided.begin(), decided.end()) == decided.end());
  REQUIRE(decided.size() == (isGranted ? 10 : next - 1));
}

// Guards against mixing up the decisions of customers when one customer's decision starts
// an operation of another.
TEST_CASE("a decision may start an operation of another customer")
{
  Fixture fixture;
  fixture.mLimiters = { "l1", "self" };
  std::optional<TokenDecision> other;
  fixture.mOnDecided = [&](std::uint64_t aOperation) {
    if (aOperation == 1) {
      other = fixture.mHolder.Take("other", 50, fixture.mNow);
    }
  };
  fixture.Take(1);
  fixture.Take(2);
  fixture.mOwnGrant = { 1, {} };
  fixture.mHolder.OnGrant(fixture.mSent.front().mRequest, { 1, {} }, fixture.mNow);
  REQUIRE(other);
  REQUIRE(other->mOutcome == TokenOutcome::Pending);
  REQUIRE(fixture.Count(TokenOutcome::Granted) >= 1);
  REQUIRE(std::none_of(fixture.mDecisions.begin(),
                       fixture.mDecisions.end(),
                       [](const auto& aDecision) { return aDecision.first == 50; }));
}
