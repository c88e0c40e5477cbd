#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace papayaspindle {

/** Kinds of errors. Each kind has one row in ErrorAnswers(). */
enum class ErrorKind : std::uint8_t
{
  MalformedRequest,
  StatementTooLarge,
  AnswerTooLarge,
  UnknownGroup,
  UnknownTransaction,
  BadSessionToken,
  RequestIdConflict,
  RevisionConflict,
  InvalidChange,
  StatementFailed,
  TransactionAborted,
  NoPrimary,
  NoFreshReplica,
  Overloaded,
  DeadlineBeforeStart,
  ConnectionLimit,
  Draining,
  PeerUnreachable,
  PeerNotTrusted,
  StoreUnavailable,
  MemberUnreachable,
  StaleTerm,
  OutcomeUnknown,
  Internal,
};

/** Whether a failed request was executed in the database group. */
enum class Execution : std::uint8_t
{
  Ran,
  NotRun,
  Unknown,
};

/** Whether a caller may retry a request after an error. */
enum class RetryAdvice : std::uint8_t
{
  Never,
  /** Retry immediately. */
  Safe,
  AfterBackoff,
  /** Look up the outcome by the request id before a retry. */
  LookUpOutcome,
};

/** The answer to callers for one kind of error. */
struct ErrorAnswer
{
  ErrorKind mKind;
  /** Stable name that is sent in ErrorInfo.kind. */
  std::string_view mName;
  Execution mExecution;
  RetryAdvice mRetry;
  /** Numeric gRPC status code (grpc::StatusCode). */
  int mGrpcStatus;
  /** Message for callers. */
  std::string_view mText;
};

/** @return the answers for all kinds, in the order of ErrorKind */
std::span<const ErrorAnswer> ErrorAnswers();

/** @return the answer for the kind */
const ErrorAnswer& AnswerFor(ErrorKind aKind);

/**
 * @param aName a name from ErrorAnswer::mName
 * @return the kind; nothing for an unknown name
 */
std::optional<ErrorKind> ErrorKindFromName(std::string_view aName);

} // namespace papayaspindle
