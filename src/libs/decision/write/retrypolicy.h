#pragma once

#include "core/errorkind.h"
#include "core/hooks.h"
#include "core/timetypes.h"

#include <cstdint>
#include <optional>

namespace papayaspindle {

/** What a request is, as far as sending it again is concerned. */
enum class RequestClass : std::uint8_t
{
  Read,
  WriteWithId,
  WriteWithoutId,
  /** A statement inside an open transaction; bound to the transaction's connection. */
  TransactionStatement,
  /** The commit of a transaction; bound to the transaction's connection. */
  Commit,
};

/** What is known of a failed attempt. */
enum class SendKnowledge : std::uint8_t
{
  NothingSent,
  /** The receiver answered that it refused before running. */
  RefusedBeforeRun,
  MaybeSent,
};

/**
 * @param aKind error of an attempt
 * @return what it says of the attempt, or nothing when another attempt cannot help or
 * would add load to an overloaded instance
 */
std::optional<SendKnowledge> KnowledgeOf(ErrorKind aKind);

/** Limits and pauses of attempts. */
struct RetrySettings
{
  /** Enough attempts at the longest pause to last through a failover of 7 s. */
  std::uint32_t mMaxAttempts = 40;
  std::chrono::milliseconds mFirstPause{ 10 };
  std::chrono::milliseconds mLongestPause{ 250 };
  /** Time that must be left for an attempt after its pause. */
  std::chrono::milliseconds mLeastAttempt{ 5 };
};

/** What to do after a failed attempt. */
struct RetryDecision
{
  bool mAgain = false;
  /** Pause before the next attempt. */
  Duration mAfter{};
  /** What all attempts so far did together; never Ran. */
  Execution mExecution = Execution::NotRun;
};

/**
 * Decides whether one request may be sent again.
 *
 * Nothing that may have been sent is sent again unless it is a read or an id protects it.
 * One attempt that may have run keeps the request's outcome unknown: a refusal of a later
 * attempt says nothing of an earlier one.
 */
class RetryPolicy
{
public:
  RetryPolicy(RequestClass aClass,
              TimePoint aDeadline,
              const RetrySettings& aSettings,
              RandomHook aRandom);

  /**
   * @param aKnowledge what is known of the attempt that failed
   * @param aNow current time
   */
  RetryDecision OnFailure(SendKnowledge aKnowledge, TimePoint aNow);

  /** @return what the failed attempts did together; never Ran */
  [[nodiscard]] Execution ExecutionSoFar() const;

private:
  [[nodiscard]] bool MayRepeat() const;
  Duration NextPause();

  RequestClass mClass;
  TimePoint mDeadline;
  RetrySettings mSettings;
  RandomHook mRandom;
  std::uint32_t mAttempts = 0;
  bool mMaybeSent = false;
};

} // namespace papayaspindle
