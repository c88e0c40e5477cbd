#pragma once

#include "core/error.h"
#include "interfaces/peerhandlers.h"
#include "transport/peersettings.h"
#include "transport/peertraffic.h"

#include <chrono>
#include <memory>
#include <string>

namespace papayaspindle {

class WorkerPool;

/** Answers requests of other entry instances over nghttp2 streams. */
class PeerServer : public PeerHandlers
{
public:
  /**
   * @param aForwards runs Forward, the method with the callers' statements
   * @param aControl runs all other methods, so that many forwarded statements cannot
   * delay probes; both pools outlive the server
   */
  PeerServer(PeerServerSettings aSettings, WorkerPool& aForwards, WorkerPool& aControl);
  /** Closes all connections without waiting for requests in flight. */
  ~PeerServer() override;

  void Register(std::string_view aMethod, PeerHandler aHandler) override;
  /** Begins to accept connections. @return Internal when the address cannot be used */
  Status Start();
  /** @return "ip:port" of the listener */
  [[nodiscard]] std::string Address() const;
  /**
   * Stops accepting, finishes the requests in flight, then closes.
   *
   * @param aGrace time limit for the requests in flight
   * @return whether all of them were answered
   */
  bool Stop(std::chrono::milliseconds aGrace);
  /** @return what was carried so far */
  [[nodiscard]] PeerTraffic Traffic() const;

private:
  struct Private;
  std::shared_ptr<Private> mPrivate;
};

} // namespace papayaspindle
