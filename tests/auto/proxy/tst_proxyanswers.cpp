// What a client is told, by what became of its statement at the member.

#include "corefixture.h"
#include "proxy/answerpolicy.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

TEST_CASE("the answer table has one row for each code, in order")
{
  std::size_t index = 0;
  for (const AnswerRow& row : AnswerTable()) {
    REQUIRE(static_cast<std::size_t>(row.mCode) == index++);
    REQUIRE_FALSE(row.mName.empty());
  }
  REQUIRE(index == static_cast<std::size_t>(AnswerCode::Unknown) + 1);
}

// A write that may have run must not be sent a second time.
TEST_CASE("writes are repeated only after codes that promise no run")
{
  for (const AnswerRow& row : AnswerTable()) {
    INFO(row.mName);
    REQUIRE((row.mAfterWrite != AnswerStep::RetryElsewhere || row.mNotRun));
  }
}

TEST_CASE("a lost write is unknown and is not sent again")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Write, "item data");
  const ConnectionKey connection = fixture.Last(CommandKind::Write).mConnection;
  SECTION("the connection ends")
  {
    fixture.mCore.OnConnectionFailed(connection, fixture.mNow);
  }
  SECTION("no answer comes")
  {
    fixture.Advance(900ms);
  }
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
  REQUIRE(fixture.CountOf(CommandKind::Write) == 1);
}

TEST_CASE("a refused write is sent again")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Write, "item data");
  fixture.Refuse(fixture.Last(CommandKind::Write).mConnection, AnswerCode::Busy);
  REQUIRE(fixture.AnswerCount(1) == 0);
  fixture.Advance(20ms);
  REQUIRE(fixture.CountOf(CommandKind::Write) == 2);
}

TEST_CASE("a lost read goes to another member")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  fixture.Start(1, "views");
  fixture.Say(1, StatementKind::Read, "item");
  const auto first = fixture.Last(CommandKind::Read);
  fixture.mCore.OnConnectionFailed(first.mConnection, fixture.mNow);
  const auto second = fixture.Last(CommandKind::Read);
  REQUIRE(second.mConnection != first.mConnection);
  fixture.Succeed(second.mConnection, "sig");
  REQUIRE_FALSE(fixture.LastAnswer(1).mError);
}

// The answer of a pipelined command may be lost while a later one arrives.
TEST_CASE("a success without a member's signature is never passed on")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Write, "item data");
  fixture.Succeed(fixture.Last(CommandKind::Write).mConnection, kUnsigned);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
}

namespace {

/** Opens a transaction that has written; @return its connection. */
ConnectionKey
OpenWritten(CoreFixture& aFixture)
{
  aFixture.Start(1, "main");
  aFixture.Say(1, StatementKind::Begin);
  aFixture.Say(1, StatementKind::Write, "item data");
  const ConnectionKey connection = aFixture.Last(CommandKind::Begin).mConnection;
  aFixture.Succeed(connection, kUnsigned, TransactionState::Open);
  aFixture.Succeed(connection, "sig", TransactionState::Open);
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
    fixture.Say(1, StatementKind::Commit);
    REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Idle);
  }
  SECTION("during a statement")
  {
    fixture.Say(1, StatementKind::Read, "item");
    fixture.mCore.OnConnectionFailed(connection, fixture.mNow);
    REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Failed);
  }
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Aborted);
  REQUIRE(fixture.CountOf(CommandKind::Write) == 1);
}

TEST_CASE("a lost commit of a transaction that wrote is unknown")
{
  CoreFixture fixture;
  const ConnectionKey connection = OpenWritten(fixture);
  fixture.Say(1, StatementKind::Commit);
  fixture.mCore.OnConnectionFailed(connection, fixture.mNow);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
  REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Idle);
}

TEST_CASE("a commit that the member refuses is aborted")
{
  CoreFixture fixture;
  const ConnectionKey connection = OpenWritten(fixture);
  fixture.Say(1, StatementKind::Commit);
  fixture.Refuse(connection, AnswerCode::ReadOnly, TransactionState::Failed);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Aborted);
}

// The log alone must tell where a request went and what ended it.
TEST_CASE("refused, timed out and unknown requests are explained by the log")
{
  CoreFixture fixture;
  SECTION("refused on arrival")
  {
    for (SessionKey session = 1; session <= 60; session++) {
      fixture.Start(session, "main");
      fixture.Say(session, StatementKind::Write, "item data");
    }
    REQUIRE(fixture.LastAnswer(60).mError == AnswerCode::Busy);
    const auto lines = fixture.LinesOf(60);
    REQUIRE(lines.size() == 1);
    REQUIRE(lines[0].starts_with("statement_failed"));
    REQUIRE(lines[0].find("attempts=0") != std::string::npos);
    REQUIRE(lines[0].find("outcome=overloaded") != std::string::npos);
  }
  SECTION("timed out")
  {
    fixture.SampleByWrite({ 1, 10 });
    fixture.Start(1, "views");
    fixture.Say(1, StatementKind::Read, "item");
    // Every member that is asked stays silent.
    for (int step = 0; step < 20; step++) {
      fixture.Advance(50ms);
    }
    REQUIRE(fixture.LastAnswer(1).mError);
    const auto lines = fixture.LinesOf(2);
    REQUIRE(lines.front().starts_with("statement_routed"));
    REQUIRE(lines.front().find("proof=1/10") != std::string::npos);
    REQUIRE(lines[1].starts_with("answer_lost"));
    REQUIRE(lines.back().starts_with("statement_failed"));
  }
  SECTION("unknown")
  {
    fixture.Start(1, "main");
    fixture.Say(1, StatementKind::Write, "item data");
    fixture.mCore.OnConnectionFailed(fixture.Last(CommandKind::Write).mConnection,
                                     fixture.mNow);
    REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
    const auto lines = fixture.LinesOf(1);
    REQUIRE(lines.size() == 3);
    REQUIRE(lines[0].find("member=p") != std::string::npos);
    REQUIRE(lines[1].find("reason=connection lost") != std::string::npos);
    REQUIRE(lines[2].starts_with("statement_failed"));
  }
}

TEST_CASE("a client that leaves during its write doesn't break the connection's state")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Write, "item data");
  const ConnectionKey connection = fixture.Last(CommandKind::Write).mConnection;
  fixture.mCore.OnSessionClosed(1, fixture.mNow);
  fixture.Succeed(connection, "sig");
  REQUIRE(fixture.AnswerCount(1) == 0);
  fixture.Start(2, "main");
  fixture.Say(2, StatementKind::Write, "item data");
  REQUIRE(fixture.CountOf(CommandKind::Write) == 2);
}
