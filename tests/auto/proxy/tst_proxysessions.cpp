// Sessions: values and prepared names on shared connections, transactions, idle limits.

#include "corefixture.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

TEST_CASE("a session of an unknown database is refused")
{
  CoreFixture fixture;
  fixture.Start(1, "nobody");
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::UnknownDatabase);
  REQUIRE(fixture.mClosedSessions.size() == 1);
}

TEST_CASE("an older configuration never replaces a newer one")
{
  CoreFixture fixture;
  ProxyConfiguration newer = CoreFixture::Configuration(5);
  newer.mRoutes.erase("views");
  fixture.mCore.OnConfiguration(newer, fixture.mNow);
  fixture.mCore.OnConfiguration(CoreFixture::Configuration(4), fixture.mNow);
  REQUIRE(fixture.mCore.Configuration().mVersion == 5);
  fixture.Start(1, "views");
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::UnknownDatabase);
}

TEST_CASE("a route that is removed is refused from the next transaction on")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  ProxyConfiguration next = CoreFixture::Configuration(2);
  next.mRoutes.erase("main");
  fixture.mCore.OnConfiguration(next, fixture.mNow);
  fixture.Say(1, StatementKind::Write, "item data");
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::UnknownDatabase);
  REQUIRE(fixture.CountOf(CommandKind::Write) == 0);
}

// A connection that another session has used must not run a statement with its values.
TEST_CASE("session values are set, and foreign ones cleared, before a statement")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Set, "red", "colour");
  REQUIRE(fixture.LastAnswer(1).mText == kUnsigned);
  fixture.Say(1, StatementKind::Write, "item data");
  REQUIRE(fixture.CountOf(CommandKind::Reset) == 0);
  const auto set = fixture.Last(CommandKind::Set);
  REQUIRE(set.mCommand.mName == "colour");
  REQUIRE(set.mCommand.mArguments == "red");
  fixture.Succeed(set.mConnection, kUnsigned);
  fixture.Succeed(set.mConnection, "sig");

  fixture.Start(2, "main");
  fixture.mSent.clear();
  fixture.Say(2, StatementKind::Write, "item data");
  REQUIRE(fixture.mSent.at(0).mCommand.mKind == CommandKind::Reset);
  REQUIRE(fixture.mSent.at(1).mCommand.mKind == CommandKind::Write);
}

TEST_CASE("a value that can't be set ends the attempt and the connection")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Set, "red", "colour");
  fixture.Say(1, StatementKind::Write, "item data");
  const ConnectionKey connection = fixture.Last(CommandKind::Set).mConnection;
  fixture.Refuse(connection, AnswerCode::Busy);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
  REQUIRE(std::count(fixture.mClosedConnections.begin(),
                     fixture.mClosedConnections.end(),
                     connection) == 1);
}

// Two clients use one name for different shapes.
TEST_CASE("prepared names of different clients don't collide")
{
  CoreFixture fixture;
  std::vector<std::string> names;
  for (const SessionKey session : { 1, 2 }) {
    fixture.Start(session, "main");
    Statement prepare;
    prepare.mId = "p" + std::to_string(session);
    prepare.mKind = StatementKind::Prepare;
    prepare.mName = "s1";
    prepare.mPreparedKind = PreparedKind::Write;
    prepare.mArguments = "shape" + std::to_string(session);
    fixture.mCore.OnStatement(session, prepare, fixture.mNow);
    fixture.Say(session, StatementKind::Execute, "item data", "s1");
    const auto prepared = fixture.Last(CommandKind::Prepare);
    REQUIRE(prepared.mCommand.mArguments == prepare.mArguments);
    const auto executed = fixture.Last(CommandKind::Execute);
    REQUIRE(executed.mCommand.mName == prepared.mCommand.mName);
    names.push_back(executed.mCommand.mName);
    fixture.Succeed(executed.mConnection, kUnsigned);
    fixture.Succeed(executed.mConnection, "sig");
  }
  REQUIRE(names[0] != names[1]);
}

TEST_CASE("a prepared statement that the session doesn't have is refused")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Execute, "item", "missing");
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::UnknownPrepared);
  REQUIRE(fixture.mSent.empty());
}

