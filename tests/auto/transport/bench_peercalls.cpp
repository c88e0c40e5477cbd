// Measures CPU time and bytes of small peer calls; prints one JSON line. Not a test.
#include "peer.pb.h"
#include "runtime/workerpool.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <cstdio>
#include <string>
#include <thread>
#include <vector>

using namespace papayaspindle;

namespace {

constexpr int kCalls = 40'000;
constexpr int kThreads = 8;

/** @return CPU time of this process, of client and server together */
std::chrono::microseconds
CpuTime()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto time = [](const timeval& aTime) {
    return std::chrono::seconds(aTime.tv_sec) + std::chrono::microseconds(aTime.tv_usec);
  };
  return time(usage.ru_utime) + time(usage.ru_stime);
}

std::string
ProbeBody()
{
  v1::ProbeRequest probe;
  v1::InstanceUpdate& sender = *probe.mutable_sender();
  sender.set_instance("entry-hobart-3");
  sender.set_availability_zone("tas-hobart");
  sender.set_peer_address("10.12.7.31:7400");
  sender.set_caller_address("10.12.7.31:7300");
  sender.set_liveness(v1::PEER_LIVENESS_ALIVE);
  sender.set_incarnation(41);
  probe.set_configuration_revision(31'000);
  return probe.SerializeAsString();
}

/** Makes calls from some threads. @return how many failed */
int
CallAll(PeerClient& aClient, const PeerCall& aCall, int aThreads)
{
  std::vector<int> failed(static_cast<std::size_t>(aThreads), 0);
  std::vector<std::thread> threads;
  for (int& count : failed) {
    threads.emplace_back([&] {
      for (int i = 0; i < kCalls / aThreads; ++i) {
        count += IsOk(aClient.Call(aCall)) ? 0 : 1;
      }
    });
  }
  int total = 0;
  for (std::size_t i = 0; i < threads.size(); ++i) {
    threads[i].join();
    total += failed[i];
  }
  return total;
}

} // namespace

int
main()
{
  WorkerPool forwards("forwards", 2, 64);
  WorkerPool control("control", 2, 64);
  PeerServerSettings settings;
  settings.mListenAddress = "127.0.0.1:0";
  PeerServer server(settings, forwards, control);
  server.Register("Probe", [](const PeerRequest& aRequest) { return aRequest.mBody; });
  if (!IsOk(server.Start())) {
    return 1;
  }
  PeerClient client{ {} };
  const PeerCall call{ server.Address(),
                       "Probe",
                       ProbeBody(),
                       "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                       std::chrono::seconds(5) };
  for (const int threads : { 1, kThreads }) {
    // The first call opens the connection.
    int failed = IsOk(client.Call(call)) ? 0 : 1;
    const PeerTraffic before = client.Traffic();
    const auto cpu = CpuTime();
    const auto start = std::chrono::steady_clock::now();
    failed += CallAll(client, call, threads);
    const std::chrono::duration<double, std::micro> wall =
      std::chrono::steady_clock::now() - start;
    const auto used = CpuTime() - cpu;
    const PeerTraffic after = client.Traffic();
    fmt::print("{{\"threads\":{},\"calls\":{},\"failed\":{},\"body_bytes\":{},"
               "\"cpu_us_per_call\":{:.1f},\"wall_us_per_call\":{:.1f},"
               "\"bytes_out_per_call\":{:.1f},\"bytes_in_per_call\":{:.1f}}}\n",
               threads,
               kCalls,
               failed,
               call.mBody.size(),
               static_cast<double>(used.count()) / kCalls,
               wall.count() / kCalls,
               static_cast<double>(after.mBytesOut - before.mBytesOut) / kCalls,
               static_cast<double>(after.mBytesIn - before.mBytesIn) / kCalls);
  }
  return 0;
}
