#pragma once

#include "core/error.h"

#include <functional>
#include <string>
#include <string_view>

namespace papayaspindle {

/** A request that a peer sent. */
struct PeerRequest
{
  std::string mMethod;
  std::string mBody;
  std::string mTraceparent;
};

/** Answers one request; runs on a worker thread and may block. */
using PeerHandler = std::function<Result<std::string>(const PeerRequest&)>;

/** Where manager classes register what they answer to peers. */
class PeerHandlers
{
public:
  virtual ~PeerHandlers() = default;

  /**
   * Registers the handler of a method; called before the listener starts.
   *
   * @param aMethod message name, for example "Probe"
   * @param aHandler called for each request
   */
  virtual void Register(std::string_view aMethod, PeerHandler aHandler) = 0;
};

} // namespace papayaspindle
