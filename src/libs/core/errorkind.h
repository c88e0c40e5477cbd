#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace papayaspindle {

/** The closed list of errors. Each kind has one row in ErrorAnswers(). */
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

/** Whether the request changed anything in the database group. */
enum class Execution : std::uint8_t
{
  Ran,
  NotRun,
  Unknown,
};

/** What a caller may do after an error. */
enum class RetryAdvice : std::uint8_t
{
  Never,
  Safe,
  AfterBackoff,
  LookUpOutcome,
};

/** One row of the table from error kind to answer. */
struct ErrorAnswer
{
  ErrorKind mKind;
  /** Stable name, as sent in ErrorInfo.kind. */
  std::string_view mName;
  Execution mExecution;
  RetryAdvice mRetry;
  /** Numeric gRPC status code (grpc::StatusCode). */
  int mGrpcStatus;
  /** One sentence for callers. */
  std::string_view mText;
};

/** @return the table, one row for each kind, in the order of ErrorKind */
std::span<const ErrorAnswer> ErrorAnswers();

/**
 * @param aKind an error kind
 * @return its row
 */
const ErrorAnswer& AnswerFor(ErrorKind aKind);

/**
 * @param aName a name from ErrorAnswer::mName
 * @return the kind, or nothing for an unknown name
 */
std::optional<ErrorKind> ErrorKindFromName(std::string_view aName);

} // namespace papayaspindle
