#pragma once

#include "core/errorkind.h"
#include "core/hooks.h"
#include "core/timetypes.h"

#include <cstdint>
#include <optional>

namespace papayaspindle {

/** Kind of a request, as far as it determines whether the request may be retried. */
enum class RequestClass : std::uint8_t
{
  Read,
  /** A write whose request id prevents it from being executed twice. */
  WriteWithId,
  WriteWithoutId,
  /** A statement in an open transaction; it can run only on the transaction's connection.
   */
  TransactionStatement,
  /** The commit of a transaction; it can run only on the transaction's connection. */
  Commit,
};

/** What is known about the delivery of a request in a failed attempt. */
enum class SendOutcome : std::uint8_t
{
  NothingSent,
  /** The receiver answered that it refused the request without running it. */
  RefusedBeforeRun,
  MaybeSent,
};

/**
 * @param aKind error with which an attempt failed
 * @return what is known about the attempt; nothing when the request must not be retried
 * because it would fail again or would add load to an overloaded instance
 */
std::optional<SendOutcome> SendOutcomeOf(ErrorKind aKind);

/** Limits of the attempts and pauses between them. */
struct RetrySettings
{
  /** Enough attempts, with pauses of up to mBackoffMax, to outlast a failover of 7 s.
   */
  std::uint32_t mMaxAttempts = 40;
  std::chrono::milliseconds mBackoffMin{ 10 };
  std::chrono::milliseconds mBackoffMax{ 250 };
  /** Minimum time that an attempt must have between its start and the deadline. */
  std::chrono::milliseconds mMinAttemptTime{ 5 };
};

/** Decision after a failed attempt. */
struct RetryDecision
{
  /** Whether to send the request again. */
  bool mMayRetry = false;
  /** Pause before the next attempt. */
  Duration mPause{};
  /** NotRun if no attempt so far can have run the request, otherwise Unknown. */
  Execution mExecution = Execution::NotRun;
};

/**
 * Decides after each failed attempt whether a request may be sent again.
 *
 * A request that may already have been sent is sent again only if it is a read or a write
 * with a request id. After one attempt that may have run the request, the outcome stays
 * unknown even if a later attempt is refused, because that refusal says nothing about the
 * earlier attempt.
 */
class RetryPolicy
{
public:
  RetryPolicy(RequestClass aClass,
              TimePoint aDeadline,
              const RetrySettings& aSettings,
              RandomHook aRandom);

  /**
   * @param aKnowledge what is known about the failed attempt
   * @param aNow current time
   * @return whether and when to send the request again
   */
  RetryDecision OnFailure(SendOutcome aKnowledge, TimePoint aNow);

  /** @return NotRun if no failed attempt can have run the request, otherwise Unknown */
  [[nodiscard]] Execution ExecutionSoFar() const;

private:
  [[nodiscard]] bool MayRetry() const;
  Duration NextBackoff();

  RequestClass mClass;
  TimePoint mDeadline;
  RetrySettings mSettings;
  RandomHook mRandom;
  std::uint32_t mAttempts = 0;
  bool mMaybeSent = false;
};

} // namespace papayaspindle
