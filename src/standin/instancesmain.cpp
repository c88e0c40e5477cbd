#include "standin/faultsservice.h"
#include "standin/faultswitches.h"
#include "standin/instanceservice.h"
#include "standin/standinserver.h"

#include <fmt/core.h>
#include <gflags/gflags.h>

#include <fstream>
#include <string>

DEFINE_string(listen, "", "ip:port to listen on");
DEFINE_string(instances,
              "",
              "file with one instance a line: name zone peer-address caller-address");

using namespace papayaspindle;

namespace {

bool
ReadInstances(const std::string& aFile, v1::ListInstancesReply& aInstances)
{
  std::ifstream file(aFile);
  if (!file) {
    fmt::print(stderr, "cannot read {}\n", aFile);
    return false;
  }
  std::string line;
  while (std::getline(file, line)) {
    if (line.empty()) {
      continue;
    }
    if (!standin::ParseInstanceLine(line, *aInstances.add_instances())) {
      fmt::print(stderr, "{}: not 'name zone peer caller': {}\n", aFile, line);
      return false;
    }
  }
  return true;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  gflags::SetUsageMessage("the platform's list of instances");
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  v1::ListInstancesReply instances;
  if (FLAGS_listen.empty() || FLAGS_instances.empty()) {
    gflags::ShowUsageWithFlagsRestrict(aArgv[0], "instancesmain");
    return 2;
  }
  if (!ReadInstances(FLAGS_instances, instances)) {
    return 2;
  }
  standin::BlockStopSignals();
  standin::FaultSwitches switches;
  standin::InstanceServiceImpl service(switches, std::move(instances));
  standin::FaultsService faults(switches);
  return standin::RunServer(FLAGS_listen, { &service, &faults }, switches);
}
