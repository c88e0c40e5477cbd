#pragma once

#include "core/error.h"
#include "interfaces/peerhandlers.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace papayaspindle {

/** What a session reports to its owner; hooks are called from within Receive and Produce.
 */
struct Http2Hooks
{
  /** Server: a whole request arrived and its check holds. */
  std::function<void(std::int32_t aStream, PeerRequest aRequest)> mOnRequest;
  /** Server: the other side has given up a request that isn't answered yet. May be empty.
   */
  std::function<void(std::int32_t aStream)> mOnCancelled;
  /**
   * Client: a request is about to be written.
   * @return false to leave it unsent; mOnReply is then not called
   */
  std::function<bool(std::int32_t aStream)> mBeforeSend;
  /** Client: the only outcome of a request that was written. */
  std::function<void(std::int32_t aStream, Result<std::string> aReply)> mOnReply;
  /** The other side's first SETTINGS frame arrived. */
  std::function<void()> mOnSettings;
  /** The other side takes no further requests on this connection. */
  std::function<void()> mOnGoaway;
};

/**
 * One side of an HTTP/2 connection between peers: bytes in, bytes out, no socket. Each
 * stream carries one request and one reply. Not thread-safe.
 */
class Http2Session
{
public:
  enum class Role
  {
    Client,
    Server,
  };

  /** @param aMaxMessageBytes limit of one body; a longer one ends in a typed error */
  Http2Session(Role aRole, std::size_t aMaxMessageBytes, Http2Hooks aHooks);
  ~Http2Session();

  /** @return false when the bytes break the protocol and the connection must close */
  [[nodiscard]] bool Receive(std::string_view aBytes);
  /**
   * Appends bytes that are ready to be sent.
   *
   * @param aMaxBytes stops producing at about this length
   * @return false when the connection must close
   */
  [[nodiscard]] bool Produce(std::string& aOut, std::size_t aMaxBytes);
  /** @return bytes that open streams occupy: messages that are received in part or not
   * sent yet, and the streams themselves */
  [[nodiscard]] std::size_t BufferedBytes() const;
  /** Server: @return bytes of requests that are received in part */
  [[nodiscard]] std::size_t IncompleteBytes() const;
  /** @return whether the connection has ended in both directions */
  [[nodiscard]] bool IsFinished() const;

  /** Client: @return the request's stream, or 0 when the connection takes no more */
  std::int32_t SubmitRequest(std::string_view aMethod,
                             std::string aBody,
                             std::string_view aTraceparent);
  /** Client: gives a request up; mOnReply is not called for it. */
  void CancelRequest(std::int32_t aStream);
  /** Server: answers a request; does nothing when its stream has ended. */
  void SubmitReply(std::int32_t aStream, Result<std::string> aReply);
  /**
   * Server: resets the request that occupies most among those that are received in part.
   * The other side learns that it was not processed.
   *
   * @return bytes that it occupied, or 0 when there is none
   */
  std::size_t RefuseLargestIncomplete();
  /** Server: resets all requests up to a stream that are received in part. @return their
   * number */
  std::size_t RefuseIncompleteUpTo(std::int32_t aStream);
  /** Server: @return the newest stream of the other side, or 0 */
  [[nodiscard]] std::int32_t NewestRequest() const;
  /** Asks the other side for a sign of life. */
  void SubmitPing();
  /** Server: takes no further requests and finishes those in flight. */
  void SubmitGoaway();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
