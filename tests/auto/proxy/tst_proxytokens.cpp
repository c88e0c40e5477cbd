// Tests of operations that need a token of their customer's rate limit: which ones do,
// what clients receive without a token, and which tokens are returned.

#include "customerfixture.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

/** Advances the time beyond the longest wait of a statement. */
void
WaitLong(CustomerFixture& aFixture)
{
  for (int step = 0; step < 10; step++) {
    aFixture.Advance(100ms);
  }
}

} // namespace

// Guards against counting a transaction several times, or commands that no member runs.
TEST_CASE("a single statement or a transaction needs one token")
{
  CustomerFixture fixture;
  fixture.Open(1, "k1", "main");
  fixture.Open(2, "k1", "main");
  fixture.SendStatement(2, StatementKind::Set, "red", "colour");
  fixture.SendStatement(1, StatementKind::Begin);
  REQUIRE(fixture.mTokenRequests.empty());
  fixture.RunWrite(1);
  const ConnectionKey connection = fixture.LastSent(CommandKind::Begin).mConnection;
  fixture.ReplySuccess(connection, kUnsigned, TransactionState::Open);
  fixture.ReplySuccess(connection, "sig", TransactionState::Open);
  fixture.RunWrite(1);
  fixture.ReplySuccess(connection, "sig", TransactionState::Open);
  fixture.SendStatement(1, StatementKind::Commit);
  fixture.ReplySuccess(connection, "sig");
  REQUIRE(fixture.mTokenRequests.size() == 1);
  REQUIRE(fixture.mTokenRequests[0].second == "acme");
  for (const ClientAnswer& answer : fixture.mAnswers.at(1)) {
    INFO(answer.mText);
    REQUIRE_FALSE(answer.mError);
  }
  REQUIRE(fixture.AnswerCount(1) == 4);
  fixture.RunWrite(1);
  REQUIRE(fixture.mTokenRequests.size() == 2);
}

// Guards against counting a forwarded operation at its entry instance and at its home.
TEST_CASE("operations without a limit and forwarded ones need no token")
{
  CustomerFixture fixture;
  ProxyConfiguration configuration = CustomerFixture::WithCustomers(3);
  Customer unlimited;
  unlimited.mName = "unlimited";
  const std::vector<KeyDigest> keys{ DigestOf("k9") };
  configuration.mCustomers.Add(unlimited, keys);
  configuration.mRoutes["views"].mIsPublic = true;
  fixture.Apply(configuration);
  fixture.Open(1, "k9", "main");
  fixture.RunWrite(1);
  fixture.OpenSession(2, "views");
  fixture.SendStatement(2, StatementKind::Read, "item");
  fixture.Forward("k1", 3);
  REQUIRE(fixture.mTokenRequests.empty());
}

TEST_CASE("an operation runs when its pending token is granted")
{
  CustomerFixture fixture;
  fixture.mTokenDecision.mOutcome = TokenOutcome::Pending;
  fixture.Open(1, "k1", "main");
  fixture.RunWrite(1);
  REQUIRE(fixture.SentCount(CommandKind::Write) == 0);
  const TokenDecision granted{ TokenOutcome::Granted, {}, fixture.mNow + 300ms };
  fixture.mCore.OnTokenDecision(
    fixture.mTokenRequests.at(0).first, granted, fixture.mNow);
  fixture.ReadyAll();
  REQUIRE(fixture.SentCount(CommandKind::Write) == 1);
  // A repeated decision must not run it twice.
  fixture.mCore.OnTokenDecision(
    fixture.mTokenRequests.at(0).first, granted, fixture.mNow);
  REQUIRE(fixture.SentCount(CommandKind::Write) == 1);
}

TEST_CASE("an operation over the limit is refused at once with the time of a retry")
{
  CustomerFixture fixture;
  fixture.mTokenDecision = { TokenOutcome::Refused, 250ms, {} };
  fixture.Open(1, "k1", "main");
  fixture.RunWrite(1);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::TooMany);
  REQUIRE(fixture.LastAnswer(1).mText.find("250 ms") != std::string::npos);
  REQUIRE(fixture.SentCount(CommandKind::Write) == 0);
  REQUIRE(fixture.mReturnedTokens.empty());
  REQUIRE_FALSE(fixture.IsClosed(1));
  fixture.mTokenDecision = { TokenOutcome::Granted, {}, fixture.mNow + 300ms };
  fixture.RunWrite(1);
  REQUIRE(fixture.SentCount(CommandKind::Write) == 1);
}

// Guards against a transaction of which a part runs although its start was refused.
TEST_CASE("a transaction whose first statement is refused runs nothing")
{
  CustomerFixture fixture;
  fixture.mTokenDecision = { TokenOutcome::Refused, 250ms, {} };
  fixture.Open(1, "k1", "main");
  fixture.SendStatement(1, StatementKind::Begin);
  fixture.RunWrite(1);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::TooMany);
  fixture.mTokenDecision = { TokenOutcome::Granted, {}, fixture.mNow + 300ms };
  fixture.RunWrite(1);
  REQUIRE(fixture.LastAnswer(1).mError);
  fixture.SendStatement(1, StatementKind::Rollback);
  REQUIRE_FALSE(fixture.LastAnswer(1).mError);
  REQUIRE(fixture.SentCount(CommandKind::Write) == 0);
}

