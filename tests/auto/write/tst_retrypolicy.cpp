#include "decision/write/retrypolicy.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

using Class = RequestClass;
using Knowledge = SendOutcome;

const TimePoint kStart{ 10s };

RetryPolicy
PolicyFor(Class aClass, Duration aTimeLeft, const RetrySettings& aSettings = {})
{
  return { aClass, kStart + aTimeLeft, aSettings, std::mt19937_64(7) };
}

struct RetryCase
{
  Class mClass;
  std::vector<Knowledge> mAttempts;
  bool mAgain;
  Execution mExecution;
};

} // namespace

// Guards against running a write twice, and against reporting "not run" after a lost
// answer.
TEST_CASE("only reads and writes with a request id are retried after a lost answer",
          "[write]")
{
  const auto unknown = Execution::Unknown;
  const auto notRun = Execution::NotRun;
  const std::vector<RetryCase> cases{
    { Class::Read, { Knowledge::MaybeSent }, true, unknown },
    { Class::WriteWithId, { Knowledge::NothingSent }, true, notRun },
    { Class::WriteWithId, { Knowledge::MaybeSent }, true, unknown },
    { Class::WriteWithId,
      { Knowledge::MaybeSent, Knowledge::RefusedBeforeRun },
      true,
      unknown },
    { Class::WriteWithoutId, { Knowledge::NothingSent }, true, notRun },
    { Class::WriteWithoutId, { Knowledge::RefusedBeforeRun }, true, notRun },
    { Class::WriteWithoutId, { Knowledge::MaybeSent }, false, unknown },
    { Class::WriteWithoutId,
      { Knowledge::MaybeSent, Knowledge::NothingSent },
      false,
      unknown },
    { Class::TransactionStatement, { Knowledge::NothingSent }, false, notRun },
    { Class::TransactionStatement, { Knowledge::MaybeSent }, false, notRun },
    { Class::Commit, { Knowledge::RefusedBeforeRun }, false, notRun },
    { Class::Commit, { Knowledge::MaybeSent }, false, unknown },
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    RetryPolicy policy = PolicyFor(cases[i].mClass, 5s);
    RetryDecision decision;
    for (const Knowledge knowledge : cases[i].mAttempts) {
      decision = policy.OnFailure(knowledge, kStart);
    }
    CHECK(decision.mMayRetry == cases[i].mAgain);
    CHECK(decision.mExecution == cases[i].mExecution);
  }
}

// Guards against attempts that cannot be answered in time, and against retry storms.
TEST_CASE("pauses grow with jitter and attempts stop before the deadline", "[write]")
{
  RetryPolicy policy = PolicyFor(Class::Read, 7s);
  TimePoint now = kStart;
  Duration expected = 10ms;
  for (int i = 0; i < 10; ++i) {
    const RetryDecision decision = policy.OnFailure(Knowledge::NothingSent, now);
    REQUIRE(decision.mMayRetry);
    CHECK(decision.mPause >= expected / 2);
    CHECK(decision.mPause <= expected);
    expected = std::min<Duration>(expected * 2, 250ms);
  }
  CHECK_FALSE(policy.OnFailure(Knowledge::NothingSent, kStart + 6990ms).mMayRetry);
  RetryPolicy twoAttempts = PolicyFor(Class::Read, 7s, { 2 });
  CHECK(twoAttempts.OnFailure(Knowledge::NothingSent, now).mMayRetry);
  CHECK_FALSE(twoAttempts.OnFailure(Knowledge::NothingSent, now).mMayRetry);
}

// Guards against retrying requests that would fail again, and against retries that add
// load to an overloaded instance.
TEST_CASE("only unreachable receivers, stale terms and lost answers lead to a retry",
          "[write]")
{
  CHECK(SendOutcomeOf(ErrorKind::MemberUnreachable) == Knowledge::NothingSent);
  CHECK(SendOutcomeOf(ErrorKind::StaleTerm) == Knowledge::RefusedBeforeRun);
  CHECK(SendOutcomeOf(ErrorKind::OutcomeUnknown) == Knowledge::MaybeSent);
  CHECK_FALSE(SendOutcomeOf(ErrorKind::Overloaded));
  CHECK_FALSE(SendOutcomeOf(ErrorKind::StatementFailed));
  for (const ErrorAnswer& row : ErrorAnswers()) {
    const auto knowledge = SendOutcomeOf(row.mKind);
    const bool certain = knowledge && *knowledge != Knowledge::MaybeSent;
    CHECK((!certain || row.mExecution == Execution::NotRun));
  }
}
