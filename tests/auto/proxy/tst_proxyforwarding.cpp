// Tests the forwarding of statements to a home instance of the group and the handling of
// lost homes.

#include "corefixture.h"
#include "eventloop/eventloop.h"
#include "forwarding/capacitycodec.h"
#include "forwarding/forwardclient.h"
#include "forwarding/forwardcodec.h"
#include "forwarding/forwardserver.h"

#include <catch2/catch.hpp>

#include <Poco/Exception.h>

#include <unistd.h>

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

TEST_CASE("an instance that is no home forwards statements and keeps the session's state")
{
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.OpenSession(1, "ledger");
  fixture.SendStatement(1, StatementKind::Set, "red", "colour");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  REQUIRE(fixture.mForwarded.size() == 1);
  REQUIRE(fixture.mForwarded[0].second.mValues.at("colour") == "red");
  fixture.mCore.OnForwardAnswer(
    fixture.mForwarded[0].first, Success({ 1, 40 }), fixture.mNow);
  REQUIRE_FALSE(fixture.LastAnswer(1).mError);
  fixture.SendStatement(1, StatementKind::Read, "item");
  REQUIRE(fixture.mForwarded[1].second.mLastCommit == LogPosition{ 1, 40 });
}

TEST_CASE("a statement is retried after the loss of a home only if repeating it is safe")
{
  struct Case
  {
    StatementKind mKind;
    bool mWasSent;
    /** Expected error code; empty when the statement is forwarded to another home. */
    std::optional<AnswerCode> mAnswer;
  };
  const auto row = GENERATE(Case{ StatementKind::Read, true, std::nullopt },
                            Case{ StatementKind::Read, false, std::nullopt },
                            Case{ StatementKind::Write, false, std::nullopt },
                            Case{ StatementKind::Write, true, AnswerCode::Unknown });
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.OpenSession(1, "ledger");
  fixture.SendStatement(1, row.mKind, "item data");
  fixture.mCore.OnForwardFailed(fixture.mForwarded[0].first, row.mWasSent, fixture.mNow);
  if (row.mAnswer) {
    REQUIRE(fixture.LastAnswer(1).mError == row.mAnswer);
    REQUIRE(fixture.mForwarded.size() == 1);
  } else {
    REQUIRE(fixture.AnswerCount(1) == 0);
    REQUIRE(fixture.mForwarded.size() == 2);
  }
}

TEST_CASE("a transaction stays at one home and is aborted when the home is lost")
{
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.OpenSession(1, "ledger");
  fixture.SendStatement(1, StatementKind::Begin);
  fixture.SendStatement(1, StatementKind::Write, "item data");
  MemberReply first = Success({ 1, 40 });
  first.mState = TransactionState::Open;
  fixture.mCore.OnForwardAnswer(fixture.mForwarded[0].first, first, fixture.mNow);
  fixture.SendStatement(1, StatementKind::Read, "item");
  REQUIRE(fixture.mForwarded[1].second.mPurpose == OperationPurpose::TransactionNext);
  fixture.mCore.OnForwardFailed(fixture.mForwarded[1].first, true, fixture.mNow);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Aborted);
}

// Guards against a home that checks the lease of another group than the one whose member
// commits.
TEST_CASE("a forwarded transaction keeps its route although the route is removed")
{
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.OpenSession(1, "ledger");
  fixture.SendStatement(1, StatementKind::Begin);
  fixture.SendStatement(1, StatementKind::Write, "item data");
  MemberReply first = Success({ 1, 40 });
  first.mState = TransactionState::Open;
  fixture.mCore.OnForwardAnswer(fixture.mForwarded[0].first, first, fixture.mNow);
  ProxyConfiguration configuration = CoreFixture::Configuration(2);
  configuration.mRoutes.erase("ledger");
  fixture.mCore.OnConfiguration(configuration, fixture.mNow);
  fixture.SendStatement(1, StatementKind::Commit);
  REQUIRE(fixture.mForwarded.size() == 2);
  const Route& route = fixture.mForwarded[1].second.mRoute;
  REQUIRE(route.mGroup == "group");
  REQUIRE(route.mDatabase == "ledger");
  REQUIRE(route.mConsistency == Consistency::ReadYourWrites);
  REQUIRE(route.mStatementTimeout == 800ms);
}

