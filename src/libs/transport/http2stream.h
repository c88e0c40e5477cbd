#pragma once

#include "core/error.h"
#include "interfaces/peerhandlers.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace papayaspindle {

/** State of one request and its reply on one side of an HTTP/2 connection. */
struct Http2Stream
{
  std::int32_t mId = 0;
  std::string mMethod;
  std::string mTraceparent;
  /** Received status of the reply. */
  std::string mStatus;
  /** Received body and its check. */
  std::string mBody;
  std::string mCheck;
  /** Whole message received. */
  bool mComplete = false;
  /** The received body is over the limit; mBody is no longer filled. */
  bool mTooLarge = false;
  /** Client: the request was written. */
  bool mWritten = false;
  /** Server: the reply was submitted. */
  bool mAnswered = false;
  /** Body to send, how much of it was taken, and its check. */
  std::string mOutgoing;
  std::size_t mTaken = 0;
  std::string mOutgoingCheck;

  /** @return bytes that the stream occupies: header fields, bodies and its state */
  [[nodiscard]] std::size_t HeldBytes() const;
  /** Takes one header or trailer field; unknown ones are ignored. */
  void SetField(std::string_view aName, std::string_view aValue);
  /** Takes a part of the body. */
  void Append(std::string_view aBytes, std::size_t aMaxBytes);
  /** Server: @return the request, or why it is refused */
  Result<PeerRequest> TakeRequest();
  /** Client: @return the reply, once the stream has closed with an HTTP/2 error code */
  Result<std::string> TakeReply(std::uint32_t aErrorCode);
};

} // namespace papayaspindle
