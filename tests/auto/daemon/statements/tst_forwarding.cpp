#include "daemon/statements/statementworld.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::test;

// Guards against doubled or lost writes, and false "not run", on the way through a home.
TEST_CASE("a forwarded request runs once and is answered truthfully")
{
  using Faults = std::deque<PeerFault>;
  const Faults never(100, PeerFault::Unreachable);
  const struct
  {
    const char* mName;
    bool mWrite;
    Faults mAtE1; // own zone, so tried first
    Faults mAtE2;
    const char* mKind;
    int mCallsAtE2;
  } rows[] = {
    { "own zone first", true, {}, {}, "", 0 },
    { "next home when nothing was sent", true, { PeerFault::Unreachable }, {}, "", 1 },
    { "answer lost: the id protects the repeat",
      true,
      { PeerFault::LoseAnswer },
      {},
      "",
      1 },
    { "crossed answer: not taken for its own", true, { PeerFault::Crossed }, {}, "", 1 },
    { "no home reachable: not run", true, never, never, "peer_unreachable", 20 },
    { "answer lost, then no home reachable: unknown",
      true,
      Faults(1, PeerFault::LoseAnswer),
      never,
      "outcome_unknown",
      20 },
    { "read with a lost answer is repeated at the next home",
      false,
      { PeerFault::LoseAnswer },
      {},
      "",
      1 },
  };
  for (const auto& row : rows) {
    INFO(row.mName);
    World world;
    world.mPeers.mFaults["e1"] = row.mAtE1;
    world.mPeers.mFaults["e2"] = row.mAtE2;
    if (std::string(row.mKind) == "outcome_unknown") {
      world.mPeers.mFaults["e1"].insert(
        world.mPeers.mFaults["e1"].end(), never.begin(), never.end());
    }
    const auto request = row.mWrite ? world.Write("PUT k v", "id") : world.Read("GET k");
    const auto reply = world.Execute("e3", request);
    CHECK(KindOf(reply) == row.mKind);
    CHECK((row.mCallsAtE2 < 20 ? world.mPeers.mCalls["e2"] == row.mCallsAtE2
                               : world.mPeers.mCalls["e2"] > 5));
    const auto entries = world.mGroup.CountOf("a", "id");
    CHECK(entries <= 1);
    CHECK_FALSE((reply.error().execution() == v1::EXECUTION_NOT_RUN && entries > 0));
    CHECK((reply.has_error() || entries == (row.mWrite ? 1 : 0)));
  }
}

// Guards against a request that wanders between instances, and against lost hops.
TEST_CASE("a receiver serves by itself, and the reply names its hops")
{
  // e3 believes that e2 is home; e2 believes that e1 is.
  World world({ "e1" });
  world.mE3.mHomes.mHomes = { InstanceId("e2") };
  const auto reply = world.Execute("e3", world.Write("PUT k v", "id"));
  CHECK(KindOf(reply).empty());
  CHECK(world.mPeers.mCalls["e1"] == 0);
  REQUIRE(reply.hops_size() == 3);
  const std::vector<std::string> names{ "e3", "e2", "a" };
  const std::vector<std::string> roles{ "entry", "home", "primary" };
  const std::vector<std::string> zones{ "za", "zb", "za" };
  for (int i = 0; i < 3; ++i) {
    CHECK(reply.hops(i).instance() == names[static_cast<std::size_t>(i)]);
    CHECK(reply.hops(i).role() == roles[static_cast<std::size_t>(i)]);
    CHECK(reply.hops(i).availability_zone() == zones[static_cast<std::size_t>(i)]);
  }
  CHECK(world.Execute("e1", world.Read("GET k")).hops_size() == 2);
}

// Guards against a retry with the same id through another instance that runs twice, and
// against a session that loses its write when it moves.
TEST_CASE("a caller repeats a write through another instance and reads it there")
{
  World world;
  // The caller's first entry instance loses the answer of the only home that it reaches.
  world.mE3.mHomes.mHomes = { InstanceId("e1") };
  world.mPeers.mFaults["e1"].assign(100, PeerFault::Unreachable);
  world.mPeers.mFaults["e1"].front() = PeerFault::LoseAnswer;
  CHECK(KindOf(world.Execute("e3", world.Write("PUT k v", "id"))) == "outcome_unknown");
  const auto repeated = world.Execute("e2", world.Write("PUT k v", "id"));
  CHECK(repeated.repeated());
  CHECK(world.mGroup.CountOf("a", "id") == 1);
  world.mPeers.mFaults.clear();
  const auto read = world.Execute("e3", world.Read("GET k", 1000));
  REQUIRE(read.rows_size() == 1);
  CHECK(read.rows(0).columns(0) == "v");
}

// Guards against damaged peer requests, and against work without time left.
TEST_CASE("a home refuses what it cannot serve as not run")
{
  World world;
  const auto send = [&](const std::string& aBody) {
    const auto body = world.mPeers.mHandlers["e1"]({ "Forward", aBody, "" });
    v1::ForwardReply reply;
    CHECK(reply.ParseFromString(ValueOf(body)));
    return reply;
  };
  CHECK(send("\xff\xff").error().kind() == "malformed_request");
  CHECK(send("").error().kind() == "malformed_request");
  v1::ForwardRequest request;
  *request.mutable_execute() = world.Write("PUT k v", "id");
  request.mutable_execute()->set_group("unknown");
  CHECK(send(request.SerializeAsString()).execute().error().kind() == "unknown_group");
  CHECK(world.mGroup.mRuns.empty());
}
