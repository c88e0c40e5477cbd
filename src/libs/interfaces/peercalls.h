#pragma once

#include "core/error.h"

#include <chrono>
#include <string>
#include <string_view>

namespace papayaspindle {

/** A request to a peer. */
struct PeerCall
{
  /** "ip:port" at which the peer accepts streams. */
  std::string mAddress;
  /** Name of the method, for example "Probe", which is sent as POST /peer/Probe. */
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
 * been received but no complete answer arrived; PeerNotTrusted when a certificate was
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
