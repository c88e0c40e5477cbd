#pragma once

#include <string>
#include <vector>

#include <grpcpp/impl/codegen/service_type.h>

namespace papayaspindle::standin {

class FaultSwitches;

/**
 * Blocks SIGTERM and SIGINT for this thread and those started after it; called before any
 * other thread starts, so that RunServer can wait for the signals.
 */
void BlockStopSignals();

/**
 * Serves until SIGTERM or SIGINT; prints "ready" on standard output once it listens.
 *
 * @param aListen "ip:port"
 * @return the exit status: 0, or 1 when it cannot listen
 */
int RunServer(const std::string& aListen,
              const std::vector<grpc::Service*>& aServices,
              FaultSwitches& aSwitches);

} // namespace papayaspindle::standin
