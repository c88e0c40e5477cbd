// Which member runs a statement, by the route's consistency and what is proven.

#include "corefixture.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

// A single read at a primary that has lost the lead would be stale; only a plain
// transaction fails there.
TEST_CASE("a read of a primary route runs in a transaction that proves the lead")
{
  CoreFixture fixture;
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Read, "item");
  const auto begin = fixture.Last(CommandKind::Begin);
  REQUIRE(fixture.MemberOf(begin) == "p");
  REQUIRE(fixture.CountOf(CommandKind::Read) == 0);
  SECTION("the member leads")
  {
    fixture.Succeed(begin.mConnection, kUnsigned, TransactionState::Open);
    REQUIRE(fixture.CountOf(CommandKind::Read) == 1);
    REQUIRE(fixture.CountOf(CommandKind::Rollback) == 1);
    fixture.Succeed(begin.mConnection, "sig", TransactionState::Open);
    REQUIRE_FALSE(fixture.LastAnswer(1).mError);
    REQUIRE(fixture.LastAnswer(1).mState == TransactionState::Idle);
    fixture.Succeed(begin.mConnection, kUnsigned);
  }
  SECTION("the member has lost the lead")
  {
    fixture.Refuse(begin.mConnection, AnswerCode::ReadOnly);
    REQUIRE(fixture.CountOf(CommandKind::Read) == 0);
    REQUIRE(fixture.AnswerCount(1) == 0);
  }
}

TEST_CASE("a bounded read without a sample goes to the primary with a proof of the lead")
{
  CoreFixture fixture;
  fixture.Start(1, "views");
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.MemberOf(fixture.Last(CommandKind::Begin)) == "p");
}

TEST_CASE("a bounded read asks a replica for the oldest position that proves its age")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  fixture.Advance(500ms);
  fixture.SampleByWrite({ 1, 20 });
  fixture.Start(1, "views");
  fixture.Say(1, StatementKind::Read, "item");
  const auto read = fixture.Last(CommandKind::Read);
  REQUIRE(fixture.MemberOf(read) != "p");
  REQUIRE(read.mCommand.mAfter == LogPosition{ 1, 10 });
  fixture.Succeed(read.mConnection, "sig");
  // The first sample is too old now; the second is not.
  fixture.Advance(1100ms);
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.Last(CommandKind::Read).mCommand.mAfter == LogPosition{ 1, 20 });
}

TEST_CASE("a session's read requires its own last commit")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  fixture.Start(1, "ledger");
  fixture.Say(1, StatementKind::Write, "item data");
  const auto write = fixture.Last(CommandKind::Write);
  REQUIRE(fixture.MemberOf(write) == "p");
  fixture.Succeed(write.mConnection, "sig", TransactionState::Idle, { 1, 30 });
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.Last(CommandKind::Read).mCommand.mAfter == LogPosition{ 1, 30 });
}

// After a promotion the position of a commit that was rolled back is in no log.
TEST_CASE("a commit of an older term is covered by the first position of the newer one")
{
  CoreFixture fixture;
  fixture.Start(1, "ledger");
  fixture.Say(1, StatementKind::Write, "item data");
  fixture.Succeed(fixture.Last(CommandKind::Write).mConnection,
                  "sig",
                  TransactionState::Idle,
                  { 1, 30 });
  fixture.SampleByWrite({ 2, 28 });
  fixture.Advance(1600ms);
  fixture.AnswerSamples({ 2, 29 });
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.Last(CommandKind::Read).mCommand.mAfter == LogPosition{ 2, 29 });
}

TEST_CASE(
  "a replica that lacks the position is left, and the read goes elsewhere at once")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  fixture.Start(1, "views");
  fixture.Say(1, StatementKind::Read, "item");
  const auto first = fixture.Last(CommandKind::Read);
  fixture.Refuse(first.mConnection, AnswerCode::Lagging);
  const auto second = fixture.Last(CommandKind::Read);
  REQUIRE(fixture.MemberOf(first) != fixture.MemberOf(second));
  REQUIRE(fixture.AnswerCount(1) == 0);
}

TEST_CASE("draining and unlisted members get no reads")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  fixture.mEntries[1].mDraining = true;
  fixture.mEntries[1].mRevision = 11;
  fixture.mEntries.erase(fixture.mEntries.begin() + 2);
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  fixture.Start(1, "views");
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.MemberOf(fixture.Last(CommandKind::Read)) == "p");
}

TEST_CASE("a member whose entry names another group gets nothing more of the old one")
{
  CoreFixture fixture;
  fixture.SampleByWrite({ 1, 10 });
  for (std::size_t index = 1; index <= 2; index++) {
    fixture.mEntries[index].mGroup = "other";
    fixture.mEntries[index].mRevision = 12;
  }
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  fixture.Start(1, "views");
  fixture.Say(1, StatementKind::Read, "item");
  REQUIRE(fixture.MemberOf(fixture.Last(CommandKind::Read)) == "p");
  fixture.mEntries.resize(1);
  fixture.mCore.OnDirectory(fixture.mEntries, fixture.mNow);
  fixture.Advance(10s);
  REQUIRE(fixture.mCore.ReplicasOf("group").empty());
}

TEST_CASE("a member that answers under another id gets nothing until its entry changes")
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

// Guards against a group that waits for the store although it has a new primary.
TEST_CASE("a new primary is found while the directory names one that can't be reached")
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
  fixture.Start(1, "main");
  fixture.Say(1, StatementKind::Write, "item data");
  fixture.Advance(100ms);
  fixture.Advance(100ms);
  // All others are asked; one of them leads.
  const std::vector<CoreFixture::Sent> asked = std::exchange(fixture.mSent, {});
  for (const CoreFixture::Sent& sent : asked) {
    const bool leads = fixture.MemberOf(sent) == "r1";
    if (sent.mCommand.mKind == CommandKind::Begin && leads) {
      fixture.Succeed(sent.mConnection, kUnsigned, TransactionState::Open, { 2, 6 });
    } else if (sent.mCommand.mKind == CommandKind::Begin) {
      fixture.Refuse(sent.mConnection, AnswerCode::ReadOnly);
    } else if (leads) {
      fixture.Succeed(sent.mConnection, kUnsigned, TransactionState::Idle, { 2, 6 });
    } else {
      fixture.Refuse(sent.mConnection, AnswerCode::BadMessage);
    }
  }
  fixture.Advance(100ms);
  REQUIRE(fixture.MemberOf(fixture.Last(CommandKind::Write)) == "r1");
}
