// Tests which answer a client receives, depending on the fate of its statement at the
// member.

#include "corefixture.h"
#include "proxy/answerpolicy.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

TEST_CASE("every answer code has a policy, in the order of the codes")
{
  std::size_t index = 0;
  for (const AnswerPolicy& row : AnswerPolicies()) {
    REQUIRE(static_cast<std::size_t>(row.mCode) == index++);
    REQUIRE_FALSE(row.mName.empty());
  }
  REQUIRE(index == static_cast<std::size_t>(AnswerCode::Unknown) + 1);
}

// Guards against sending a write twice that may have run the first time.
TEST_CASE("writes are retried only after codes that guarantee that they have not run")
{
  for (const AnswerPolicy& row : AnswerPolicies()) {
    INFO(row.mName);
    REQUIRE(
      (row.mWriteDecision != RetryDecision::RetryElsewhere || row.mGuaranteesNotRun));
  }
}

TEST_CASE("a lost write has an unknown outcome and is not sent again")
{
  CoreFixture fixture;
  fixture.OpenSession(1, "main");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  const ConnectionKey connection = fixture.LastSent(CommandKind::Write).mConnection;
  SECTION("the connection ends")
  {
    fixture.mCore.OnConnectionFailed(connection, fixture.mNow);
  }
  SECTION("no answer comes")
  {
    fixture.Advance(900ms);
  }
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
  REQUIRE(fixture.SentCount(CommandKind::Write) == 1);
}

TEST_CASE("a refused write is sent again")
{
  CoreFixture fixture;
  fixture.OpenSession(1, "main");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  fixture.ReplyError(fixture.LastSent(CommandKind::Write).mConnection, AnswerCode::Busy);
  REQUIRE(fixture.AnswerCount(1) == 0);
  fixture.Advance(20ms);
  REQUIRE(fixture.SentCount(CommandKind::Write) == 2);
}

TEST_CASE("a lost read is retried at another member")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  fixture.OpenSession(1, "views");
  fixture.SendStatement(1, StatementKind::Read, "item");
  const auto first = fixture.LastSent(CommandKind::Read);
  fixture.mCore.OnConnectionFailed(first.mConnection, fixture.mNow);
  const auto second = fixture.LastSent(CommandKind::Read);
  REQUIRE(second.mConnection != first.mConnection);
  fixture.ReplySuccess(second.mConnection, "sig");
  REQUIRE_FALSE(fixture.LastAnswer(1).mError);
}

// Guards against matching a later reply to a pipelined command whose own reply was lost.
TEST_CASE("a success without a member's signature is never returned to the client")
{
  CoreFixture fixture;
  fixture.OpenSession(1, "main");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  fixture.ReplySuccess(fixture.LastSent(CommandKind::Write).mConnection, kUnsigned);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
}

namespace {

/**
 * Opens a transaction that has written.
 *
 * @return the transaction's connection
 */
ConnectionKey
OpenWritten(CoreFixture& aFixture)
{
  aFixture.OpenSession(1, "main");
  aFixture.SendStatement(1, StatementKind::Begin);
  aFixture.SendStatement(1, StatementKind::Write, "item data");
  const ConnectionKey connection = aFixture.LastSent(CommandKind::Begin).mConnection;
  aFixture.ReplySuccess(connection, kUnsigned, TransactionState::Open);
  aFixture.ReplySuccess(connection, "sig", TransactionState::Open);
  return connection;
}

} // namespace

TEST_CASE("a transaction whose connection ends before its commit is aborted")
{
  CoreFixture fixture;
  const ConnectionKey connection = OpenWritten(fixture);
  SECTION("between statements")
  {
    fixture.mCore.OnConnectionFailed(connection, fixture.mNow);
    fixture.SendStatement(1, StatementKind::Commit);
    REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Idle);
  }
  SECTION("during a statement")
  {
    fixture.SendStatement(1, StatementKind::Read, "item");
    fixture.mCore.OnConnectionFailed(connection, fixture.mNow);
    REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Failed);
  }
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Aborted);
  REQUIRE(fixture.SentCount(CommandKind::Write) == 1);
}

TEST_CASE("a lost commit of a transaction that wrote has an unknown outcome")
{
  CoreFixture fixture;
  const ConnectionKey connection = OpenWritten(fixture);
  fixture.SendStatement(1, StatementKind::Commit);
  fixture.mCore.OnConnectionFailed(connection, fixture.mNow);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
  REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Idle);
}

TEST_CASE("a commit refused by the member is answered as aborted")
{
  CoreFixture fixture;
  const ConnectionKey connection = OpenWritten(fixture);
  fixture.SendStatement(1, StatementKind::Commit);
  fixture.ReplyError(connection, AnswerCode::ReadOnly, TransactionState::Failed);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Aborted);
}

// Guards against failed statements whose route and cause cannot be determined from the
// log.
TEST_CASE("the log explains refused, timed out and unknown statements")
{
  CoreFixture fixture;
  SECTION("refused on arrival")
  {
    for (SessionKey session = 1; session <= 60; session++) {
      fixture.OpenSession(session, "main");
      fixture.SendStatement(session, StatementKind::Write, "item data");
    }
    REQUIRE(fixture.LastAnswer(60).mError == AnswerCode::Busy);
    const auto lines = fixture.LogLinesOf(60);
    REQUIRE(lines.size() == 1);
    REQUIRE(lines[0].starts_with("statement_failed"));
    REQUIRE(lines[0].find("attempts=0") != std::string::npos);
    REQUIRE(lines[0].find("outcome=overloaded") != std::string::npos);
  }
  SECTION("timed out")
  {
    fixture.SampleByWrite({ 1, 10 });
    fixture.OpenSession(1, "views");
    fixture.SendStatement(1, StatementKind::Read, "item");
    // None of the members answers.
    for (int step = 0; step < 20; step++) {
      fixture.Advance(50ms);
    }
    REQUIRE(fixture.LastAnswer(1).mError);
    const auto lines = fixture.LogLinesOf(2);
    REQUIRE(lines.front().starts_with("statement_routed"));
    REQUIRE(lines.front().find("proof=1/10") != std::string::npos);
    REQUIRE(lines[1].starts_with("answer_lost"));
    REQUIRE(lines.back().starts_with("statement_failed"));
  }
  SECTION("unknown")
  {
    fixture.OpenSession(1, "main");
    fixture.SendStatement(1, StatementKind::Write, "item data");
    fixture.mCore.OnConnectionFailed(fixture.LastSent(CommandKind::Write).mConnection,
                                     fixture.mNow);
    REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
    const auto lines = fixture.LogLinesOf(1);
    REQUIRE(lines.size() == 3);
    REQUIRE(lines[0].find("member=p") != std::string::npos);
    REQUIRE(lines[1].find("reason=connection lost") != std::string::npos);
    REQUIRE(lines[2].starts_with("statement_failed"));
  }
}

TEST_CASE("a client that disconnects during its write leaves the connection usable")
{
  CoreFixture fixture;
  fixture.OpenSession(1, "main");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  const ConnectionKey connection = fixture.LastSent(CommandKind::Write).mConnection;
  fixture.mCore.OnSessionClosed(1, fixture.mNow);
  fixture.ReplySuccess(connection, "sig");
  REQUIRE(fixture.AnswerCount(1) == 0);
  fixture.OpenSession(2, "main");
  fixture.SendStatement(2, StatementKind::Write, "item data");
  REQUIRE(fixture.SentCount(CommandKind::Write) == 2);
}
