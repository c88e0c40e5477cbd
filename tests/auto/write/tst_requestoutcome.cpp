#include "decision/write/requestoutcome.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace papayaspindle;

namespace {

FindRequestReport
Absent(const char* aMember, std::uint64_t aTerm, LogPosition aLast)
{
  return { MemberId(aMember), aTerm, aLast };
}

FindRequestReport
Found(const char* aMember, std::uint64_t aTerm, LogPosition aLast)
{
  return { MemberId(aMember), aTerm, aLast, true, { 1, 5 }, 2 };
}

struct OutcomeCase
{
  const char* mName;
  std::optional<std::uint64_t> mSentTerm;
  std::vector<FindRequestReport> mReports;
  Execution mExecution;
};

} // namespace

// Guards against an outcome that turns out wrong after a delayed request arrives or after
// a later failover.
TEST_CASE("an outcome is reported only when it can no longer change", "[write]")
{
  const std::vector<OutcomeCase> cases{
    { "no answer", 1, {}, Execution::Unknown },
    { "found on a majority of its term",
      1,
      { Found("a", 1, { 1, 5 }), Found("b", 1, { 1, 6 }) },
      Execution::Ran },
    { "found on one member", 1, { Found("a", 1, { 1, 5 }) }, Execution::Unknown },
    { "found twice on one member",
      1,
      { Found("a", 1, { 1, 5 }), Found("a", 1, { 1, 6 }) },
      Execution::Unknown },
    { "found on members of two terms",
      1,
      { Found("a", 1, { 1, 5 }), Found("b", 2, { 1, 5 }) },
      Execution::Unknown },
    { "found on a majority in a later term that holds no entry of that term",
      1,
      { Found("a", 3, { 1, 5 }), Found("c", 3, { 1, 5 }) },
      Execution::Unknown },
    { "found on a majority that holds an entry of the later term",
      1,
      { Found("a", 3, { 3, 6 }), Found("c", 3, { 3, 7 }) },
      Execution::Ran },
    { "absent in the term in which it was sent: the request may still arrive",
      1,
      { Absent("a", 1, { 1, 4 }), Absent("b", 1, { 1, 4 }), Absent("c", 1, { 1, 4 }) },
      Execution::Unknown },
    { "absent in a higher term that has no entry: a fence may still choose an older log",
      1,
      { Absent("b", 2, { 1, 4 }), Absent("c", 2, { 1, 4 }) },
      Execution::Unknown },
    { "absent on a majority that holds an entry of a higher term",
      1,
      { Absent("b", 2, { 2, 5 }), Absent("c", 2, { 2, 5 }) },
      Execution::NotRun },
    { "absent on one member only", 1, { Absent("b", 2, { 2, 5 }) }, Execution::Unknown },
    { "absent, but also sent in the higher term",
      2,
      { Absent("b", 2, { 2, 5 }), Absent("c", 2, { 2, 5 }) },
      Execution::Unknown },
    { "absent, but the term in which it was sent is unknown",
      std::nullopt,
      { Absent("b", 2, { 2, 5 }), Absent("c", 2, { 2, 5 }) },
      Execution::Unknown },
    { "absent on the new majority, present on the old primary",
      1,
      { Found("a", 1, { 1, 5 }), Absent("b", 2, { 2, 5 }), Absent("c", 2, { 2, 5 }) },
      Execution::NotRun },
  };
  for (const OutcomeCase& row : cases) {
    CAPTURE(row.mName);
    const RequestOutcome outcome = DecideOutcome(row.mSentTerm, 3, row.mReports);
    CHECK(outcome.mExecution == row.mExecution);
    const bool ran = row.mExecution == Execution::Ran;
    CHECK(outcome.mPosition == (ran ? LogPosition{ 1, 5 } : LogPosition{}));
    CHECK(outcome.mAffected == (ran ? 2U : 0U));
  }
}
