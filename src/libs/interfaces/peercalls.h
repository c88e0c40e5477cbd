#pragma once

#include "core/error.h"

#include <chrono>
#include <string>
#include <string_view>

namespace papayaspindle {

/** One request to a peer. */
struct PeerCall
{
  /** "ip:port" of the peer's stream listener. */
  std::string mAddress;
  /** Message name, for example "Probe"; sent as POST /peer/Probe. */
  std::string mMethod;
  /** Serialised protobuf message. */
  std::string mBody;
  /** W3C trace context; empty for none. */
  std::string mTraceparent;
  std::chrono::milliseconds mTimeout{};
};

/**
 * Requests to other entry instances.
 *
 * Errors: PeerUnreachable when nothing was sent; OutcomeUnknown when the request may have
 * been received but no whole answer arrived; PeerNotTrusted when a certificate was
 * refused.
 */
class PeerCalls
{
public:
  virtual ~PeerCalls() = default;

  /** @return the serialised reply message */
  virtual Result<std::string> Call(const PeerCall& aCall) = 0;
};

} // namespace papayaspindle
