// What the data path does without a permission for the leader: it sends it nothing,
// acknowledges no commit, and takes no sample of its position.

#include "corefixture.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

constexpr SessionKey kSession = 7;

} // namespace

// Guards against a write that an old leader commits after another one leads.
TEST_CASE("a write that is answered without a permission is unknown to the client")
{
  CoreFixture fixture;
  fixture.Start(kSession, "main");
  fixture.Say(kSession, StatementKind::Write, "item data");
  const ConnectionKey connection = fixture.Last(CommandKind::Write).mConnection;
  fixture.mPermits = [](std::string_view, TimePoint) { return false; };
  fixture.Succeed(connection, "signature");
  REQUIRE(fixture.LastAnswer(kSession).mError == AnswerCode::Unknown);
}

TEST_CASE("a commit that is answered without a permission is unknown to the client")
{
  CoreFixture fixture;
  fixture.Start(kSession, "main");
  fixture.Say(kSession, StatementKind::Begin);
  fixture.Say(kSession, StatementKind::Write, "item data");
  const ConnectionKey connection = fixture.Last(CommandKind::Begin).mConnection;
  fixture.Succeed(connection, kUnsigned, TransactionState::Open);
  fixture.Succeed(connection, "signature", TransactionState::Open);
  fixture.Say(kSession, StatementKind::Commit);
  fixture.mPermits = [](std::string_view, TimePoint) { return false; };
  fixture.Succeed(connection, "signature");
  REQUIRE(fixture.LastAnswer(kSession).mError == AnswerCode::Unknown);
}

TEST_CASE("without a permission nothing is sent to the leader, and the answer is not run")
{
  CoreFixture fixture;
  fixture.mPermits = [](std::string_view, TimePoint) { return false; };
  fixture.Start(kSession, "main");
  fixture.Say(kSession, StatementKind::Write, "item data");
  REQUIRE(fixture.CountOf(CommandKind::Write) == 0);
  while (fixture.AnswerCount(kSession) == 0) {
    fixture.Advance(100ms);
  }
  REQUIRE(fixture.CountOf(CommandKind::Write) == 0);
  REQUIRE(fixture.LastAnswer(kSession).mError == AnswerCode::Busy);
}

TEST_CASE("a write that waits for a permission is sent once there is one")
{
  CoreFixture fixture;
  fixture.mPermits = [](std::string_view, TimePoint) { return false; };
  fixture.Start(kSession, "main");
  fixture.Say(kSession, StatementKind::Write, "item data");
  fixture.mPermits = [](std::string_view, TimePoint) { return true; };
  fixture.mCore.OnRoutesToMembersChanged(fixture.mNow);
  REQUIRE(fixture.CountOf(CommandKind::Write) == 1);
}

// Guards against bounded reads that rest on what an old leader says of its log.
TEST_CASE("a position that was asked for without a permission proves no freshness")
{
  CoreFixture fixture;
  const TimePoint end = fixture.mNow;
  fixture.Start(kSession, "main");
  fixture.Say(kSession, StatementKind::Write, "item data");
  fixture.mPermits = [end](std::string_view, TimePoint aAt) { return aAt < end; };
  fixture.Succeed(fixture.Last(CommandKind::Write).mConnection, "signature");
  fixture.mSent.clear();
  constexpr SessionKey kReader = 8;
  fixture.Start(kReader, "views");
  fixture.Say(kReader, StatementKind::Read, "item");
  REQUIRE(fixture.CountOf(CommandKind::Read) == 0);
}

TEST_CASE("the member that the instances decided on leads, whatever members say")
{
  CoreFixture fixture;
  fixture.mLeader = "r1";
  REQUIRE(fixture.mCore.PrimaryOf("group", fixture.mNow).mMember == "r1");
  fixture.Start(kSession, "main");
  fixture.Say(kSession, StatementKind::Write, "item data");
  REQUIRE(fixture.MemberOf(fixture.Last(CommandKind::Write)) == "r1");
  std::vector<std::string> replicas;
  for (const MemberEntry& entry : fixture.mCore.ReplicasOf("group")) {
    replicas.push_back(entry.mId);
  }
  REQUIRE(replicas == std::vector<std::string>{ "p", "r2" });
}

TEST_CASE("while the lead changes, nobody is taken for the leader")
{
  CoreFixture fixture;
  fixture.mLeader = "";
  fixture.Start(kSession, "main");
  fixture.Say(kSession, StatementKind::Write, "item data");
  REQUIRE(fixture.CountOf(CommandKind::Write) == 0);
}

// A member that was promoted but doesn't lead must be found, also before it says that it
// leads.
TEST_CASE("a decided leader that refuses to lead counts as down after a while")
{
  CoreFixture fixture;
  fixture.mLeader = "r1";
  fixture.Start(kSession, "main");
  for (int turn = 0; turn < 40; turn++) {
    if (fixture.AnswerCount(kSession) == static_cast<std::size_t>(turn)) {
      fixture.Say(kSession, StatementKind::Write, "item data");
    }
    for (const auto& sent : std::exchange(fixture.mSent, {})) {
      fixture.Refuse(sent.mConnection, AnswerCode::ReadOnly);
    }
    fixture.Advance(100ms);
  }
  REQUIRE(fixture.mCore.PrimaryOf("group", fixture.mNow).mDownSince);
}
