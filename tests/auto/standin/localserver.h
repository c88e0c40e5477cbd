#pragma once

#include "standin/faultswitches.h"

#include <chrono>
#include <memory>
#include <string>

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

namespace papayaspindle::standin {

/** A stand-in's service on a free loopback port. */
class LocalServer
{
public:
  LocalServer(grpc::Service& aService, FaultSwitches& aSwitches)
    : mSwitches(aSwitches)
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &mPort);
    builder.RegisterService(&aService);
    mServer = builder.BuildAndStart();
  }

  ~LocalServer()
  {
    mSwitches.Stop();
    mServer->Shutdown(std::chrono::system_clock::now());
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mPort);
  }

  [[nodiscard]] std::shared_ptr<grpc::Channel> Channel() const
  {
    return grpc::CreateChannel(Address(), grpc::InsecureChannelCredentials());
  }

private:
  FaultSwitches& mSwitches;
  int mPort = 0;
  std::unique_ptr<grpc::Server> mServer;
};

} // namespace papayaspindle::standin
