#include "standin/memberstate.h"

#include "convert/convert.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace papayaspindle;
using namespace papayaspindle::standin;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{};

v1::SessionRequest
Request(v1::StatementKind aKind, const std::string& aStatement, const std::string& aId)
{
  v1::SessionRequest request;
  request.set_kind(aKind);
  request.set_statement(aStatement);
  request.set_request_id(aId);
  const Result<Statement> parsed = ParseStatement(aStatement);
  request.set_write(IsOk(parsed) && IsWrite(ValueOf(parsed).mVerb));
  return request;
}

/** Runs one request in the member's own term. */
v1::SessionAnswer
Do(MemberState& aMember,
   SessionState& aSession,
   v1::StatementKind aKind,
   const std::string& aStatement = {},
   const std::string& aId = {})
{
  v1::SessionRequest request = Request(aKind, aStatement, aId);
  request.set_term(aMember.Terms().Term());
  return aMember.Run(aSession, request);
}

v1::SessionAnswer
Execute(MemberState& aMember, const std::string& aStatement, const std::string& aId = {})
{
  SessionState session;
  return Do(aMember, session, v1::STATEMENT_KIND_EXECUTE, aStatement, aId);
}

MemberState
Primary(std::uint64_t aTerm)
{
  MemberState member("a", "z1");
  REQUIRE(member.Raise(aTerm, "k"));
  REQUIRE(member.Promote(aTerm, "k"));
  return member;
}

v1::MemberAddress
Address(const std::string& aMember)
{
  v1::MemberAddress address;
  address.set_member(aMember);
  address.set_address("127.0.0.1:1");
  return address;
}

/** One pull: what the follower would get of the primary's log. */
v1::ReplicateBatch
BatchFor(const MemberState& aPrimary, const MemberState& aFollower)
{
  v1::ReplicateBatch batch;
  batch.set_term(aPrimary.Terms().Term());
  const LogPosition common = aPrimary.Log().CommonWith(aFollower.Log().TermEnds());
  *batch.mutable_common() = ToMessage(common);
  for (v1::LogEntry& entry : aPrimary.Log().EntriesAfter(common.mIndex, 1000)) {
    *batch.add_entries() = std::move(entry);
  }
  return batch;
}

void
Replicate(const MemberState& aPrimary, MemberState& aFollower)
{
  REQUIRE(aFollower.Receive(BatchFor(aPrimary, aFollower), kStart));
  aFollower.ApplyDue(kStart, Duration::zero());
}

} // namespace

// Guards against a second effect of a repeated request id.
TEST_CASE("a request id has one outcome", "[standin]")
{
  MemberState member = Primary(1);
  const v1::SessionAnswer first = Execute(member, "INCR n", "id-1");
  CHECK_FALSE(first.repeated());
  const v1::SessionAnswer repeat = Execute(member, "INCR n", "id-1");
  CHECK(repeat.repeated());
  CHECK(repeat.affected() == first.affected());
  CHECK(FromMessage(repeat.position()) == FromMessage(first.position()));
  CHECK(Execute(member, "GET n").rows(0).columns(0) == "1");
  CHECK(Execute(member, "INCR m", "id-1").error() ==
        v1::MEMBER_ERROR_REQUEST_ID_CONFLICT);
  CHECK(member.Log().Last() == LogPosition{ 1, 2 });
}

