#pragma once

#include "core/error.h"
#include "transport/tlssettings.h"

#include <Poco/Net/Context.h>

namespace papayaspindle {

/**
 * TLS contexts for peer streams, TLS 1.2 or later. Both sides need a certificate that
 * leads to the CA file. Host names are not compared, since peers are known by address.
 *
 * @return null for empty settings; Internal when a file cannot be used
 */
Result<Poco::Net::Context::Ptr> MakePeerClientContext(const TlsSettings& aSettings);

/** @copydoc MakePeerClientContext */
Result<Poco::Net::Context::Ptr> MakePeerServerContext(const TlsSettings& aSettings);

} // namespace papayaspindle