TEST_CASE("a home checks the lease of a transaction's first group for each statement")
{
  CoreFixture fixture;
  constexpr SessionKey kRemote = 1ULL << 62U;
  ForwardedStatement statement;
  statement.mRoute = CoreFixture::MakeRoute("main", Consistency::Primary);
  statement.mStatement.mId = "id";
  statement.mStatement.mKind = StatementKind::Write;
  statement.mStatement.mArguments = "item data";
  statement.mPurpose = OperationPurpose::TransactionFirst;
  statement.mMayWrite = true;
  statement.mWrites = true;
  fixture.mCore.OnForwardedStatement(kRemote, statement, fixture.mNow);
  const ConnectionKey connection = fixture.LastSent(CommandKind::Begin).mConnection;
  fixture.ReplySuccess(connection, kUnsigned, TransactionState::Open);
  fixture.ReplySuccess(connection, "sig", TransactionState::Open);
  // An entry instance of an earlier version sends an empty route after a removal.
  statement.mRoute = Route();
  statement.mRoute.mStatementTimeout = 1s;
  statement.mStatement.mKind = StatementKind::Commit;
  statement.mPurpose = OperationPurpose::TransactionNext;
  statement.mWrites = false;
  fixture.mCore.OnForwardedStatement(kRemote, statement, fixture.mNow);
  fixture.mHoldsLease = [](std::string_view, TimePoint) { return false; };
  fixture.ReplySuccess(connection, "sig");
  REQUIRE(fixture.LastAnswer(kRemote).mError == AnswerCode::Unknown);
}

TEST_CASE("a commit lost at a home has an unknown outcome after a write")
{
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.OpenSession(1, "ledger");
  fixture.SendStatement(1, StatementKind::Begin);
  fixture.SendStatement(1, StatementKind::Write, "item data");
  MemberReply first = Success({ 1, 40 });
  first.mState = TransactionState::Open;
  fixture.mCore.OnForwardAnswer(fixture.mForwarded[0].first, first, fixture.mNow);
  fixture.SendStatement(1, StatementKind::Commit);
  fixture.mCore.OnForwardFailed(fixture.mForwarded[1].first, true, fixture.mNow);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Unknown);
}

TEST_CASE("a home runs a forwarded statement and then removes its session")
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
  fixture.mCore.OnForwardedStatement(kRemote, statement, fixture.mNow);
  fixture.ReplySuccess(fixture.LastSent(CommandKind::Write).mConnection, "sig");
  REQUIRE_FALSE(fixture.LastAnswer(kRemote).mError);
  fixture.mCore.StartDrain(fixture.mNow);
  REQUIRE(fixture.mCore.IsDrained());
}

TEST_CASE("a home that does not have the transaction answers that it is aborted")
{
  CoreFixture fixture;
  constexpr SessionKey kRemote = 1ULL << 62U;
  ForwardedStatement statement;
  statement.mRoute = CoreFixture::MakeRoute("ledger", Consistency::ReadYourWrites);
  statement.mStatement.mKind = StatementKind::Commit;
  statement.mPurpose = OperationPurpose::TransactionNext;
  statement.mMayWrite = true;
  fixture.mCore.OnForwardedStatement(kRemote, statement, fixture.mNow);
  REQUIRE(fixture.LastAnswer(kRemote).mError == AnswerCode::Aborted);
  REQUIRE(fixture.mSent.empty());
}

