#include "daemon/statements/statementworld.h"
#include "daemon/statements/transactiontable.h"

#include <catch2/catch.hpp>

#include <set>

using namespace papayaspindle;
using namespace papayaspindle::test;
using namespace std::chrono_literals;

namespace {

std::string
Begin(World& aWorld, const std::string& aAt)
{
  v1::BeginRequest request;
  request.set_group("g");
  const auto reply = aWorld.At(aAt).mManager->Begin(request, "");
  CHECK(KindOf(reply).empty());
  return reply.transaction_id();
}

std::string
Put(World& aWorld, const std::string& aAt, const std::string& aId, const char* aStatement)
{
  auto request = aWorld.Write(aStatement, "");
  request.set_transaction_id(aId);
  return KindOf(aWorld.Execute(aAt, request));
}

v1::ExecuteReply
Commit(World& aWorld,
       const std::string& aAt,
       const std::string& aId,
       const std::string& aRequestId)
{
  v1::CommitRequest request;
  request.set_transaction_id(aId);
  request.set_request_id(aRequestId);
  return aWorld.At(aAt).mManager->Commit(request, "");
}

} // namespace

// Guards against statements of one transaction on another's connection.
TEST_CASE("each transaction keeps to its own connection, from any instance")
{
  World world;
  const auto first = Begin(world, "e1");
  const auto second = Begin(world, "e3");
  CHECK(Put(world, "e3", first, "PUT k 1").empty());
  CHECK(Put(world, "e1", second, "PUT l 2").empty());
  CHECK(Put(world, "e2", first, "PUT m 1").empty());
  CHECK(KindOf(Commit(world, "e2", second, "id2")).empty());
  const auto reply = Commit(world, "e3", first, "id1");
  CHECK(KindOf(reply).empty());
  CHECK_FALSE(reply.session_token().empty());
  CHECK(world.mGroup.Member("a").mLog[1].mStatement == "PUT l 2;");
  CHECK(world.mGroup.Member("a").mLog[2].mStatement == "PUT k 1;PUT m 1;");
  std::set<ConnectionId> connections;
  for (const auto& run : world.mGroup.mRuns) {
    connections.insert(run.mConnection);
  }
  CHECK(connections.size() == 2);
  CHECK(world.mGroup.OpenConnections() == 0);
  CHECK(world.mGroup.mCondemned.empty());
}

// Guards against false answers about commits, and connections with an open transaction in
// the pool.
TEST_CASE("a commit is answered truthfully whatever happens on the way")
{
  const struct
  {
    const char* mName;
    std::function<void(World&)> mPrepare;
    const char* mKind;
    std::size_t mEntries; // in the log of b
  } rows[] = {
    { "healthy", [](World&) {}, "", 1 },
    { "answer lost, the write is on a majority",
      [](World& aWorld) { aWorld.mGroup.Member("a").mFaults = { Fault::LoseAnswer }; },
      "",
      1 },
    { "request lost, the same primary leads on",
      [](World& aWorld) { aWorld.mGroup.Member("a").mFaults = { Fault::LoseRequest }; },
      "outcome_unknown",
      0 },
    { "request lost, then a failover proves that it did not run",
      [](World& aWorld) {
        aWorld.mGroup.Member("a").mFaults = { Fault::LoseRequest };
        aWorld.mGroup.mAfterRun = [&aWorld](const RunRecord&) {
          aWorld.FailOver("b", 2, { "c" });
        };
      },
      "transaction_aborted",
      0 },
    { "failover after the write spread",
      [](World& aWorld) {
        aWorld.mGroup.Member("a").mFaults = { Fault::LoseAnswer };
        aWorld.mGroup.mAfterRun = [&aWorld](const RunRecord&) {
          aWorld.FailOver("b", 2, { "c" });
        };
      },
      "",
      1 },
    { "nothing sent: the connection's end rolls back",
      [](World& aWorld) { aWorld.mGroup.Member("a").mFaults = { Fault::Unreachable }; },
      "transaction_aborted",
      0 },
    { "the term rose since the begin",
      [](World& aWorld) { aWorld.mGroup.Member("a").mTerm = 2; },
      "transaction_aborted",
      0 },
  };
  for (const auto& row : rows) {
    INFO(row.mName);
    World world;
    const auto id = Begin(world, "e1");
    CHECK(Put(world, "e1", id, "PUT k v").empty());
    row.mPrepare(world);
    CHECK(KindOf(Commit(world, "e1", id, "id")) == row.mKind);
    CHECK(world.mGroup.CountOf("b", "id") == row.mEntries);
    CHECK(world.mGroup.OpenConnections() == 0);
    CHECK(world.mE1.mManager->OpenTransactions() == 0);
  }
}

