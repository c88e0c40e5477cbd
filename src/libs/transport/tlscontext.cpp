#include "transport/tlscontext.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetSSL.h>
#include <openssl/ssl.h>

namespace papayaspindle {

namespace {

using Poco::Net::Context;

Result<Context::Ptr>
MakeContext(Context::Usage aUsage, const TlsSettings& aSettings)
{
  if (aSettings.IsEmpty()) {
    return Context::Ptr();
  }
  Poco::Net::initializeSSL();
  Context::Params params;
  params.privateKeyFile = aSettings.mKeyFile;
  params.certificateFile = aSettings.mCertificateFile;
  params.caLocation = aSettings.mCaFile;
  params.loadDefaultCAs = false;
  params.verificationMode = Context::VERIFY_STRICT;
  try {
    Context::Ptr context = new Context(aUsage, params);
    context->requireMinimumProtocol(Context::PROTO_TLSV1_2);
    context->enableExtendedCertificateVerification(false);
    SSL_CTX* native = context->sslContext();
    // A write that would block is repeated later from another place in memory.
    SSL_CTX_set_mode(native,
                     SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    // Connections are long-lived and never resumed.
    SSL_CTX_set_num_tickets(native, 0);
    return context;
  } catch (const Poco::Exception& exception) {
    return Error{ ErrorKind::Internal,
                  "cannot use the TLS files of " + aSettings.mCertificateFile + ": " +
                    exception.displayText() };
  }
}

} // namespace

Result<Context::Ptr>
MakePeerClientContext(const TlsSettings& aSettings)
{
  return MakeContext(Context::TLS_CLIENT_USE, aSettings);
}

Result<Context::Ptr>
MakePeerServerContext(const TlsSettings& aSettings)
{
  return MakeContext(Context::TLS_SERVER_USE, aSettings);
}

} // namespace papayaspindle