// Guards against a home that answers a transaction's first statement just after its entry
// instance has given the transaction up, and then runs the session's next statement
// inside that transaction.
TEST_CASE("a home rolls back a transaction that the entry instance has given up")
{
  CoreFixture fixture;
  constexpr SessionKey kRemote = 1ULL << 62U;
  ForwardedStatement first;
  first.mRoute = CoreFixture::MakeRoute("ledger", Consistency::ReadYourWrites);
  first.mStatement.mId = "first";
  first.mStatement.mKind = StatementKind::Write;
  first.mStatement.mArguments = "item data";
  first.mPurpose = OperationPurpose::TransactionFirst;
  first.mMayWrite = true;
  first.mWrites = true;
  fixture.mCore.OnForwardedStatement(kRemote, first, fixture.mNow);
  const ConnectionKey connection = fixture.LastSent(CommandKind::Begin).mConnection;
  MemberReply open = Success({ 1, 40 });
  open.mState = TransactionState::Open;
  open.mText = kUnsigned;
  fixture.mCore.OnReply(connection, open, fixture.mNow);
  open.mText = "sig";
  fixture.mCore.OnReply(connection, open, fixture.mNow);
  REQUIRE_FALSE(fixture.LastAnswer(kRemote).mError);

  ForwardedStatement single = first;
  single.mStatement.mId = "single";
  single.mPurpose = OperationPurpose::SingleWrite;
  fixture.mCore.OnForwardedStatement(kRemote, single, fixture.mNow);
  REQUIRE(fixture.LastSent(CommandKind::Rollback).mConnection == connection);
  // The connection is used again once it is outside the transaction.
  REQUIRE(fixture.LastSent(CommandKind::Write).mCommand.mId == "first");
  MemberReply rolledBack = Success({ 1, 40 });
  rolledBack.mText = kUnsigned;
  fixture.mCore.OnReply(connection, rolledBack, fixture.mNow);
  REQUIRE(fixture.LastSent(CommandKind::Write).mCommand.mId == "single");
}

TEST_CASE("an entry instance ends a transaction at its home after a timeout")
{
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.OpenSession(1, "ledger");
  fixture.SendStatement(1, StatementKind::Begin);
  fixture.SendStatement(1, StatementKind::Write, "item data");
  REQUIRE(fixture.mForwarded.size() == 1);
  REQUIRE(fixture.mEndedTransactions == 0);
  fixture.Advance(60s);
  REQUIRE(fixture.LastAnswer(1).mError);
  REQUIRE(fixture.mEndedTransactions == 1);
}

// Guards against a suspended home: its connections stay open, so statements would wait
// for their deadline while other homes are idle.
TEST_CASE("only reads outside transactions leave an unresponsive home")
{
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.OpenSession(1, "ledger");
  fixture.SendStatement(1, StatementKind::Read, "item");
  fixture.OpenSession(2, "ledger");
  fixture.SendStatement(2, StatementKind::Write, "item data");
  fixture.OpenSession(3, "ledger");
  fixture.SendStatement(3, StatementKind::Begin);
  fixture.SendStatement(3, StatementKind::Read, "item");
  REQUIRE(fixture.mForwarded.size() == 3);
  const std::string home = fixture.mForwardedHomes.at(0);
  fixture.mCore.OnHomeUnresponsive("another", fixture.mNow);
  REQUIRE(fixture.mForwarded.size() == 3);
  fixture.mCore.OnHomeUnresponsive(home, fixture.mNow);
  REQUIRE(fixture.mForwarded.size() == 4);
  REQUIRE(fixture.mForwarded[3].first == fixture.mForwarded[0].first);
  REQUIRE(fixture.AnswerCount(2) == 0);
  REQUIRE(fixture.AnswerCount(3) == 1);
}

TEST_CASE("forwarded statements and answers are unchanged by encoding and decoding")
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
  const auto decoded = DecodeForwardedStatement(EncodeForwardedStatement(statement));
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
  const auto reply = DecodeHomeAnswer(EncodeHomeAnswer(answer, true));
  REQUIRE(reply);
  REQUIRE(reply->mIsLeaving);
  REQUIRE(reply->mAnswer.mRows == answer.mRows);
  REQUIRE(reply->mAnswer.mError == AnswerCode::Lagging);
  REQUIRE_FALSE(DecodeForwardedStatement("\xff\xff\xff"));
  REQUIRE_FALSE(DecodeHomeAnswer("\xff\xff\xff"));
}

