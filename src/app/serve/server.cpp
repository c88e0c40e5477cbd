#include "serve/server.h"

#include "observe/metricregistry.h"
#include "observe/tracer.h"
#include "runtime/grouptable.h"
#include "serve/gatedpeerhandlers.h"
#include "serve/grpclistener.h"
#include "serve/tracefile.h"
#include "services/callerservice.h"
#include "services/operatorservice.h"

namespace papayaspindle {

struct Server::Private
{
  explicit Private(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  Settings mSettings;
  MetricRegistry mMetrics;
  GroupTable mGroups;
  RequestGate mGate;
};

Server::Server(const Settings& aSettings)
  : mPrivate(std::make_unique<Private>(aSettings))
{
}

Server::~Server() = default;

Status
Server::Start()
{
  return Error{ ErrorKind::Internal, "no managers are built in" };
}

bool
Server::Drain()
{
  return true;
}

} // namespace papayaspindle
