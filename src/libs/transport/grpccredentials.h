#pragma once

#include "core/error.h"
#include "transport/tlssettings.h"

#include <cstdint>
#include <memory>

namespace grpc {
class ChannelCredentials;
class ServerCredentials;
}

namespace papayaspindle {

/** What a gRPC listener asks of its clients. */
enum class ClientCertificate : std::uint8_t
{
  /** Clients need no certificate. */
  Optional,
  /** A client without a certificate that leads to the CA file is turned away. */
  Required,
};

/**
 * Credentials of a gRPC listener for callers or operators. A certificate that a client
 * shows is always verified when a CA file is set.
 *
 * @return plain TCP for empty settings; Internal when a file cannot be read
 */
Result<std::shared_ptr<grpc::ServerCredentials>> MakeServerCredentials(
  const TlsSettings& aSettings,
  ClientCertificate aClients);

/**
 * Credentials of a gRPC client. The server's certificate must name the address that the
 * client connects to.
 *
 * @return plain TCP for empty settings; Internal when a file cannot be read
 */
Result<std::shared_ptr<grpc::ChannelCredentials>> MakeChannelCredentials(
  const TlsSettings& aSettings);

} // namespace papayaspindle