// Guards against refusals that ran, and against answers of a member in another term.
TEST_CASE("requests are refused before they run", "[standin]")
{
  MemberState primary = Primary(2);
  MemberState replica("b", "z2");
  REQUIRE(replica.Follow(2, Address("a"), kStart));
  MemberState fenced("c", "z3");
  REQUIRE(fenced.Raise(2, "k"));
  struct Case
  {
    MemberState* mMember;
    std::uint64_t mTerm;
    v1::StatementKind mKind;
    const char* mStatement;
    v1::MemberError mError;
  };
  constexpr auto kExecute = v1::STATEMENT_KIND_EXECUTE;
  const Case cases[] = {
    { &primary, 1, kExecute, "PUT k v", v1::MEMBER_ERROR_WRONG_TERM },
    { &primary, 3, kExecute, "GET k", v1::MEMBER_ERROR_WRONG_TERM },
    { &primary, 2, kExecute, "DROP k", v1::MEMBER_ERROR_BAD_STATEMENT },
    { &primary, 2, v1::STATEMENT_KIND_COMMIT, "", v1::MEMBER_ERROR_BAD_STATEMENT },
    { &primary, 1, v1::STATEMENT_KIND_PING, "", v1::MEMBER_ERROR_NONE },
    { &replica, 2, kExecute, "PUT k v", v1::MEMBER_ERROR_NOT_PRIMARY },
    { &replica, 2, kExecute, "GET k", v1::MEMBER_ERROR_NOT_PRIMARY },
    { &replica, 2, v1::STATEMENT_KIND_BEGIN, "", v1::MEMBER_ERROR_NOT_PRIMARY },
    { &fenced, 2, kExecute, "GET k", v1::MEMBER_ERROR_NOT_PRIMARY },
    { &fenced, 1, kExecute, "GET k", v1::MEMBER_ERROR_WRONG_TERM },
  };
  for (const Case& one : cases) {
    CAPTURE(one.mTerm, one.mStatement, one.mMember->Terms().Role());
    v1::SessionRequest request = Request(one.mKind, one.mStatement, "id");
    request.set_term(one.mTerm);
    request.set_sequence(7);
    SessionState session;
    const v1::SessionAnswer answer = one.mMember->Run(session, request);
    CHECK(answer.error() == one.mError);
    CHECK(answer.sequence() == 7);
    CHECK(answer.term() == 2);
    CHECK(one.mMember->Log().Last().mIndex == (one.mMember == &primary ? 1 : 0));
  }
  CHECK(Execute(primary, "ADD k v").error() == v1::MEMBER_ERROR_NONE);
  CHECK(Execute(primary, "ADD k v", "id").error() == v1::MEMBER_ERROR_STATEMENT_FAILED);
  CHECK(primary.Log().Last().mIndex == 2);
}

// Guards against transactions that mix, lose an update or survive a change of term.
TEST_CASE("a transaction is one entry or nothing", "[standin]")
{
  MemberState member = Primary(1);
  SessionState one;
  SessionState two;
  for (SessionState* session : { &one, &two }) {
    Do(member, *session, v1::STATEMENT_KIND_BEGIN);
    Do(member, *session, v1::STATEMENT_KIND_EXECUTE, "INCR n");
    Do(member, *session, v1::STATEMENT_KIND_EXECUTE, "PUT k v");
    const auto own = Do(member, *session, v1::STATEMENT_KIND_EXECUTE, "GET n");
    CHECK(own.rows(0).columns(0) == "1");
  }
  CHECK(Execute(member, "GET n").rows_size() == 0);
  const auto committed = Do(member, one, v1::STATEMENT_KIND_COMMIT, "", "tx-1");
  CHECK(committed.error() == v1::MEMBER_ERROR_NONE);
  CHECK(committed.affected() == 2);
  CHECK(Do(member, two, v1::STATEMENT_KIND_COMMIT, "", "tx-2").error() ==
        v1::MEMBER_ERROR_ABORTED);
  CHECK(member.Log().Last() == LogPosition{ 1, 2 });
  CHECK(member.Log().EntryAt(2).statements_size() == 2);

  // The same transaction again, as after a lost answer.
  Do(member, one, v1::STATEMENT_KIND_BEGIN);
  Do(member, one, v1::STATEMENT_KIND_EXECUTE, "INCR n");
  Do(member, one, v1::STATEMENT_KIND_EXECUTE, "PUT k v");
  CHECK(Do(member, one, v1::STATEMENT_KIND_COMMIT, "", "tx-1").repeated());
  CHECK(Execute(member, "GET n").rows(0).columns(0) == "1");

  Do(member, one, v1::STATEMENT_KIND_BEGIN);
  Do(member, one, v1::STATEMENT_KIND_EXECUTE, "PUT k w");
  REQUIRE(member.Raise(2, "k"));
  REQUIRE(member.Promote(2, "k"));
  CHECK(Do(member, one, v1::STATEMENT_KIND_COMMIT, "", "tx-3").error() ==
        v1::MEMBER_ERROR_ABORTED);
  CHECK(Execute(member, "GET k").rows(0).columns(0) == "v");
}

// Guards against a log whose older entries stay uncertain after a change of primary, and
// against a repeated Promote that marks the term twice.
TEST_CASE("a promotion marks its term in the log once", "[standin]")
{
  MemberState member = Primary(1);
  Execute(member, "PUT k v", "id-1");
  REQUIRE(member.Raise(3, "k"));
  REQUIRE(member.Promote(3, "k"));
  REQUIRE(member.Promote(3, "k"));
  CHECK(member.Log().Last() == LogPosition{ 3, 3 });
  CHECK(member.Applied() == LogPosition{ 3, 3 });
  CHECK(member.Log().EntryAt(3).statements_size() == 0);
  CHECK(member.Log().FindRequest("") == nullptr);
}

