#include "experiment/readchecker.h"

#include "experiment/registerhistory.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace papayaspindle;
using namespace papayaspindle::experiment;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{};

v1::ExecuteReply
Reply(const std::vector<std::string>& aRows)
{
  v1::ExecuteReply reply;
  for (const std::string& row : aRows) {
    reply.add_rows()->add_columns(row);
  }
  return reply;
}

} // namespace

// Guards against a checker that accepts an answer older than the rule, without the
// session's own write, or to another request.
TEST_CASE("a read is checked against time, session and register", "[experiment]")
{
  RegisterHistory history;
  // Versions 1 and 2 were acknowledged at 1000 and 2000 ms; version 3 is under way.
  for (const int version : { 1, 2 }) {
    REQUIRE(history.BeginVersion("k") == version);
    history.AcknowledgeVersion("k", version, kStart + milliseconds(1000 * version));
  }
  REQUIRE(history.BeginVersion("k") == 3);
  REQUIRE_FALSE(history.BeginVersion("k").has_value());
  struct Case
  {
    const char* mName;
    std::vector<std::string> mRows;
    int mSentAtMs;
    int mAgeMs;
    std::uint64_t mOwn;
    ReadVerdict mVerdict;
  };
  const std::vector<Case> cases = {
    { "newest", { "k#2" }, 2000, 0, 0, ReadVerdict::Good },
    { "under way", { "k#3" }, 2000, 0, 0, ReadVerdict::Good },
    { "stale", { "k#1" }, 2000, 0, 0, ReadVerdict::Stale },
    { "before the acknowledgement", { "k#1" }, 1999, 0, 0, ReadVerdict::Good },
    { "within the age", { "k#1" }, 2500, 501, 0, ReadVerdict::Good },
    { "beyond the age", { "k#1" }, 2500, 500, 0, ReadVerdict::Stale },
    { "no row yet", {}, 999, 0, 0, ReadVerdict::Good },
    { "row is missing", {}, 1000, 0, 0, ReadVerdict::Stale },
    { "own write missing", { "k#1" }, 2500, 9000, 2, ReadVerdict::OwnWriteMissing },
    { "own row missing", {}, 2500, 9000, 1, ReadVerdict::OwnWriteMissing },
    { "never written", { "k#4" }, 2500, 0, 0, ReadVerdict::Impossible },
    { "another's answer", { "kk#2" }, 2500, 9000, 0, ReadVerdict::Impossible },
    { "mixed answer", { "k#2", "k#2" }, 2500, 0, 0, ReadVerdict::Impossible },
    { "torn answer", { "k#" }, 2500, 9000, 0, ReadVerdict::Impossible },
  };
  Operation read;
  read.mRegister = "k";
  for (const Case& one : cases) {
    CAPTURE(one.mName);
    read.mMaxStaleness = milliseconds(one.mAgeMs);
    const TimePoint sentAt = kStart + milliseconds(one.mSentAtMs);
    CHECK(CheckRead(read, Reply(one.mRows), sentAt, one.mOwn, history) == one.mVerdict);
  }
}

// Guards against a count that forgets acknowledged keys.
TEST_CASE("a count covers the acknowledged keys below a prefix", "[experiment]")
{
  RegisterHistory history;
  Operation read;
  read.mKind = RegisterKind::Count;
  read.mRegister = "p/";
  for (int i = 0; i < 3; ++i) {
    history.AttemptAdd("p/");
  }
  history.AcknowledgeAdd("p/", kStart + milliseconds(20));
  history.AcknowledgeAdd("p/", kStart + milliseconds(10));
  const auto verdict = [&](const char* aCount, int aSentAtMs) {
    return CheckRead(
      read, Reply({ aCount }), kStart + milliseconds(aSentAtMs), 0, history);
  };
  CHECK(verdict("0", 19) == ReadVerdict::Good);
  CHECK(verdict("1", 20) == ReadVerdict::Stale);
  CHECK(verdict("2", 20) == ReadVerdict::Good);
  CHECK(verdict("3", 20) == ReadVerdict::Good);
  CHECK(verdict("4", 20) == ReadVerdict::Impossible);
}

// Guards against a late write of unknown outcome that looks like a stale read.
TEST_CASE("a register with a write of unknown outcome gets no more writes",
          "[experiment]")
{
  RegisterHistory history;
  REQUIRE(history.BeginVersion("k").has_value());
  history.AbandonVersion("k");
  REQUIRE(history.BeginVersion("k") == 2);
  history.Retire("k");
  CHECK_FALSE(history.BeginVersion("k").has_value());
  CHECK(history.Attempted("k") == 2);
  CHECK(history.AcknowledgedBy("k", kStart + milliseconds(1)) == 0);
}