TEST_CASE("a transaction stays on one connection and ends with its commit")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Begin);
  REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Open);
  REQUIRE(fixture.mSent.empty());
  fixture.Say(1, StatementKind::Write, "item data");
  const auto begin = fixture.Last(CommandKind::Begin);
  REQUIRE(fixture.MemberOf(begin) == "p");
  // The statement waits for the answer to BEGIN: outside a transaction it must not run.
  REQUIRE(fixture.CountOf(CommandKind::Write) == 0);
  fixture.Succeed(begin.mConnection, kUnsigned, TransactionState::Open);
  REQUIRE(fixture.Last(CommandKind::Write).mConnection == begin.mConnection);
  fixture.Succeed(begin.mConnection, "sig", TransactionState::Open);
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.Last(CommandKind::Read).mConnection == begin.mConnection);
  fixture.Succeed(begin.mConnection, "sig", TransactionState::Open);
  fixture.Say(1, StatementKind::Commit);
  fixture.Succeed(begin.mConnection, "sig");
  REQUIRE_FALSE(fixture.LastAnswer(1).mError);
  REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Idle);
}

TEST_CASE("a client that leaves in a transaction has it rolled back")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Begin);
  fixture.Say(1, StatementKind::Write, "item data");
  const ConnectionKey connection = fixture.Last(CommandKind::Begin).mConnection;
  fixture.Succeed(connection, kUnsigned, TransactionState::Open);
  fixture.Succeed(connection, "sig", TransactionState::Open);
  fixture.mCore.OnSessionClosed(1, fixture.mNow);
  REQUIRE(fixture.Last(CommandKind::Rollback).mConnection == connection);
}

TEST_CASE("a transaction that rests too long is rolled back and its client told")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Begin);
  fixture.Say(1, StatementKind::Write, "item data");
  const ConnectionKey connection = fixture.Last(CommandKind::Begin).mConnection;
  fixture.Succeed(connection, kUnsigned, TransactionState::Open);
  fixture.Succeed(connection, "sig", TransactionState::Open);
  fixture.Advance(3200ms);
  REQUIRE(fixture.Last(CommandKind::Rollback).mConnection == connection);
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Aborted);
  fixture.Say(1, StatementKind::Rollback);
  REQUIRE_FALSE(fixture.LastAnswer(1).mError);
  REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Idle);
}

TEST_CASE("in a failed transaction only its end is accepted")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Begin);
  fixture.Say(1, StatementKind::Begin);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::BadMessage);
  REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Failed);
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::BadMessage);
  fixture.Say(1, StatementKind::Commit);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Aborted);
  REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Idle);
}

TEST_CASE(
  "a stop closes resting sessions after the notice, transactions by half the grace")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Start(2, "main");
  fixture.Say(2, StatementKind::Begin);
  fixture.mCore.StartDrain(fixture.mNow);
  fixture.Advance(1s);
  REQUIRE(fixture.mClosedSessions.empty());
  fixture.Advance(1300ms);
  REQUIRE(fixture.mClosedSessions == std::vector<SessionKey>{ 1 });
  REQUIRE_FALSE(fixture.mCore.IsDrained());
  fixture.Advance(800ms);
  REQUIRE(fixture.mClosedSessions == std::vector<SessionKey>{ 1, 2 });
  REQUIRE(fixture.mCore.IsDrained());
}

// Guards against a planned stop that cuts accepted requests off: each gets the answer
// that is true of it, before its session ends.
TEST_CASE("what still waits or runs at the end of the grace is answered")
{
  struct Case
  {
    const char* mName;
    StatementKind mKind;
    bool mIsSent;
    bool mIsHome;
    AnswerCode mCode;
  };
  const Case cases[] = {
    { "waiting write", StatementKind::Write, false, true, AnswerCode::Busy },
    { "running write", StatementKind::Write, true, true, AnswerCode::Unknown },
    { "running read", StatementKind::Read, true, true, AnswerCode::Timeout },
    { "forwarded write", StatementKind::Write, true, false, AnswerCode::Unknown },
    { "forwarded read", StatementKind::Read, true, false, AnswerCode::Timeout },
  };
  for (const Case& row : cases) {
    INFO(row.mName);
    CoreFixture fixture;
    fixture.mIsHome = row.mIsHome;
    if (!row.mIsSent) {
      fixture.mPermits = [](std::string_view, TimePoint) { return false; };
    }
    ProxyConfiguration configuration = CoreFixture::Configuration(2);
    for (auto& [name, route] : configuration.mRoutes) {
      route.mStatementTimeout = 20s;
      route.mLatencyObjective = 20s;
    }
    fixture.mCore.OnConfiguration(configuration, fixture.mNow);
    fixture.mCore.StartDrain(fixture.mNow);
    // Late enough that no silence of the member is noticed before the end.
    for (int turn = 0; turn < 51; turn++) {
      fixture.Advance(100ms);
    }
    fixture.Start(1, "main");
    fixture.Say(1, row.mKind, "item data");
    if (row.mKind == StatementKind::Read && row.mIsHome) {
      fixture.Succeed(
        fixture.Last(CommandKind::Begin).mConnection, kUnsigned, TransactionState::Open);
    }
    fixture.Advance(100ms);
    REQUIRE(fixture.AnswerCount(1) == 0);
    fixture.Advance(100ms);
    REQUIRE(fixture.AnswerCount(1) == 1);
    REQUIRE(fixture.LastAnswer(1).mError == row.mCode);
    REQUIRE(fixture.mClosedSessions == std::vector<SessionKey>{ 1 });
    REQUIRE(fixture.mCore.IsDrained());
  }
}