// Guards against an old primary's tail that stays visible after it follows the new one.
TEST_CASE("a replica drops what the new primary does not have", "[standin]")
{
  MemberState old = Primary(1);
  MemberState next("b", "z2");
  REQUIRE(next.Follow(1, Address("a"), kStart));
  Execute(old, "PUT k kept", "id-1");
  Replicate(old, next);
  CHECK(Execute(next, "GET k").rows(0).columns(0) == "kept");
  Execute(old, "PUT k lost", "id-2");

  REQUIRE(next.Raise(2, "k"));
  REQUIRE(next.Promote(2, "k"));
  CHECK(Execute(next, "PUT other v", "id-1").error() ==
        v1::MEMBER_ERROR_REQUEST_ID_CONFLICT);
  Execute(next, "PUT other v", "id-3");
  // A batch of the old term is refused, and the tail is not readable before the prefix
  // is agreed.
  CHECK_FALSE(next.Receive(BatchFor(old, next), kStart));
  REQUIRE(old.Follow(2, Address("b"), kStart));
  CHECK(Execute(old, "GET k").error() == v1::MEMBER_ERROR_NOT_PRIMARY);
  Replicate(next, old);
  CHECK(Execute(old, "GET k").rows(0).columns(0) == "kept");
  CHECK(Execute(old, "GET other").rows(0).columns(0) == "v");
  CHECK(old.Log().FindRequest("id-2") == nullptr);
  CHECK(old.Applied() == LogPosition{ 2, 4 });
}

// Guards against reads that see entries before the replication lag has passed.
TEST_CASE("entries are applied after the lag, and at once on promotion", "[standin]")
{
  MemberState primary = Primary(1);
  MemberState replica("b", "z2");
  REQUIRE(replica.Follow(1, Address("a"), kStart));
  Execute(primary, "PUT k v");
  REQUIRE(replica.Receive(BatchFor(primary, replica), kStart));
  CHECK(replica.ApplyDue(kStart, milliseconds(50)) == kStart + milliseconds(50));
  CHECK(replica.Applied().mIndex == 0);
  CHECK(replica.Log().Last().mIndex == 2);
  CHECK(Execute(replica, "GET k").rows_size() == 0);
  CHECK(replica.Status(kStart + milliseconds(30)).primary_silence_ms() == 30);
  CHECK_FALSE(replica.ApplyDue(kStart + milliseconds(50), milliseconds(50)).has_value());
  CHECK(replica.Applied().mIndex == 2);

  Execute(primary, "PUT k w");
  REQUIRE(replica.Receive(BatchFor(primary, replica), kStart));
  REQUIRE(replica.Raise(2, "k"));
  REQUIRE(replica.Promote(2, "k"));
  CHECK(Execute(replica, "GET k").rows(0).columns(0) == "w");
}

// Guards against a restarted member that forgot its term or its log and lets a majority
// promote without an acknowledged write.
TEST_CASE("a member comes back with its term and its log", "[standin]")
{
  std::vector<v1::JournalRecord> journal;
  MemberState member("a", "z1");
  member.SetJournal(
    [&](const v1::JournalRecord& aRecord) { journal.push_back(aRecord); });
  REQUIRE(member.Raise(1, "k"));
  REQUIRE(member.Promote(1, "k"));
  Execute(member, "PUT k kept", "id-1");
  MemberState next("b", "z2");
  REQUIRE(next.Follow(1, Address("a"), kStart));
  REQUIRE(next.Receive(BatchFor(member, next), kStart));
  Execute(member, "PUT k lost", "id-2");
  REQUIRE(next.Raise(2, "k"));
  REQUIRE(next.Promote(2, "k"));
  REQUIRE(member.Follow(2, Address("b"), kStart));
  Replicate(next, member);

  MemberState restored("a", "z1");
  for (const v1::JournalRecord& record : journal) {
    REQUIRE(restored.Restore(record));
  }
  CHECK(restored.Log().Last() == member.Log().Last());
  CHECK(restored.Terms().Term() == 2);
  CHECK(restored.Terms().Role() == v1::MEMBER_ROLE_FENCED);
  CHECK(restored.Log().FindRequest("id-1") != nullptr);
  CHECK(restored.Log().FindRequest("id-2") == nullptr);
  CHECK_FALSE(restored.Raise(2, "other"));
  CHECK_FALSE(restored.Promote(2, "k"));
  REQUIRE(restored.Follow(2, Address("b"), kStart));
  Replicate(next, restored);
  CHECK(Execute(restored, "GET k").rows(0).columns(0) == "kept");
}
