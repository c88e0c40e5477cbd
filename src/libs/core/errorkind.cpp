#include "core/errorkind.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace papayaspindle {

namespace {

// Numeric values of grpc::StatusCode, so that the decision modules do not depend on gRPC.
constexpr int kGrpcInvalidArgument = 3;
constexpr int kGrpcDeadlineExceeded = 4;
constexpr int kGrpcNotFound = 5;
constexpr int kGrpcPermissionDenied = 7;
constexpr int kGrpcResourceExhausted = 8;
constexpr int kGrpcFailedPrecondition = 9;
constexpr int kGrpcAborted = 10;
constexpr int kGrpcInternal = 13;
constexpr int kGrpcUnavailable = 14;

using Kind = ErrorKind;
using Retry = RetryAdvice;

constexpr std::array kAnswers{
  ErrorAnswer{ Kind::MalformedRequest,
               "malformed_request",
               Execution::NotRun,
               Retry::Never,
               kGrpcInvalidArgument,
               "the request is malformed" },
  ErrorAnswer{ Kind::StatementTooLarge,
               "statement_too_large",
               Execution::NotRun,
               Retry::Never,
               kGrpcInvalidArgument,
               "the statement is too large" },
  ErrorAnswer{ Kind::AnswerTooLarge,
               "answer_too_large",
               Execution::Ran,
               Retry::Never,
               kGrpcResourceExhausted,
               "the answer is too large" },
  ErrorAnswer{ Kind::UnknownGroup,
               "unknown_group",
               Execution::NotRun,
               Retry::Never,
               kGrpcNotFound,
               "the database group does not exist" },
  ErrorAnswer{
    Kind::UnknownTransaction,
    "unknown_transaction",
    Execution::NotRun,
    Retry::Never,
    kGrpcNotFound,
    "the transaction is not open; its changes were rolled back unless it was committed" },
  ErrorAnswer{ Kind::BadSessionToken,
               "bad_session_token",
               Execution::NotRun,
               Retry::Never,
               kGrpcInvalidArgument,
               "the session token is damaged or forged" },
  ErrorAnswer{ Kind::RequestIdConflict,
               "request_id_conflict",
               Execution::NotRun,
               Retry::Never,
               kGrpcFailedPrecondition,
               "the request id was used for another statement" },
  ErrorAnswer{ Kind::RevisionConflict,
               "revision_conflict",
               Execution::NotRun,
               Retry::Never,
               kGrpcAborted,
               "the configuration has another revision" },
  ErrorAnswer{ Kind::InvalidChange,
               "invalid_change",
               Execution::NotRun,
               Retry::Never,
               kGrpcInvalidArgument,
               "the configuration change is not valid" },
  ErrorAnswer{ Kind::StatementFailed,
               "statement_failed",
               Execution::Ran,
               Retry::Never,
               kGrpcFailedPrecondition,
               "the statement ran and failed; it changed nothing" },
  ErrorAnswer{ Kind::TransactionAborted,
               "transaction_aborted",
               Execution::NotRun,
               Retry::AfterBackoff,
               kGrpcAborted,
               "the transaction was rolled back" },
  ErrorAnswer{ Kind::NoPrimary,
               "no_primary",
               Execution::NotRun,
               Retry::AfterBackoff,
               kGrpcUnavailable,
               "the database group has no reachable primary" },
  ErrorAnswer{ Kind::NoFreshReplica,
               "no_fresh_replica",
               Execution::NotRun,
               Retry::AfterBackoff,
               kGrpcUnavailable,
               "no member can prove data of the stated age" },
  ErrorAnswer{ Kind::Overloaded,
               "overloaded",
               Execution::NotRun,
               Retry::AfterBackoff,
               kGrpcResourceExhausted,
               "the instance is overloaded" },
  ErrorAnswer{ Kind::DeadlineBeforeStart,
               "deadline_before_start",
               Execution::NotRun,
               Retry::Safe,
               kGrpcDeadlineExceeded,
               "the deadline passed before the statement was sent" },
  ErrorAnswer{ Kind::ConnectionLimit,
               "connection_limit",
               Execution::NotRun,
               Retry::AfterBackoff,
               kGrpcResourceExhausted,
               "the database group's connection limit is reached" },
  ErrorAnswer{ Kind::Draining,
               "draining",
               Execution::NotRun,
               Retry::Safe,
               kGrpcUnavailable,
               "the instance is shutting down" },
  ErrorAnswer{ Kind::PeerUnreachable,
               "peer_unreachable",
               Execution::NotRun,
               Retry::AfterBackoff,
               kGrpcUnavailable,
               "no home of the database group can be reached" },
  ErrorAnswer{ Kind::PeerNotTrusted,
               "peer_not_trusted",
               Execution::NotRun,
               Retry::Never,
               kGrpcPermissionDenied,
               "the peer has no valid certificate" },
  ErrorAnswer{ Kind::StoreUnavailable,
               "store_unavailable",
               Execution::NotRun,
               Retry::AfterBackoff,
               kGrpcUnavailable,
               "the platform's store does not answer" },
  ErrorAnswer{ Kind::MemberUnreachable,
               "member_unreachable",
               Execution::NotRun,
               Retry::AfterBackoff,
               kGrpcUnavailable,
               "the backend server cannot be reached" },
  ErrorAnswer{ Kind::StaleTerm,
               "stale_term",
               Execution::NotRun,
               Retry::Safe,
               kGrpcUnavailable,
               "the backend server is in another term" },
  ErrorAnswer{ Kind::OutcomeUnknown,
               "outcome_unknown",
               Execution::Unknown,
               Retry::LookUpOutcome,
               kGrpcDeadlineExceeded,
               "the request may have run; look its outcome up by request id" },
  ErrorAnswer{ Kind::Internal,
               "internal",
               Execution::Unknown,
               Retry::LookUpOutcome,
               kGrpcInternal,
               "an internal error; the request may have run" },
};

constexpr bool
TableIsInOrder()
{
  for (std::size_t i = 0; i < kAnswers.size(); ++i) {
    if (static_cast<std::size_t>(kAnswers[i].mKind) != i) {
      return false;
    }
  }
  return kAnswers.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1;
}

static_assert(TableIsInOrder(), "each error kind needs its row, in order");

} // namespace

std::span<const ErrorAnswer>
ErrorAnswers()
{
  return kAnswers;
}

const ErrorAnswer&
AnswerFor(ErrorKind aKind)
{
  return kAnswers[static_cast<std::size_t>(aKind)];
}

std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName)
{
  const auto* row =
    std::find_if(kAnswers.begin(), kAnswers.end(), [&](const ErrorAnswer& aRow) {
      return aRow.mName == aName;
    });
  if (row == kAnswers.end()) {
    return std::nullopt;
  }
  return row->mKind;
}

} // namespace papayaspindle
