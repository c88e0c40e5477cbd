#include "core/errorkind.h"

#include <catch2/catch.hpp>

#include <set>

using namespace papayaspindle;

TEST_CASE("each error kind has one row with a unique name", "[core]")
{
  std::set<std::string_view> names;
  for (const ErrorAnswer& row : ErrorAnswers()) {
    CHECK(names.insert(row.mName).second);
    CHECK(ErrorKindFromName(row.mName) == row.mKind);
    CHECK(&AnswerFor(row.mKind) == &row);
  }
}

// Guards against retry advice that makes callers run a request twice.
TEST_CASE("only requests that certainly did not run may be retried without a look-up",
          "[core]")
{
  for (const ErrorAnswer& row : ErrorAnswers()) {
    CAPTURE(row.mName);
    if (row.mExecution == Execution::NotRun) {
      CHECK(row.mRetry != RetryAdvice::LookUpOutcome);
      continue;
    }
    CHECK(row.mRetry != RetryAdvice::Safe);
    CHECK(row.mRetry != RetryAdvice::AfterBackoff);
  }
}

TEST_CASE("an unknown error name has no kind", "[core]")
{
  CHECK_FALSE(ErrorKindFromName("no_such_kind").has_value());
}
