#include "transport/callfailure.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

namespace papayaspindle {

CallFailure
ClassifyFailure(const grpc::Status& aStatus, bool aSent, std::size_t aMaxMessageBytes)
{
  CallFailure failure;
  failure.mSent = aSent;
  failure.mRefused =
    !aSent && aStatus.error_message().find("Connection refused") != std::string::npos;
  failure.mAnswerTooLarge = aSent && IsAnswerTooLarge(aStatus, aMaxMessageBytes);
  failure.mMessage = fmt::format("{} (gRPC status {})",
                                 aStatus.error_message(),
                                 static_cast<int>(aStatus.error_code()));
  return failure;
}

bool
IsAnswerTooLarge(const grpc::Status& aStatus, std::size_t aMaxMessageBytes)
{
  // A server that refuses a request for its size answers with the same code. Its limit
  // differs from ours, because requests over our own limit are not sent.
  return aStatus.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED &&
         aStatus.error_message().find(fmt::format("vs. {})", aMaxMessageBytes)) !=
           std::string::npos;
}

Error
ErrorFor(const CallFailure& aFailure,
         std::string_view aAddress,
         ErrorKind aNotSent,
         ErrorKind aSent)
{
  const auto error = [&](ErrorKind aKind, const char* aWhat) {
    return Error{ aKind, fmt::format("{} {}: {}", aWhat, aAddress, aFailure.mMessage) };
  };
  if (aFailure.mAnswerTooLarge) {
    return error(ErrorKind::AnswerTooLarge, "too large an answer from");
  }
  if (aFailure.mSent) {
    return error(aSent, "no answer from");
  }
  if (aFailure.mRefused) {
    return error(aNotSent, "refused by");
  }
  return error(aNotSent, "no connection to");
}

} // namespace papayaspindle
