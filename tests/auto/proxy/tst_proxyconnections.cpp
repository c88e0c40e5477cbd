// Tests that ProxyCore gives back connections, and the slots of statements.

#include "corefixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <stdexcept>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

/** @return what the instance reports on its connections to the primary */
MemberExplanation
PrimaryState(CoreFixture& aFixture)
{
  for (const MemberExplanation& member :
       aFixture.mCore.Explain({ "main", true, {} }, aFixture.mNow).mMembers) {
    if (member.mEntry.mId == "p") {
      return member;
    }
  }
  throw std::runtime_error("the primary is not listed");
}

/** @return number of connections to the primary that were opened and not closed */
std::size_t
OpenToPrimary(const CoreFixture& aFixture)
{
  std::size_t count = 0;
  for (const auto& [key, member] : aFixture.mMemberOf) {
    const auto& closed = aFixture.mClosedConnections;
    const bool isClosed = std::find(closed.begin(), closed.end(), key) != closed.end();
    count += member == "p" && !isClosed ? 1 : 0;
  }
  return count;
}

/** Sends the first write of a transaction, and answers it.
 * @return connection of the transaction */
ConnectionKey
StartTransaction(CoreFixture& aFixture)
{
  aFixture.OpenSession(1, "main");
  aFixture.SendStatement(1, StatementKind::Begin);
  aFixture.SendStatement(1, StatementKind::Write, "item data");
  const ConnectionKey key = aFixture.LastSent(CommandKind::Begin).mConnection;
  aFixture.ReplySuccess(key, kUnsigned, TransactionState::Open);
  aFixture.ReplySuccess(key, "signature", TransactionState::Open);
  return key;
}

void
AnswerRollback(CoreFixture& aFixture)
{
  REQUIRE(aFixture.SentCount(CommandKind::Rollback) == 1);
  aFixture.ReplySuccess(aFixture.LastSent(CommandKind::Rollback).mConnection, kUnsigned);
}

/** Sends a write of session 1.
 * @return its connection */
ConnectionKey
SendWrite(CoreFixture& aFixture)
{
  aFixture.OpenSession(1, "main");
  aFixture.SendStatement(1, StatementKind::Write, "item data");
  return aFixture.LastSent(CommandKind::Write).mConnection;
}

// Each of these functions ends the use of a connection, reports late events of it, and
// returns its key.

ConnectionKey
LoseAnswer(CoreFixture& aFixture)
{
  const ConnectionKey key = SendWrite(aFixture);
  aFixture.Advance(900ms);
  REQUIRE(aFixture.LastAnswer(1).mError == AnswerCode::Unknown);
  aFixture.ReplySuccess(key, "signature");
  aFixture.mCore.OnConnectionFailed(key, aFixture.mNow);
  return key;
}

ConnectionKey
LoseConnection(CoreFixture& aFixture)
{
  const ConnectionKey key = SendWrite(aFixture);
  aFixture.mCore.OnConnectionFailed(key, aFixture.mNow);
  aFixture.mCore.OnConnectionFailed(key, aFixture.mNow);
  return key;
}

ConnectionKey
RollBack(CoreFixture& aFixture)
{
  const ConnectionKey key = StartTransaction(aFixture);
  aFixture.SendStatement(1, StatementKind::Rollback);
  AnswerRollback(aFixture);
  return key;
}

ConnectionKey
LeaveTransactionIdle(CoreFixture& aFixture)
{
  const ConnectionKey key = StartTransaction(aFixture);
  aFixture.Advance(3100ms);
  AnswerRollback(aFixture);
  aFixture.SendStatement(1, StatementKind::Rollback);
  return key;
}

ConnectionKey
DisconnectInTransaction(CoreFixture& aFixture)
{
  const ConnectionKey key = StartTransaction(aFixture);
  aFixture.mCore.OnSessionClosed(1, aFixture.mNow);
  AnswerRollback(aFixture);
  return key;
}

ConnectionKey
LoseRollback(CoreFixture& aFixture)
{
  const ConnectionKey key = StartTransaction(aFixture);
  aFixture.SendStatement(1, StatementKind::Rollback);
  aFixture.Advance(400ms);
  aFixture.ReplySuccess(key, kUnsigned);
  return key;
}

ConnectionKey
FailInTransaction(CoreFixture& aFixture)
{
  const ConnectionKey key = StartTransaction(aFixture);
  aFixture.SendStatement(1, StatementKind::Write, "item data");
  aFixture.ReplyError(key, AnswerCode::Failed, TransactionState::Failed);
  AnswerRollback(aFixture);
  return key;
}

ConnectionKey
RefuseOpening(CoreFixture& aFixture)
{
  const ConnectionKey used = SendWrite(aFixture);
  aFixture.OpenSession(2, "main");
  aFixture.SendStatement(2, StatementKind::Write, "item data");
  const ConnectionKey key = aFixture.mOpening.at(0).first;
  aFixture.mOpening.clear();
  for (int event = 0; event < 2; event++) {
    aFixture.mCore.OnConnectionRefused(key, AnswerCode::TooMany, aFixture.mNow);
  }
  aFixture.mCore.OnConnectionFailed(key, aFixture.mNow);
  // The second write runs on the connection of the first one.
  aFixture.ReplySuccess(used, "signature");
  aFixture.ReplySuccess(used, "signature");
  return key;
}

} // namespace

// Guards against a connection that is given back twice or not at all, after which the
// instance opens more connections than its share or none. A connection that is still
// counted as in use shows as a difference between the connections and the idle ones; a
// slot that is not given back shows in the statements in flight.
TEST_CASE(
  "each end of a statement or transaction gives back one connection and one count")
{
  struct Case
  {
    const char* mEnd;
    ConnectionKey (*mRun)(CoreFixture&);
    bool mIsClosed;
  };
  const Case cases[] = {
    { "the answer to a write is lost", LoseAnswer, true },
    { "the connection of a write is lost", LoseConnection, true },
    { "the client rolls back", RollBack, false },
    { "the transaction is idle for too long", LeaveTransactionIdle, false },
    { "the client disconnects within a transaction", DisconnectInTransaction, false },
    { "the answer to the rollback is lost", LoseRollback, true },
    { "the member aborts the transaction", FailInTransaction, false },
    { "an opening is refused", RefuseOpening, true },
  };
  for (const Case& next : cases) {
    INFO(next.mEnd);
    CoreFixture fixture;
    const ConnectionKey key = next.mRun(fixture);
    fixture.OpenRequestedConnections();
    const MemberExplanation state = PrimaryState(fixture);
    REQUIRE(state.mConnections == OpenToPrimary(fixture));
    REQUIRE(state.mIdle == state.mConnections);
    REQUIRE(state.mConnections >= 1);
    REQUIRE(state.mInFlight == 0);
    REQUIRE(std::count(fixture.mClosedConnections.begin(),
                       fixture.mClosedConnections.end(),
                       key) == (next.mIsClosed ? 1 : 0));
  }
}
