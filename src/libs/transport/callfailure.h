#pragma once

#include "core/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace grpc {
class Status;
}

namespace papayaspindle {

/** Why a gRPC call has no answer. */
struct CallFailure
{
  /** False only when the server certainly did not get the request. */
  bool mSent = true;
  /** The host refused the connection. */
  bool mRefused = false;
  /** The answer arrived and was over this side's limit. */
  bool mAnswerTooLarge = false;
  std::string mMessage;
};

/** Name of the metadata entry with the calling instance's name. */
constexpr const char* kFromMetadata = "x-papayaspindle-from";

/**
 * Classifies a failed call.
 *
 * @param aStatus not OK
 * @param aSent whether the request may have reached the server
 * @param aMaxMessageBytes this side's message limit
 */
CallFailure ClassifyFailure(const grpc::Status& aStatus,
                            bool aSent,
                            std::size_t aMaxMessageBytes);

/**
 * @param aStatus a finished call's status
 * @param aMaxMessageBytes this side's message limit
 * @return whether this side refused an answer over its own limit
 */
bool IsAnswerTooLarge(const grpc::Status& aStatus, std::size_t aMaxMessageBytes);

/**
 * @param aAddress "ip:port" of the server
 * @param aNotSent kind for a call that was not sent
 * @param aSent kind for a call that may have been received
 * @return the error; its message starts with "refused" when the host refused
 */
Error ErrorFor(const CallFailure& aFailure,
               std::string_view aAddress,
               ErrorKind aNotSent,
               ErrorKind aSent);

} // namespace papayaspindle
