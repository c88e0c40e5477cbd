#pragma once

#include "core/error.h"

#include <functional>
#include <string>
#include <string_view>

namespace papayaspindle {

/** A request received from a peer. */
struct PeerRequest
{
  std::string mMethod;
  std::string mBody;
  std::string mTraceparent;
};

/** Handles one request and returns the answer. Called on a worker thread; may block. */
using PeerHandler = std::function<Result<std::string>(const PeerRequest&)>;

/** Registry of handlers for requests from peers. */
class PeerHandlers
{
public:
  virtual ~PeerHandlers() = default;

  /**
   * Registers the handler of a method. Must be called before the listener starts.
   *
   * @param aMethod name of the method, for example "Probe"
   * @param aHandler called for each request
   */
  virtual void Register(std::string_view aMethod, PeerHandler aHandler) = 0;
};

} // namespace papayaspindle
