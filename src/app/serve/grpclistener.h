#pragma once

#include "core/error.h"
#include "transport/tlssettings.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace grpc {
class Service;
}

namespace papayaspindle {

/** Where and how a gRPC server listens. */
struct ListenerSettings
{
  /** "ip:port". */
  std::string mAddress;
  /** No TLS when empty. With a CA file, clients must show a certificate. */
  TlsSettings mTls;
  /** Limit of one request. */
  std::size_t mMaxRequestBytes = 0;
};

/** A gRPC server for some services, from Start to Stop. */
class GrpcListener
{
public:
  GrpcListener();
  /** Stops at once if it still runs. */
  ~GrpcListener();

  /**
   * Starts to listen.
   *
   * @param aServices must outlive the listener
   * @return Internal when the address cannot be listened on or a file is no PEM
   */
  Status Start(const ListenerSettings& aSettings,
               const std::vector<grpc::Service*>& aServices);
  /** Refuses new calls, waits for running ones, and cancels what is left at the end. */
  void Stop(std::chrono::milliseconds aGrace);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
