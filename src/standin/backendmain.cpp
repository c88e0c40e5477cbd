#include "standin/backendservice.h"
#include "standin/faultsservice.h"
#include "standin/faultswitches.h"
#include "standin/replicationpuller.h"
#include "standin/standinserver.h"

#include <fmt/core.h>
#include <gflags/gflags.h>

DEFINE_string(listen, "", "ip:port to listen on");
DEFINE_string(member, "", "name of this member");
DEFINE_string(zone, "", "availability zone");
DEFINE_string(journal, "", "file that keeps term and log over a restart; empty: none");
DEFINE_uint32(max_connections, 100, "session streams that may be open at once");
DEFINE_uint32(slots, 2, "statements that run at once");
DEFINE_uint32(connect_delay_ms, 0, "time before a new connection is usable");
DEFINE_uint32(statement_delay_us, 0, "time that each statement takes");

using namespace papayaspindle;

int
main(int aArgc, char** aArgv)
{
  gflags::SetUsageMessage("one member of a database group");
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  if (FLAGS_listen.empty() || FLAGS_member.empty() || FLAGS_slots == 0) {
    gflags::ShowUsageWithFlagsRestrict(aArgv[0], "backendmain");
    return 2;
  }
  standin::BlockStopSignals();
  standin::FaultSwitches switches;
  standin::Member member(FLAGS_member, FLAGS_zone);
  if (!FLAGS_journal.empty() && !member.OpenJournal(FLAGS_journal)) {
    fmt::print(stderr, "journal {}: cannot be read or written\n", FLAGS_journal);
    return 1;
  }
  switches.SetChangeHook([&member](const v1::FaultSettings& aSettings) {
    member.SetReplicationLag(std::chrono::milliseconds(aSettings.replication_lag_ms()));
  });
  standin::BackendService backend(
    member,
    switches,
    { FLAGS_max_connections,
      FLAGS_slots,
      std::chrono::milliseconds(FLAGS_connect_delay_ms),
      std::chrono::microseconds(FLAGS_statement_delay_us) });
  standin::FaultsService faults(
    switches, [&backend](const v1::ReadLogRequest& aRequest, v1::ReadLogReply& aReply) {
      backend.ReadLog(aRequest, aReply);
    });
  const standin::ReplicationPuller puller(FLAGS_member, member, switches);
  return standin::RunServer(FLAGS_listen, { &backend, &faults }, switches);
}
