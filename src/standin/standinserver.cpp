#include "standin/standinserver.h"

#include "standin/faultswitches.h"

#include <fmt/core.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <memory>

#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

namespace papayaspindle::standin {

namespace {

/** Time that open calls get to end by themselves at a stop. */
constexpr std::chrono::milliseconds kShutdownGrace{ 100 };

sigset_t
StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

void
BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int
RunServer(const std::string& aListen,
          const std::vector<grpc::Service*>& aServices,
          FaultSwitches& aSwitches)
{
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(aListen, grpc::InsecureServerCredentials(), &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  for (grpc::Service* service : aServices) {
    builder.RegisterService(service);
  }
  const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  if (server == nullptr || port == 0) {
    fmt::print(stderr, "cannot listen on {}\n", aListen);
    return 1;
  }
  fmt::print("ready\n");
  std::fflush(stdout);
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  aSwitches.Stop();
  server->Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
  return 0;
}

} // namespace papayaspindle::standin
