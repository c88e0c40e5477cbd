#include "standin/faultsservice.h"
#include "standin/faultswitches.h"
#include "standin/standinserver.h"
#include "standin/tableservice.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "", "ip:port to listen on");

using namespace papayaspindle;

int
main(int aArgc, char** aArgv)
{
  gflags::SetUsageMessage("the platform's table service, in memory");
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  if (FLAGS_listen.empty()) {
    gflags::ShowUsageWithFlagsRestrict(aArgv[0], "tablesmain");
    return 2;
  }
  standin::BlockStopSignals();
  standin::FaultSwitches switches;
  standin::TableServiceImpl service(switches);
  standin::FaultsService faults(switches);
  return standin::RunServer(FLAGS_listen, { &service, &faults }, switches);
}
