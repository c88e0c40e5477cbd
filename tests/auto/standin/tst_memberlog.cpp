#include "standin/memberlog.h"

#include "convert/convert.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::standin;

namespace {

v1::LogEntry
Entry(const LogPosition& aPosition, const std::string& aRequestId)
{
  v1::LogEntry entry;
  *entry.mutable_position() = ToMessage(aPosition);
  entry.set_request_id(aRequestId);
  return entry;
}

MemberLog
LogOf(const std::vector<std::uint64_t>& aTerms)
{
  MemberLog log;
  for (const std::uint64_t term : aTerms) {
    const LogPosition position{ term, log.Last().mIndex + 1 };
    REQUIRE(log.Append(Entry(position, ToString(position))));
  }
  return log;
}

} // namespace

// Guards against a replica that keeps an old primary's tail or drops entries that agree.
TEST_CASE("the common prefix of two logs ends where their terms part", "[standin]")
{
  struct Case
  {
    std::vector<std::uint64_t> mOwn;
    std::vector<std::uint64_t> mTheirs;
    LogPosition mCommon;
  };
  const Case cases[] = {
    { {}, {}, { 0, 0 } },
    { { 1, 1 }, {}, { 0, 0 } },
    { { 1, 1 }, { 1 }, { 1, 1 } },
    { { 1 }, { 1, 1, 1 }, { 1, 1 } },
    { { 1, 1, 2 }, { 1, 1, 1 }, { 1, 2 } },
    { { 1, 3 }, { 1, 2, 2 }, { 1, 1 } },
    { { 1, 2, 3, 3 }, { 1, 2, 3 }, { 3, 3 } },
    { { 3 }, { 1, 2 }, { 0, 0 } },
  };
  for (const Case& one : cases) {
    const MemberLog own = LogOf(one.mOwn);
    const MemberLog theirs = LogOf(one.mTheirs);
    CAPTURE(one.mOwn, one.mTheirs);
    CHECK(own.CommonWith(theirs.TermEnds()) == one.mCommon);
  }
}

// Guards against request ids that outlive their dropped entry.
TEST_CASE("request ids follow the log", "[standin]")
{
  MemberLog log = LogOf({ 1, 1, 1 });
  log.TruncateAfter(1);
  CHECK(log.FindRequest("1/1") != nullptr);
  CHECK(log.FindRequest("1/2") == nullptr);
  CHECK(log.Last() == LogPosition{ 1, 1 });
  REQUIRE(log.Append(Entry({ 2, 2 }, "1/2")));
  CHECK(log.FindRequest("1/2")->position().term() == 2);
}

TEST_CASE("entries with a gap or of a lower term are refused", "[standin]")
{
  MemberLog log = LogOf({ 2 });
  CHECK_FALSE(log.Append(Entry({ 2, 3 }, "gap")));
  CHECK_FALSE(log.Append(Entry({ 1, 2 }, "lower term")));
  CHECK(log.EntriesAfter(0, 10).size() == 1);
  CHECK(log.EntriesAfter(5, 10).empty());
}
