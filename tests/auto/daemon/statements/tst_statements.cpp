#include "daemon/statements/statementworld.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::test;
using namespace std::chrono_literals;

namespace {

std::string
Value(const v1::ExecuteReply& aReply)
{
  return aReply.rows_size() == 1 ? aReply.rows(0).columns(0) : "none";
}

} // namespace

// Guards against refusals that reach a member although they say "not run".
TEST_CASE("faulty requests are refused before anything is sent")
{
  const struct
  {
    const char* mName;
    std::function<void(v1::ExecuteRequest&)> mChange;
    const char* mKind;
  } rows[] = {
    { "no group", [](auto& aRequest) { aRequest.clear_group(); }, "malformed_request" },
    { "unknown group", [](auto& aRequest) { aRequest.set_group("x"); }, "unknown_group" },
    { "no statement",
      [](auto& aRequest) { aRequest.clear_statement(); },
      "malformed_request" },
    { "no access mode",
      [](auto& aRequest) { aRequest.clear_access(); },
      "malformed_request" },
    { "oversized statement",
      [](auto& aRequest) { aRequest.set_statement(std::string(1001, 'x')); },
      "statement_too_large" },
    { "write without a request id",
      [](auto& aRequest) { aRequest.clear_request_id(); },
      "malformed_request" },
    { "long request id",
      [](auto& aRequest) { aRequest.set_request_id(std::string(129, 'x')); },
      "malformed_request" },
    { "forged token",
      [](auto& aRequest) { aRequest.set_session_token(std::string(60, '\1')); },
      "bad_session_token" },
    { "unknown staleness rule",
      [](auto& aRequest) { aRequest.set_staleness_rule("x"); },
      "malformed_request" },
    { "transaction id that is none",
      [](auto& aRequest) { aRequest.set_transaction_id("x"); },
      "unknown_transaction" },
    { "transaction of another group",
      [](auto& aRequest) { aRequest.set_transaction_id("e1~other~1~ff"); },
      "malformed_request" },
    { "full token",
      [](auto& aRequest) {
        SessionToken token;
        token.Raise(GroupId("x"), { 1, 1 });
        token.Raise(GroupId("y"), { 1, 1 });
        const SessionTokenCodec codec({ { "key" }, 2 });
        aRequest.set_session_token(std::get<std::string>(codec.Encode(token)));
      },
      "malformed_request" },
  };
  World world;
  for (const auto& row : rows) {
    for (const std::string at : { "e1", "e3" }) {
      INFO(row.mName << " at " << at);
      auto request = world.Write("PUT k v", "id");
      row.mChange(request);
      const auto reply = world.At(at).mManager->Execute(request, "");
      CHECK(KindOf(reply) == row.mKind);
      CHECK(reply.error().execution() == v1::EXECUTION_NOT_RUN);
    }
  }
  CHECK(world.mGroup.mRuns.empty());
  CHECK(world.mPeers.mCalls.empty());
}