// Guards against a repeated commit that is called "not run" although the first one ran.
TEST_CASE("a commit that is repeated after its transaction ended is looked up")
{
  World world;
  const auto id = Begin(world, "e1");
  CHECK(Put(world, "e1", id, "PUT k v").empty());
  CHECK(KindOf(Commit(world, "e1", id, "id")).empty());
  CHECK(Commit(world, "e1", id, "id").repeated());
  CHECK(KindOf(Commit(world, "e1", id, "never")) == "outcome_unknown");
  CHECK(KindOf(Commit(world, "e1", id, "")) == "unknown_transaction");
  SECTION("also when the home has died")
  {
    world.mE3.mInstances.mLive.erase(world.mE3.mInstances.mLive.begin());
    CHECK(Commit(world, "e3", id, "id").repeated());
    CHECK(Put(world, "e3", id, "PUT k w") == "unknown_transaction");
  }
}

// Guards against transactions that outlive an error with an unknown state.
TEST_CASE("a connection error ends the transaction and closes its connection")
{
  for (const auto fault : { Fault::LoseAnswer, Fault::LoseRequest, Fault::Unreachable }) {
    World world;
    const auto id = Begin(world, "e1");
    world.mGroup.Member("a").mFaults = { fault };
    CHECK(Put(world, "e3", id, "PUT k v") == "transaction_aborted");
    CHECK(Put(world, "e3", id, "PUT k v") == "unknown_transaction");
    CHECK(world.mGroup.mCondemned.size() == 1);
    CHECK(world.mE1.mManager->OpenTransactions() == 0);
  }
}

// Guards against half-finished transactions that hold scarce connections.
TEST_CASE("rollback and idle time end a transaction")
{
  World world;
  v1::RollbackRequest rollback;
  rollback.set_transaction_id(Begin(world, "e1"));
  CHECK(KindOf(world.mE3.mManager->Rollback(rollback, "")).empty());
  CHECK(KindOf(world.mE3.mManager->Rollback(rollback, "")) == "unknown_transaction");
  CHECK(world.mGroup.mCondemned.empty());
  const auto id = Begin(world, "e1");
  CHECK(Put(world, "e1", id, "PUT k v").empty());
  CHECK(Put(world, "e1", id, "FAIL") == "statement_failed");
  CHECK(KindOf(Commit(world, "e1", id, "")) == "malformed_request");
  world.mE1.mManager->CloseIdleTransactions();
  CHECK(world.mE1.mManager->OpenTransactions() == 1);
  world.mClock.Advance(31s);
  world.mE1.mManager->CloseIdleTransactions();
  CHECK(world.mE1.mManager->OpenTransactions() == 0);
  CHECK(world.mGroup.mCondemned.size() == 1);
}

// Guards against two statements at once on one connection, and guessed ids.
TEST_CASE("a transaction is lent to one statement at a time")
{
  std::uint64_t random = 41;
  TransactionTable table(
    InstanceId("e1"), 1s, [] { return TimePoint(); }, [&] { return ++random; });
  const auto id = table.Add({ kGroup, MemberId("a"), 1, 7, false });
  const auto address = ParseTransactionId(id);
  REQUIRE(address);
  CHECK(address->mHome == InstanceId("e1"));
  CHECK(address->mGroup == kGroup);
  const auto loan = table.Borrow(id);
  REQUIRE(IsOk(loan));
  CHECK(ErrorOf(table.Borrow(id)).mKind == ErrorKind::MalformedRequest);
  table.Return(id, ValueOf(loan));
  CHECK(IsOk(table.Borrow(id)));
  const auto other = table.Add({ kGroup, MemberId("a"), 1, 8, false });
  CHECK(other != id);
  for (const std::string text : { "", "e1~g~1", "e1~g~1~x~y", "~g~1~x", "e1~g~1~" }) {
    CHECK_FALSE(ParseTransactionId(TransactionId(text)));
  }
}
