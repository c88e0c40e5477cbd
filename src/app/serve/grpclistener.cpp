#include "serve/grpclistener.h"

#include <grpcpp/grpcpp.h>

#include <fstream>
#include <iterator>

namespace papayaspindle {

namespace {

std::string
FileText(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::shared_ptr<grpc::ServerCredentials>
Credentials(const ListenerSettings& aSettings)
{
  if (aSettings.mCertificateFile.empty()) {
    return grpc::InsecureServerCredentials();
  }
  grpc::SslServerCredentialsOptions options;
  options.pem_key_cert_pairs.push_back(
    { FileText(aSettings.mKeyFile), FileText(aSettings.mCertificateFile) });
  if (!aSettings.mAuthorityFile.empty()) {
    options.pem_root_certs = FileText(aSettings.mAuthorityFile);
    options.client_certificate_request =
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY;
  }
  return grpc::SslServerCredentials(options);
}

} // namespace

struct GrpcListener::Private
{
  std::unique_ptr<grpc::Server> mServer;
};

GrpcListener::GrpcListener()
  : mPrivate(std::make_unique<Private>())
{
}

GrpcListener::~GrpcListener()
{
  Stop(std::chrono::milliseconds(0));
}

Status
GrpcListener::Start(const ListenerSettings& aSettings,
                    const std::vector<grpc::Service*>& aServices)
{
  grpc::ServerBuilder builder;
  // With SO_REUSEPORT, two processes on one address would share its callers at random.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(static_cast<int>(aSettings.mMaxRequestBytes));
  int port = 0;
  builder.AddListeningPort(aSettings.mAddress, Credentials(aSettings), &port);
  for (grpc::Service* service : aServices) {
    builder.RegisterService(service);
  }
  mPrivate->mServer = builder.BuildAndStart();
  if (!mPrivate->mServer || port == 0) {
    mPrivate->mServer.reset();
    return Error{ ErrorKind::Internal, "cannot listen on " + aSettings.mAddress };
  }
  return Done{};
}

void
GrpcListener::Stop(std::chrono::milliseconds aGrace)
{
  if (mPrivate->mServer) {
    mPrivate->mServer->Shutdown(std::chrono::system_clock::now() + aGrace);
    mPrivate->mServer->Wait();
    mPrivate->mServer.reset();
  }
}

} // namespace papayaspindle
