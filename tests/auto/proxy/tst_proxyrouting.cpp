// Tests which member runs a statement, depending on the route's consistency and the
// available proofs of freshness.

#include "corefixture.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

// Guards against stale reads at a primary that has lost its leadership: a read outside a
// transaction succeeds at such a member, and only BEGIN of a read-write transaction
// fails.
TEST_CASE("a read of a primary route runs in a transaction that proves leadership")
{
  CoreFixture fixture;
  fixture.OpenSession(1, "main");
  fixture.SendStatement(1, StatementKind::Read, "item");
  const auto begin = fixture.LastSent(CommandKind::Begin);
  REQUIRE(fixture.MemberOf(begin) == "p");
  REQUIRE(fixture.SentCount(CommandKind::Read) == 0);
  SECTION("the member leads")
  {
    fixture.ReplySuccess(begin.mConnection, kUnsigned, TransactionState::Open);
    REQUIRE(fixture.SentCount(CommandKind::Read) == 1);
    REQUIRE(fixture.SentCount(CommandKind::Rollback) == 1);
    fixture.ReplySuccess(begin.mConnection, "sig", TransactionState::Open);
    REQUIRE_FALSE(fixture.LastAnswer(1).mError);
    REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Idle);
    fixture.ReplySuccess(begin.mConnection, kUnsigned);
  }
  SECTION("the member has lost its leadership")
  {
    fixture.ReplyError(begin.mConnection, AnswerCode::ReadOnly);
    REQUIRE(fixture.SentCount(CommandKind::Read) == 0);
    REQUIRE(fixture.AnswerCount(1) == 0);
  }
}

TEST_CASE(
  "a bounded read without a position sample runs at the primary with a leadership proof")
{
  CoreFixture fixture;
  fixture.OpenSession(1, "views");
  fixture.SendStatement(1, StatementKind::Read, "item");
  REQUIRE(fixture.MemberOf(fixture.LastSent(CommandKind::Begin)) == "p");
}

TEST_CASE("a bounded read requires the oldest position that proves its freshness")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  fixture.Advance(500ms);
  fixture.SampleByWrite({ 1, 20 });
  fixture.OpenSession(1, "views");
  fixture.SendStatement(1, StatementKind::Read, "item");
  const auto read = fixture.LastSent(CommandKind::Read);
  REQUIRE(fixture.MemberOf(read) != "p");
  REQUIRE(read.mCommand.mAfter == LogPosition{ 1, 10 });
  fixture.ReplySuccess(read.mConnection, "sig");
  // The first sample is now older than the maximum staleness; the second is not.
  fixture.Advance(1100ms);
  fixture.SendStatement(1, StatementKind::Read, "item");
  REQUIRE(fixture.LastSent(CommandKind::Read).mCommand.mAfter == LogPosition{ 1, 20 });
}

TEST_CASE("a session's read requires its own last commit")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  fixture.OpenSession(1, "ledger");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  const auto write = fixture.LastSent(CommandKind::Write);
  REQUIRE(fixture.MemberOf(write) == "p");
  fixture.ReplySuccess(write.mConnection, "sig", TransactionState::Idle, { 1, 30 });
  fixture.SendStatement(1, StatementKind::Read, "item");
  REQUIRE(fixture.LastSent(CommandKind::Read).mCommand.mAfter == LogPosition{ 1, 30 });
}

// Guards against requiring a position that no log contains: that of a commit that the
// promotion rolled back.
TEST_CASE("a commit of an older term is covered by the first position of the newer one")
{
  CoreFixture fixture;
  fixture.OpenSession(1, "ledger");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  fixture.ReplySuccess(fixture.LastSent(CommandKind::Write).mConnection,
                       "sig",
                       TransactionState::Idle,
                       { 1, 30 });
  fixture.SampleByWrite({ 2, 28 });
  fixture.Advance(1600ms);
  fixture.AnswerSamples({ 2, 29 });
  fixture.SendStatement(1, StatementKind::Read, "item");
  REQUIRE(fixture.LastSent(CommandKind::Read).mCommand.mAfter == LogPosition{ 2, 29 });
}

TEST_CASE("a read refused by a lagging replica is sent to another member at once")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  fixture.OpenSession(1, "views");
  fixture.SendStatement(1, StatementKind::Read, "item");
  const auto first = fixture.LastSent(CommandKind::Read);
  fixture.ReplyError(first.mConnection, AnswerCode::Lagging);
  const auto second = fixture.LastSent(CommandKind::Read);
  REQUIRE(fixture.MemberOf(first) != fixture.MemberOf(second));
  REQUIRE(fixture.AnswerCount(1) == 0);
}

TEST_CASE("draining and unlisted members receive no reads")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  fixture.mEntries[1].mDraining = true;
  fixture.mEntries[1].mRevision = 11;
  fixture.mEntries.erase(fixture.mEntries.begin() + 2);
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  fixture.OpenSession(1, "views");
  fixture.SendStatement(1, StatementKind::Read, "item");
  REQUIRE(fixture.MemberOf(fixture.LastSent(CommandKind::Read)) == "p");
}

// Guards against a group without a primary after the entry of its primary has expired.
TEST_CASE("a primary that returns to the directory is the primary again")
{
  CoreFixture fixture;
  std::vector<MemberEntry> others = fixture.mEntries;
  others.erase(others.begin());
  fixture.mCore.OnDirectory(others, fixture.mNow);
  REQUIRE_FALSE(fixture.mCore.PrimaryOf("group", fixture.mNow).mIsListed);
  fixture.mEntries[0].mRevision = 11;
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  REQUIRE(fixture.mCore.PrimaryOf("group", fixture.mNow).mMember == "p");
}