// Guards against a suspended home that resumes, and runs a read that another home has
// answered meanwhile, when the client may have changed its session values.
TEST_CASE("a statement that is received together with its cancellation isn't passed on")
{
  EventLoop loop;
  StreamTable streams(loop, 50);
  std::vector<SessionKey> received;
  std::vector<SessionKey> ended;
  ForwardServerHooks server;
  server.mStatementReceived = [&](SessionKey aSession, ForwardedStatement) {
    received.push_back(aSession);
  };
  server.mSessionEnded = [&](SessionKey aSession) { ended.push_back(aSession); };
  server.mRelayRequested = [](RelayKey, const RelayRequest&) {};
  server.mRelayCancelled = [](RelayKey) {};
  server.mIsLeaving = [] { return false; };
  ForwardServer home(streams, server);
  // Another process may use the port, also as the source of a connection.
  std::string address;
  for (int attempt = 0, port = 40000 + getpid() % 20000; address.empty(); port++) {
    try {
      address = "127.0.0.1:" + std::to_string(port);
      home.Listen(address);
    } catch (const Poco::Exception&) {
      address.clear();
      REQUIRE(++attempt < 100);
    }
  }
  bool isConnected = false;
  ForwardClientHooks client;
  client.mAddressOf = [&](const std::string&) { return std::optional(address); };
  client.mAnswered = [](OperationKey, HomeAnswer, const std::string&) {};
  client.mFailed = [](OperationKey, bool, const std::string&) {};
  client.mPeerResponded = [&](const std::string&) { isConnected = true; };
  client.mPeerDisconnected = [](const std::string&) {};
  ForwardClient entry(streams, client);
  const auto turn = [&] {
    entry.Flush(EventLoop::Now());
    home.Flush();
    streams.Flush();
    loop.RunOnce(EventLoop::Now() + 5ms);
  };
  ForwardedStatement statement;
  statement.mRoute = CoreFixture::MakeRoute("ledger", Consistency::ReadYourWrites);
  statement.mStatement.mKind = StatementKind::Read;

  // The cancelled statement is sent first; the second one shows that the home has read
  // both.
  statement.mSession = 1;
  entry.Forward("home", 1, statement, EventLoop::Now());
  for (int turns = 0; turns < 1000 && !isConnected; turns++) {
    turn();
  }
  for (int turns = 0; turns < 1000 && received.empty(); turns++) {
    turn();
  }
  REQUIRE(received.size() == 1);
  entry.Cancel(1);
  for (int turns = 0; turns < 1000 && ended.empty(); turns++) {
    turn();
  }
  REQUIRE(ended == received);

  statement.mSession = 2;
  entry.Forward("home", 2, statement, EventLoop::Now());
  entry.Flush(EventLoop::Now());
  entry.Cancel(2);
  statement.mSession = 3;
  entry.Forward("home", 3, statement, EventLoop::Now());
  for (int turns = 0; turns < 1000 && received.size() < 2; turns++) {
    turn();
  }
  REQUIRE(received.size() == 2);
  REQUIRE(ended.size() == 1);
}

// Guards against reports that are read differently, or accepted without a sender.
TEST_CASE("capacity reports are read as they were written")
{
  const proxy::CapacityReport report{ "home",
                                      "views",
                                      { { "r1", { 1.25, true, false } } } };
  const auto read = DecodeCapacityReport(EncodeCapacityReport(report));
  REQUIRE(read);
  CHECK(read->mHome == "home");
  CHECK(read->mGroup == "views");
  REQUIRE(read->mMembers.size() == 1);
  CHECK(read->mMembers.at("r1").mAverageInFlight == Approx(1.25));
  CHECK(read->mMembers.at("r1").mIsSlow);
  CHECK_FALSE(read->mMembers.at("r1").mIsUneven);
  CHECK_FALSE(DecodeCapacityReport(EncodeCapacityReport({})));
  CHECK_FALSE(DecodeCapacityReport("\xff"));
  // An instance that does not know the method reads any body as a statement.
  CHECK_FALSE(DecodeForwardedStatement(EncodeCapacityReport(report)));
}
