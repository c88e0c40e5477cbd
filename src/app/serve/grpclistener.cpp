#include "serve/grpclistener.h"

#include "transport/grpccredentials.h"

#include <grpcpp/grpcpp.h>

namespace papayaspindle {

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
  const TlsSettings& tls = aSettings.mTls;
  const auto credentials = MakeServerCredentials(
    tls, tls.mCaFile.empty() ? ClientCertificate::Optional : ClientCertificate::Required);
  if (!IsOk(credentials)) {
    return ErrorOf(credentials);
  }
  grpc::ServerBuilder builder;
  // With SO_REUSEPORT, two processes on one address would share its callers at random.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(static_cast<int>(aSettings.mMaxRequestBytes));
  int port = 0;
  builder.AddListeningPort(aSettings.mAddress, ValueOf(credentials), &port);
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