// Guards against an old primary that is preferred to its successor, because the store has
// given out lower revisions since its return.
TEST_CASE("of two listed primaries, the one of the newer incarnation is presumed")
{
  CoreFixture fixture;
  fixture.mEntries[0].mRole = MemberRole::Replica;
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  fixture.mEntries[0].mRole = MemberRole::Primary;
  fixture.mEntries[0].mIncarnation = 1;
  fixture.mEntries[0].mRevision = 500;
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  fixture.mEntries[1].mIncarnation = 2;
  fixture.mEntries[1].mRevision = 20;
  fixture.mEntries[1].mRole = MemberRole::Primary;
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  REQUIRE(fixture.mCore.PrimaryOf("group", fixture.mNow).mMember == "r1");
}

TEST_CASE(
  "a member whose entry moves to another group receives no reads of the old group")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  for (std::size_t index = 1; index <= 2; index++) {
    fixture.mEntries[index].mGroup = "other";
    fixture.mEntries[index].mRevision = 12;
  }
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  fixture.OpenSession(1, "views");
  fixture.SendStatement(1, StatementKind::Read, "item");
  REQUIRE(fixture.MemberOf(fixture.LastSent(CommandKind::Read)) == "p");
  fixture.mEntries.resize(1);
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  fixture.Advance(10s);
  REQUIRE(fixture.mCore.ReplicasOf("group").empty());
}

TEST_CASE("no connection is opened to a misrouted member until its entry changes")
{
  CoreFixture fixture;
  for (auto& entry : fixture.mEntries) {
    entry.mRevision++;
  }
  fixture.mCore.OnConnectionFailed(fixture.mMemberOf.begin()->first, fixture.mNow);
  const ConnectionKey key = fixture.mOpening.back().first;
  const std::string member = fixture.mOpening.back().second;
  fixture.mCore.OnConnectionRefused(key, AnswerCode::Misrouted, fixture.mNow);
  fixture.mOpening.clear();
  fixture.Advance(5s);
  REQUIRE(std::none_of(fixture.mOpening.begin(),
                       fixture.mOpening.end(),
                       [&](const auto& aOpening) { return aOpening.second == member; }));
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  fixture.Advance(100ms);
  REQUIRE(std::any_of(fixture.mOpening.begin(),
                      fixture.mOpening.end(),
                      [&](const auto& aOpening) { return aOpening.second == member; }));
}

// Guards against a group that waits for the store's recovery although it already has a
// new primary.
TEST_CASE("a new primary is found while the directory names an unreachable one")
{
  CoreFixture fixture;
  std::vector<ConnectionKey> lost;
  for (const auto& [key, member] : fixture.mMemberOf) {
    if (member == "p") {
      lost.push_back(key);
    }
  }
  fixture.Advance(100ms);
  for (const ConnectionKey key : lost) {
    fixture.mCore.OnConnectionFailed(key, fixture.mNow);
  }
  for (const auto& [key, member] : std::exchange(fixture.mOpening, {})) {
    REQUIRE(member == "p");
    fixture.mCore.OnConnectionFailed(key, fixture.mNow);
  }
  fixture.mSent.clear();
  fixture.OpenSession(1, "main");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  fixture.Advance(100ms);
  fixture.Advance(100ms);
  // All other members receive BEGIN; only r1 leads.
  const std::vector<CoreFixture::SentCommand> requests = std::exchange(fixture.mSent, {});
  for (const CoreFixture::SentCommand& sent : requests) {
    const bool leads = fixture.MemberOf(sent) == "r1";
    if (sent.mCommand.mKind == CommandKind::Begin && leads) {
      fixture.ReplySuccess(sent.mConnection, kUnsigned, TransactionState::Open, { 2, 6 });
    } else if (sent.mCommand.mKind == CommandKind::Begin) {
      fixture.ReplyError(sent.mConnection, AnswerCode::ReadOnly);
    } else if (leads) {
      fixture.ReplySuccess(sent.mConnection, kUnsigned, TransactionState::Idle, { 2, 6 });
    } else {
      fixture.ReplyError(sent.mConnection, AnswerCode::BadMessage);
    }
  }
  fixture.Advance(100ms);
  REQUIRE(fixture.MemberOf(fixture.LastSent(CommandKind::Write)) == "r1");
}

// Guards against a replica that counts as the primary because the refusal of BEGIN was
// lost and the reply to ROLLBACK was taken for the one to BEGIN.
TEST_CASE("a reply to ROLLBACK proves no leadership")
{
  CoreFixture fixture;
  std::vector<ConnectionKey> lost;
  for (const auto& [key, member] : fixture.mMemberOf) {
    if (member == "p") {
      lost.push_back(key);
    }
  }
  fixture.Advance(100ms);
  for (const ConnectionKey key : lost) {
    fixture.mCore.OnConnectionFailed(key, fixture.mNow);
  }
  for (const auto& [key, member] : std::exchange(fixture.mOpening, {})) {
    fixture.mCore.OnConnectionFailed(key, fixture.mNow);
  }
  fixture.mSent.clear();
  fixture.OpenSession(1, "main");
  fixture.SendStatement(1, StatementKind::Write, "item data");
  fixture.Advance(100ms);
  fixture.Advance(100ms);
  const CoreFixture::SentCommand begin = fixture.LastSent(CommandKind::Begin);
  fixture.ReplySuccess(begin.mConnection, kUnsigned, TransactionState::Idle, { 1, 6 });
  REQUIRE(fixture.LogLine("primary_proven").empty());
  REQUIRE(fixture.SentCount(CommandKind::Write) == 0);
  REQUIRE(std::count(fixture.mClosedConnections.begin(),
                     fixture.mClosedConnections.end(),
                     begin.mConnection) == 1);
}