TEST_CASE(
  "a commit that runs at the end of the grace is unknown, a statement before it not")
{
  for (const bool isCommit : { false, true }) {
    INFO(isCommit);
    CoreFixture fixture;
    ProxyConfiguration configuration = CoreFixture::Configuration(2);
    configuration.mRoutes["main"].mStatementTimeout = 20s;
    configuration.mRoutes["main"].mLatencyObjective = 20s;
    fixture.mCore.OnConfiguration(configuration, fixture.mNow);
    fixture.Start(1, "main");
    fixture.Say(1, StatementKind::Begin);
    fixture.Say(1, StatementKind::Write, "item data");
    const ConnectionKey connection = fixture.Last(CommandKind::Begin).mConnection;
    fixture.Succeed(connection, kUnsigned, TransactionState::Open);
    if (isCommit) {
      fixture.Succeed(connection, "signature", TransactionState::Open);
      fixture.Say(1, StatementKind::Commit);
    }
    const std::size_t answered = fixture.AnswerCount(1);
    fixture.mCore.StartDrain(fixture.mNow);
    for (int turn = 0; turn < 54; turn++) {
      fixture.Advance(100ms);
    }
    REQUIRE(fixture.AnswerCount(1) == answered + 1);
    REQUIRE(fixture.LastAnswer(1).mError ==
            (isCommit ? AnswerCode::Unknown : AnswerCode::Aborted));
  }
}

// Guards against clients that stay with an instance in a partitioned zone: they reach a
// better one only by opening a new connection.
TEST_CASE("a cut-off instance closes sessions at rest after the balancer has noticed")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Start(2, "main");
  fixture.Say(2, StatementKind::Begin);
  fixture.mCore.SetCutOff(true, fixture.mNow);
  fixture.Advance(1s);
  REQUIRE(fixture.mClosedSessions.empty());
  for (int turn = 0; turn < 15; turn++) {
    fixture.Advance(100ms);
  }
  // The open transaction is left to its client.
  REQUIRE(fixture.mClosedSessions == std::vector<SessionKey>{ 1 });
  fixture.Say(2, StatementKind::Rollback);
  fixture.Advance(100ms);
  REQUIRE(fixture.mClosedSessions == std::vector<SessionKey>{ 1, 2 });
  // A client that comes here all the same finds no better instance.
  fixture.Start(3, "main");
  fixture.Advance(100ms);
  fixture.Advance(5s);
  REQUIRE(fixture.mClosedSessions.size() == 2);
}

TEST_CASE("sessions stay open when a partition ends before the balancer has noticed")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.mCore.SetCutOff(true, fixture.mNow);
  fixture.Advance(1s);
  fixture.mCore.SetCutOff(false, fixture.mNow);
  fixture.Advance(5s);
  REQUIRE(fixture.mClosedSessions.empty());
}

// Guards against clients that use up their attempts while an instance starts.
TEST_CASE("a client that comes before the configuration waits for it, but not for long")
{
  CoreFixture fixture(CoreFixture::Begins::Unconfigured);
  fixture.Start(1, "main");
  fixture.Start(2, "nobody");
  fixture.Start(3, "main");
  fixture.mCore.OnSessionClosed(3, fixture.mNow);
  fixture.Advance(900ms);
  REQUIRE(fixture.AnswerCount(1) == 0);
  REQUIRE(fixture.mWelcomed.empty());
  fixture.mCore.OnConfiguration(CoreFixture::Configuration(1), fixture.mNow);
  REQUIRE(fixture.mWelcomed == std::vector<SessionKey>{ 1 });
  REQUIRE(fixture.LastAnswer(2).mError == AnswerCode::UnknownDatabase);

  CoreFixture late(CoreFixture::Begins::Unconfigured);
  late.Start(1, "main");
  late.Advance(1s);
  REQUIRE(late.LastAnswer(1).mError == AnswerCode::Busy);
  REQUIRE(late.mClosedSessions == std::vector<SessionKey>{ 1 });
}
