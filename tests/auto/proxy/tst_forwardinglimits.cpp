// Unfinished messages between instances: which of them a home refuses, and what the entry
// instance and its client learn of it.

#include "corefixture.h"
#include "eventloop/eventloop.h"
#include "forwarding/forwardclient.h"
#include "forwarding/forwardserver.h"

#include <Poco/Exception.h>

#include <catch2/catch.hpp>

#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

// More than one turn of the loop sends or receives.
constexpr std::size_t kLongStatementBytes = 1U << 20U;

/** A home and an entry instance over loopback. */
struct TwoInstances
{
  TwoInstances()
    : mHome(mStreams, ServerHooks())
    , mEntry(mStreams, ClientHooks())
  {
    // Another process may use the port, also as the source of a connection.
    for (int attempt = 0, port = 41000 + getpid() % 19000; mAddress.empty(); port++) {
      try {
        mAddress = "127.0.0.1:" + std::to_string(port);
        mHome.Listen(mAddress);
      } catch (const Poco::Exception&) {
        mAddress.clear();
        REQUIRE(++attempt < 100);
      }
    }
  }

  ForwardServerHooks ServerHooks()
  {
    ForwardServerHooks hooks;
    hooks.mStatementReceived = [this](SessionKey, ForwardedStatement aStatement) {
      mReceived.push_back(aStatement.mSession);
    };
    hooks.mSessionEnded = [](SessionKey) {};
    hooks.mRelayRequested = [](RelayKey, const RelayRequest&) {};
    hooks.mRelayCancelled = [](RelayKey) {};
    hooks.mIsLeaving = [] { return false; };
    return hooks;
  }

  ForwardClientHooks ClientHooks()
  {
    ForwardClientHooks hooks;
    hooks.mAddressOf = [this](const std::string& aInstance) {
      return aInstance == "unlisted" ? std::nullopt : std::optional(mAddress);
    };
    hooks.mAnswered = [](OperationKey, HomeAnswer, const std::string&) {};
    hooks.mFailed = [this](OperationKey, bool, const std::string&) { mFailed++; };
    hooks.mRefused = [this](OperationKey aKey) { mRefused.push_back(aKey); };
    hooks.mPeerResponded = [](const std::string&) {};
    hooks.mPeerDisconnected = [](const std::string&) {};
    return hooks;
  }

  void Forward(OperationKey aKey, std::size_t aBytes)
  {
    ForwardedStatement statement;
    statement.mRoute = CoreFixture::MakeRoute("ledger", Consistency::ReadYourWrites);
    statement.mStatement.mKind = StatementKind::Write;
    statement.mStatement.mArguments = "item " + std::string(aBytes, 'x');
    statement.mSession = aKey;
    mEntry.Forward("home", aKey, statement, EventLoop::Now());
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    for (int turns = 0; turns < 2000 && !aCondition(); turns++) {
      mEntry.Flush(EventLoop::Now());
      mHome.Flush();
      mStreams.Flush();
      mLoop.RunOnce(EventLoop::Now() + 5ms);
    }
    return aCondition();
  }

  EventLoop mLoop;
  StreamTable mStreams{ mLoop, 50 };
  std::string mAddress;
  std::vector<SessionKey> mReceived;
  std::vector<OperationKey> mRefused;
  std::size_t mFailed = 0;
  ForwardServer mHome;
  ForwardClient mEntry;
};

} // namespace

// Guards against a home that holds unfinished messages without limit, and against a
// refusal that also ends the other messages of the link.
TEST_CASE("a home refuses an unfinished message and receives the others of its link")
{
  TwoInstances instances;
  instances.Forward(1, 100);
  REQUIRE(instances.RunUntil([&] { return instances.mReceived.size() == 1; }));
  REQUIRE(instances.mHome.RefuseLargestUnfinished() == 0);

  instances.Forward(2, kLongStatementBytes);
  REQUIRE(
    instances.RunUntil([&] { return instances.mHome.LargestUnfinishedBytes() > 0; }));
  REQUIRE(instances.mHome.RefuseLargestUnfinished() > 0);
  REQUIRE(instances.mHome.LargestUnfinishedBytes() == 0);
  instances.Forward(3, kLongStatementBytes);
  REQUIRE(instances.RunUntil([&] { return instances.mReceived.size() == 2; }));
  REQUIRE(instances.mReceived == std::vector<SessionKey>{ 1, 3 });
  REQUIRE(instances.mRefused == std::vector<OperationKey>{ 2 });
  REQUIRE(instances.mFailed == 0);
}

// Guards against a statement that runs at two homes because its failure at one is
// reported after it was forwarded to the other.
TEST_CASE("a statement that couldn't be sent and was cancelled doesn't fail")
{
  TwoInstances instances;
  instances.mEntry.Forward("unlisted", 1, {}, EventLoop::Now());
  instances.mEntry.Forward("unlisted", 2, {}, EventLoop::Now());
  instances.mEntry.Cancel(1);
  instances.mEntry.Flush(EventLoop::Now());
  REQUIRE(instances.mFailed == 1);
}

// Guards against a message that is never finished and stays in memory for ever.
TEST_CASE("a home refuses a message that stays unfinished for the timeout")
{
  TwoInstances instances;
  instances.Forward(1, kLongStatementBytes);
  REQUIRE(
    instances.RunUntil([&] { return instances.mHome.LargestUnfinishedBytes() > 0; }));
  const TimePoint now = EventLoop::Now();
  REQUIRE(instances.mHome.RefuseOverdue(10s, now) == 0);
  REQUIRE(instances.mHome.RefuseOverdue(10s, now + 9s) == 0);
  REQUIRE(instances.mHome.RefuseOverdue(10s, now + 11s) == 1);
  REQUIRE(instances.RunUntil([&] { return !instances.mRefused.empty(); }));
  REQUIRE(instances.mReceived.empty());
}

// Guards against a statement that runs although its client was told that it has not, and
// against one that fails although another home can run it.
TEST_CASE("a refused statement outside a transaction is sent to another home")
{
  CoreFixture fixture;
  fixture.mIsHome = false;
  fixture.OpenSession(1, "ledger");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  fixture.mCore.OnForwardRefused(fixture.mForwarded.at(0).first, fixture.mNow);
  REQUIRE(fixture.mForwarded.size() == 2);
  fixture.mCore.OnForwardRefused(fixture.mForwarded.at(1).first, fixture.mNow);
  REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Busy);
  REQUIRE(fixture.mEndedTransactions == 0);
}

// Guards against a transaction that stays open at its home, and may be committed, after
// its client was told that it is aborted.
TEST_CASE("a refused statement of a transaction aborts it at its home")
{
  for (const StatementKind kind : { StatementKind::Write, StatementKind::Commit }) {
    CoreFixture fixture;
    fixture.mIsHome = false;
    fixture.OpenSession(1, "ledger");
    fixture.SendStatement(1, StatementKind::Begin);
    fixture.SendStatement(1, StatementKind::Write, "item data");
    ClientAnswer first;
    first.mPosition = LogPosition{ 1, 40 };
    first.mState = TransactionState::Open;
    fixture.mCore.OnForwardAnswer(fixture.mForwarded.at(0).first, first, fixture.mNow);
    fixture.SendStatement(1, kind, kind == StatementKind::Commit ? "" : "item data");
    fixture.mCore.OnForwardRefused(fixture.mForwarded.at(1).first, fixture.mNow);
    REQUIRE(fixture.mForwarded.size() == 2);
    REQUIRE(fixture.LastAnswer(1).mError == AnswerCode::Aborted);
    REQUIRE(fixture.mEndedTransactions == 1);
  }
}