// Guards against lost or doubled writes, false acknowledgements and false "not run".
TEST_CASE("a write runs once and is acknowledged by a majority of its term")
{
  const struct
  {
    const char* mName;
    std::function<void(World&)> mPrepare;
    const char* mKind;
    std::size_t mEntries; // in the log of the last primary
    const char* mPrimary;
  } rows[] = {
    { "healthy", [](World&) {}, "", 1, "a" },
    { "one replica is cut off",
      [](World& aWorld) { aWorld.mGroup.Member("b").mIsReachable = false; },
      "",
      1,
      "a" },
    { "no replica gets it: deadline during the replication wait",
      [](World& aWorld) {
        aWorld.mGroup.Member("b").mReplicates = false;
        aWorld.mGroup.Member("c").mReplicates = false;
      },
      "outcome_unknown",
      1,
      "a" },
    { "replicas hold it, but in a later term: an old primary acknowledges nothing",
      [](World& aWorld) {
        aWorld.mGroup.mAfterRun = [&aWorld](const RunRecord&) {
          aWorld.mGroup.Member("b").mTerm = 2;
          aWorld.mGroup.Member("c").mTerm = 2;
        };
      },
      "outcome_unknown",
      1,
      "a" },
    { "answer lost",
      [](World& aWorld) { aWorld.mGroup.Member("a").mFaults = { Fault::LoseAnswer }; },
      "",
      1,
      "a" },
    { "request lost",
      [](World& aWorld) { aWorld.mGroup.Member("a").mFaults = { Fault::LoseRequest }; },
      "",
      1,
      "a" },
    { "nothing sent at first",
      [](World& aWorld) { aWorld.mGroup.Member("a").mFaults = { Fault::Unreachable }; },
      "",
      1,
      "a" },
    { "primary unreachable for good: nothing was ever sent",
      [](World& aWorld) {
        aWorld.mGroup.Member("a").mFaults.assign(100, Fault::Unreachable);
      },
      "member_unreachable",
      0,
      "a" },
    { "a lost answer before refusals keeps the outcome unknown",
      [](World& aWorld) {
        aWorld.mGroup.Member("a").mFaults.assign(100, Fault::Unreachable);
        aWorld.mGroup.Member("a").mFaults.front() = Fault::LoseAnswer;
      },
      "outcome_unknown",
      1,
      "a" },
    { "the primary fails over after it ran and spread the write",
      [](World& aWorld) {
        aWorld.mGroup.Member("a").mFaults = { Fault::LoseAnswer };
        aWorld.mGroup.mAfterRun = [&aWorld](const RunRecord&) {
          aWorld.mGroup.mAfterRun = nullptr;
          aWorld.FailOver("b", 2, { "c" });
        };
      },
      "",
      1,
      "b" },
    { "the primary fails over before the write spread",
      [](World& aWorld) {
        aWorld.mGroup.Member("b").mReplicates = false;
        aWorld.mGroup.Member("c").mReplicates = false;
        aWorld.mGroup.mAfterRun = [&aWorld](const RunRecord&) {
          aWorld.mGroup.mAfterRun = nullptr;
          aWorld.mGroup.Member("c").mReplicates = true;
          aWorld.FailOver("b", 2, { "c" });
        };
      },
      "",
      1,
      "b" },
    { "the view is late: the member refuses the old term",
      [](World& aWorld) {
        aWorld.mGroup.Promote("a", 2, { "b", "c" });
        aWorld.mGroup.mAfterRun = [&aWorld](const RunRecord&) {
          aWorld.FailOver("a", 2, { "b", "c" });
        };
      },
      "",
      1,
      "a" },
    { "no primary known until the deadline",
      [](World& aWorld) {
        aWorld.mE1.mGroups.OfferView({ kGroup, 2, MemberId() });
      },
      "no_primary",
      0,
      "a" },
    { "connection limit",
      [](World& aWorld) {
        aWorld.mGroup.mAcquireErrors[MemberId("a")] = ErrorKind::ConnectionLimit;
      },
      "connection_limit",
      0,
      "a" },
  };
  for (const auto& row : rows) {
    INFO(row.mName);
    World world;
    row.mPrepare(world);
    const auto reply = world.Execute("e1", world.Write("PUT k v", "id"));
    CHECK(KindOf(reply) == row.mKind);
    CHECK(world.mGroup.CountOf(row.mPrimary, "id") == row.mEntries);
    const bool saysNotRun = reply.error().execution() == v1::EXECUTION_NOT_RUN;
    CHECK_FALSE((saysNotRun && row.mEntries > 0));
    CHECK(world.mGroup.OpenConnections() == 0);
    CHECK(world.mToken.empty() == reply.has_error());
  }
}

// Guards against the run in which an entry of an older term is acknowledged by two
// members and dropped by the next failover.
TEST_CASE("a repeated write of an older term waits for an entry of the current term")
{
  World world;
  world.mGroup.Member("b").mReplicates = false;
  world.mGroup.Member("c").mReplicates = false;
  CHECK(KindOf(world.Execute("e1", world.Write("PUT k v", "id"))) == "outcome_unknown");
  // a leads again in term 3 and its old entries reach c, but no entry of term 3 does.
  world.FailOver("a", 3, { "b", "c" });
  auto& c = world.mGroup.Member("c");
  c.mLog = world.mGroup.Member("a").mLog;
  const auto ofTerm3 = c.mLog.back();
  c.mLog.pop_back();
  CHECK(KindOf(world.Execute("e1", world.Write("PUT k v", "id"))) == "outcome_unknown");
  CHECK(KindOf(world.Execute("e1", world.Read("GET k"))) == "outcome_unknown");
  c.mLog.push_back(ofTerm3);
  const auto reply = world.Execute("e2", world.Write("PUT k v", "id"));
  CHECK(KindOf(reply).empty());
  CHECK(reply.repeated());
  CHECK(FromMessage(reply.position()) == LogPosition{ 1, 2 });
}

// Guards against a write that waits for a new primary and is refused although one comes.
TEST_CASE("a write waits in place for a new primary")
{
  World world;
  world.mE1.mGroups.OfferView({ kGroup, 2, MemberId() });
  const auto comesAt = world.mClock.Now() + 4s;
  world.mClock.mAfterAdvance = [&] {
    if (world.mClock.Now() >= comesAt) {
      world.mClock.mAfterAdvance = nullptr;
      world.FailOver("b", 2, { "a", "c" });
    }
  };
  const auto reply = world.Execute("e1", world.Write("PUT k v", "id"));
  CHECK(KindOf(reply).empty());
  CHECK(world.mGroup.CountOf("b", "id") == 1);
}

