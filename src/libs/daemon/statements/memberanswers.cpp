#include "daemon/statements/memberanswers.h"

namespace papayaspindle {

std::optional<Error>
ErrorIn(const v1::SessionAnswer& aAnswer)
{
  switch (aAnswer.error()) {
    case v1::MEMBER_ERROR_NONE:
      return std::nullopt;
    case v1::MEMBER_ERROR_WRONG_TERM:
    case v1::MEMBER_ERROR_NOT_PRIMARY:
    case v1::MEMBER_ERROR_LEAVING:
      return Error{ ErrorKind::StaleTerm, aAnswer.message() };
    case v1::MEMBER_ERROR_TOO_MANY_CONNECTIONS:
      return Error{ ErrorKind::ConnectionLimit, aAnswer.message() };
    case v1::MEMBER_ERROR_REQUEST_ID_CONFLICT:
      return Error{ ErrorKind::RequestIdConflict, aAnswer.message() };
    case v1::MEMBER_ERROR_STATEMENT_FAILED:
      return Error{ ErrorKind::StatementFailed, aAnswer.message() };
    case v1::MEMBER_ERROR_BAD_STATEMENT:
      return Error{ ErrorKind::MalformedRequest, aAnswer.message() };
    case v1::MEMBER_ERROR_ABORTED:
      return Error{ ErrorKind::TransactionAborted, aAnswer.message() };
    default:
      // An error of a later schema says nothing that this version can rely on.
      return Error{ ErrorKind::OutcomeUnknown, aAnswer.message() };
  }
}

} // namespace papayaspindle