TEST_CASE("an operation is refused with BUSY while no limiter can be reached")
{
  CustomerFixture fixture;
  fixture.mTokenDecision = { TokenOutcome::Unavailable, {}, {} };
  fixture.Open(1, "k1", "main");
  fixture.RunWrite(1);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Busy);
}

// Guards against a client that waits for good, and against a token for an operation that
// was answered.
TEST_CASE("an operation without a decision is refused in time and cancelled")
{
  CustomerFixture fixture;
  fixture.mTokenDecision.mOutcome = TokenOutcome::Pending;
  fixture.Open(1, "k1", "main");
  fixture.RunWrite(1);
  WaitLong(fixture);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Busy);
  REQUIRE(fixture.mCancelledTokens.size() == 1);
}

TEST_CASE("a closed session cancels its pending token")
{
  CustomerFixture fixture;
  fixture.mTokenDecision.mOutcome = TokenOutcome::Pending;
  fixture.Open(1, "k1", "main");
  fixture.RunWrite(1);
  fixture.mCore.OnSessionClosed(1, fixture.mNow);
  REQUIRE(fixture.mCancelledTokens ==
          std::vector<OperationKey>{ fixture.mTokenRequests.at(0).first });
}

// Guards against a queued statement that starts within the decision on its predecessor
// and is lost.
TEST_CASE("a refusal starts the next queued statement of the session")
{
  CustomerFixture fixture;
  fixture.mTokenDecision.mOutcome = TokenOutcome::Pending;
  fixture.Open(1, "k1", "main");
  fixture.RunWrite(1);
  fixture.SendStatement(1, StatementKind::Write, "item data");
  fixture.mCore.OnTokenDecision(fixture.mTokenRequests.at(0).first,
                                { TokenOutcome::Refused, 250ms, {} },
                                fixture.mNow);
  REQUIRE(fixture.AnswerCount(1) == 1);
  REQUIRE(fixture.mTokenRequests.size() == 2);
}

// Guards against losing a customer's tokens while members can't be reached.
TEST_CASE("the token of an operation that no member has run is returned")
{
  CustomerFixture fixture;
  fixture.Open(1, "k1", "main");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  WaitLong(fixture);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Busy);
  REQUIRE(fixture.mReturnedTokens ==
          std::vector<TimePoint>{ fixture.mTokenDecision.mExpiresAt });
}

TEST_CASE("the token of an operation that a member has run is not returned")
{
  const bool isServed = GENERATE(true, false);
  CustomerFixture fixture;
  fixture.Open(1, "k1", "main");
  fixture.RunWrite(1);
  const ConnectionKey connection = fixture.LastSent(CommandKind::Write).mConnection;
  if (isServed) {
    fixture.ReplySuccess(connection, "sig");
  } else {
    fixture.mCore.OnConnectionFailed(connection, fixture.mNow);
    REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
  }
  REQUIRE(fixture.AnswerCount(1) == 1);
  REQUIRE(fixture.mReturnedTokens.empty());
}

// Guards against a token that is used twice: a member may have run a read whose answer
// was lost, also if the repetition finds no member.
TEST_CASE("the token of a read whose answer was lost is not returned")
{
  CustomerFixture fixture;
  fixture.Open(1, "k1", "main");
  fixture.SendStatement(1, StatementKind::Read, "item");
  fixture.ReadyAll();
  const ConnectionKey connection = fixture.LastSent(CommandKind::Begin).mConnection;
  fixture.ReplySuccess(connection, kUnsigned, TransactionState::Open);
  REQUIRE(fixture.SentCount(CommandKind::Read) == 1);
  fixture.mCore.OnConnectionFailed(connection, fixture.mNow);
  WaitLong(fixture);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Busy);
  REQUIRE(fixture.mReturnedTokens.empty());
}

TEST_CASE("the token of a forwarded read is returned only if no home has received it")
{
  const bool wasSent = GENERATE(true, false);
  CustomerFixture fixture;
  fixture.mIsHome = false;
  fixture.mPickCustomerHome =
    [](std::string_view,
       std::uint32_t,
       const std::set<std::string>& aExcluded) -> std::optional<std::string> {
    return aExcluded.empty() ? std::optional<std::string>("home-1") : std::nullopt;
  };
  fixture.Open(1, "k1", "main");
  fixture.SendStatement(1, StatementKind::Read, "item");
  fixture.mCore.OnForwardFailed(fixture.mForwarded.at(0).first, wasSent, fixture.mNow);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Busy);
  REQUIRE(fixture.mReturnedTokens.size() == (wasSent ? 0 : 1));
}