// Guards against one statement's failure that is shown before it is certain, and against
// the same id with another statement.
TEST_CASE("failed statements and conflicting ids are answered truthfully")
{
  World world;
  CHECK(KindOf(world.Execute("e1", world.Write("FAIL", "id"))) == "statement_failed");
  CHECK(KindOf(world.Execute("e1", world.Write("PUT k v", "id"))).empty());
  CHECK(KindOf(world.Execute("e1", world.Write("PUT k w", "id"))) ==
        "request_id_conflict");
  world.mGroup.Member("b").mIsReachable = false;
  world.mGroup.Member("c").mIsReachable = false;
  world.mClock.Advance(1s);
  CHECK(KindOf(world.Execute("e1", world.Write("FAIL", "id2"))) == "outcome_unknown");
}

// Guards against stale reads and lost read-your-writes, and against needless primary
// reads.
TEST_CASE("reads are served by members that prove what the session needs")
{
  const struct
  {
    const char* mName;
    std::function<void(World&)> mPrepare;
    std::uint64_t mMaxStalenessMs;
    const char* mKind;
    const char* mMember;
  } rows[] = {
    { "no stated age: the primary", [](World&) {}, 0, "", "a" },
    { "fresh replica", [](World&) {}, 1000, "", "b" },
    { "the replica's connection fails: the next one",
      [](World& aWorld) { aWorld.mGroup.Member("b").mFaults = { Fault::Unreachable }; },
      1000,
      "",
      "c" },
    { "the replica has no free connection: the next one",
      [](World& aWorld) {
        aWorld.mGroup.mAcquireErrors[MemberId("b")] = ErrorKind::Overloaded;
      },
      1000,
      "",
      "c" },
    { "the replica changed its term since it was chosen",
      [](World& aWorld) { aWorld.mGroup.Member("b").mTerm = 2; },
      1000,
      "",
      "c" },
    { "replicas are cut off and too old: nobody confirms the primary",
      [](World& aWorld) {
        aWorld.mGroup.Member("b").mIsReachable = false;
        aWorld.mGroup.Member("c").mIsReachable = false;
        aWorld.mClock.Advance(2s);
      },
      1000,
      "outcome_unknown",
      "a" },
    { "the primary fails during the read: the new one",
      [](World& aWorld) {
        aWorld.mGroup.Member("a").mFaults = { Fault::LoseRequest };
        aWorld.mGroup.mAfterRun = [&aWorld](const RunRecord&) {
          aWorld.mGroup.mAfterRun = nullptr;
          aWorld.FailOver("b", 2, { "c" });
        };
      },
      0,
      "",
      "b" },
    { "no primary and no stated age",
      [](World& aWorld) {
        aWorld.mE2.mGroups.OfferView({ kGroup, 2, MemberId() });
      },
      0,
      "no_primary",
      "" },
  };
  for (const auto& row : rows) {
    INFO(row.mName);
    World world;
    CHECK(KindOf(world.Execute("e1", world.Write("PUT k v", "id"))).empty());
    world.Poll("e2");
    world.mGroup.mRuns.clear();
    row.mPrepare(world);
    // The session has moved to another home.
    const auto reply = world.Execute("e2", world.Read("GET k", row.mMaxStalenessMs));
    CHECK(KindOf(reply) == row.mKind);
    if (!reply.has_error()) {
      CHECK(Value(reply) == "v");
      CHECK(reply.served_by_replica() == (row.mMaxStalenessMs > 0));
    }
    const auto& runs = world.mGroup.mRuns;
    CHECK((runs.empty() ? "" : runs.back().mMember.Text()) == row.mMember);
  }
}

// Guards against an old primary that answers a read after it was superseded.
TEST_CASE("an old primary's answer is not confirmed")
{
  World world;
  world.mGroup.Promote("b", 2, { "c" });
  CHECK(KindOf(world.Execute("e1", world.Read("GET k"))) == "outcome_unknown");
}

// Guards against a false "not run" while the first send may still be under way.
TEST_CASE("the outcome of a request id is proven or unknown")
{
  World world;
  CHECK(KindOf(world.Execute("e1", world.Write("PUT k v", "id"))).empty());
  v1::OutcomeRequest request;
  request.set_group("g");
  request.set_request_id("id");
  for (const std::string at : { "e1", "e3" }) {
    const auto reply = world.At(at).mManager->Outcome(request, "");
    CHECK(reply.execution() == v1::EXECUTION_RAN);
    CHECK_FALSE(reply.session_token().empty());
  }
  request.set_request_id("other");
  CHECK(world.mE1.mManager->Outcome(request, "").execution() == v1::EXECUTION_UNKNOWN);
}
