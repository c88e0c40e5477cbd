// Statements that go to a home of the group, and what becomes of them when it is lost.

#include "corefixture.h"
#include "forwarding/forwardcodec.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

MemberReply
Success(LogPosition aPosition)
{
  MemberReply reply;
  reply.mText = "sig";
  reply.mPosition = aPosition;
  return reply;
}

} // namespace

TEST_CASE("an instance that is no home forwards, and keeps the session's state")
{
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.Start(1, "ledger");
  fixture.Say(1, StatementKind::Set, "red", "colour");
  fixture.Say(1, StatementKind::Write, "item data");
  REQUIRE(fixture.mForwarded.size() == 1);
  REQUIRE(fixture.mForwarded[0].second.mValues.at("colour") == "red");
  fixture.mCore.OnForwardAnswer(
    fixture.mForwarded[0].first, Success({ 1, 40 }), fixture.mNow);
  REQUIRE_FALSE(fixture.LastAnswer(1).mError);
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.mForwarded[1].second.mLastCommit == LogPosition{ 1, 40 });
}

TEST_CASE("what a lost home may have run decides the answer")
{
  struct Case
  {
    StatementKind mKind;
    bool mWasSent;
    /** Nothing: the statement goes to another home. */
    std::optional<AnswerCode> mAnswer;
  };
  const auto row = GENERATE(Case{ StatementKind::Read, true, std::nullopt },
                            Case{ StatementKind::Read, false, std::nullopt },
                            Case{ StatementKind::Write, false, std::nullopt },
                            Case{ StatementKind::Write, true, AnswerCode::Unknown });
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.Start(1, "ledger");
  fixture.Say(1, row.mKind, "item data");
  fixture.mCore.OnForwardFailed(fixture.mForwarded[0].first, row.mWasSent, fixture.mNow);
  if (row.mAnswer) {
    REQUIRE(fixture.LastAnswer(1).mError == row.mAnswer);
    REQUIRE(fixture.mForwarded.size() == 1);
  } else {
    REQUIRE(fixture.AnswerCount(1) == 0);
    REQUIRE(fixture.mForwarded.size() == 2);
  }
}

TEST_CASE("a transaction stays at its home, and is aborted when that is lost")
{
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.Start(1, "ledger");
  fixture.Say(1, StatementKind::Begin);
  fixture.Say(1, StatementKind::Write, "item data");
  MemberReply first = Success({ 1, 40 });
  first.mState = TransactionState::Open;
  fixture.mCore.OnForwardAnswer(fixture.mForwarded[0].first, first, fixture.mNow);
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.mForwarded[1].second.mPurpose == OperationPurpose::TransactionNext);
  fixture.mCore.OnForwardFailed(fixture.mForwarded[1].first, true, fixture.mNow);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Aborted);
}

TEST_CASE("a lost commit at a home is unknown after a write")
{
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.Start(1, "ledger");
  fixture.Say(1, StatementKind::Begin);
  fixture.Say(1, StatementKind::Write, "item data");
  MemberReply first = Success({ 1, 40 });
  first.mState = TransactionState::Open;
  fixture.mCore.OnForwardAnswer(fixture.mForwarded[0].first, first, fixture.mNow);
  fixture.Say(1, StatementKind::Commit);
  fixture.mCore.OnForwardFailed(fixture.mForwarded[1].first, true, fixture.mNow);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
}

TEST_CASE("a home runs a forwarded statement and forgets its session")
{
  CoreFixture fixture;
  constexpr SessionKey kRemote = 1ULL << 62U;
  ForwardedStatement statement;
  statement.mRoute = CoreFixture::MakeRoute("ledger", Consistency::ReadYourWrites);
  statement.mStatement.mId = "id";
  statement.mStatement.mKind = StatementKind::Write;
  statement.mStatement.mArguments = "item data";
  statement.mPurpose = OperationPurpose::SingleWrite;
  statement.mWrites = true;
  fixture.mCore.OnForwarded(kRemote, statement, fixture.mNow);
  fixture.Succeed(fixture.Last(CommandKind::Write).mConnection, "sig");
  REQUIRE_FALSE(fixture.LastAnswer(kRemote).mError);
  fixture.mCore.StartDrain(fixture.mNow);
  REQUIRE(fixture.mCore.IsDrained());
}

TEST_CASE("a home without the transaction answers that nothing of it is kept")
{
  CoreFixture fixture;
  constexpr SessionKey kRemote = 1ULL << 62U;
  ForwardedStatement statement;
  statement.mRoute = CoreFixture::MakeRoute("ledger", Consistency::ReadYourWrites);
  statement.mStatement.mKind = StatementKind::Commit;
  statement.mPurpose = OperationPurpose::TransactionNext;
  statement.mMayWrite = true;
  fixture.mCore.OnForwarded(kRemote, statement, fixture.mNow);
  REQUIRE(fixture.LastAnswer(kRemote).mError == AnswerCode::Aborted);
  REQUIRE(fixture.mSent.empty());
}

TEST_CASE("forwarded statements and answers survive their encoding")
{
  ForwardedStatement statement;
  statement.mSession = 7;
  statement.mRoute = CoreFixture::MakeRoute("ledger", Consistency::Bounded);
  statement.mStatement = {
    "id", StatementKind::Execute, "s1", "item some data", PreparedKind::Read
  };
  statement.mPrepared = { PreparedKind::Write, "shape" };
  statement.mPurpose = OperationPurpose::TransactionNext;
  statement.mMayWrite = true;
  statement.mWrites = true;
  statement.mValues = { { "a", "1" }, { "b", "2 3" } };
  statement.mLastCommit = LogPosition{ 3, 9 };
  statement.mWaited = 12ms;
  const auto decoded = DecodeForwarded(EncodeForwarded(statement));
  REQUIRE(decoded);
  REQUIRE(decoded->mSession == 7);
  REQUIRE(decoded->mRoute.mMaxStaleness == statement.mRoute.mMaxStaleness);
  REQUIRE(decoded->mStatement.mArguments == "item some data");
  REQUIRE(decoded->mPrepared.mShape == "shape");
  REQUIRE(decoded->mPurpose == OperationPurpose::TransactionNext);
  REQUIRE(decoded->mValues == statement.mValues);
  REQUIRE(decoded->mLastCommit == statement.mLastCommit);
  REQUIRE(decoded->mWaited == 12ms);

  ClientAnswer answer;
  answer.mRows = { "a", "b" };
  answer.mError = AnswerCode::Lagging;
  answer.mState = TransactionState::Failed;
  const auto reply = DecodeAnswer(EncodeAnswer(answer, true));
  REQUIRE(reply);
  REQUIRE(reply->mIsLeaving);
  REQUIRE(reply->mAnswer.mRows == answer.mRows);
  REQUIRE(reply->mAnswer.mError == AnswerCode::Lagging);
  REQUIRE_FALSE(DecodeForwarded("\xff\xff\xff"));
  REQUIRE_FALSE(DecodeAnswer("\xff\xff\xff"));
}
