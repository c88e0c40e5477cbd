#include "ctl/instancecommands.h"

#include <fmt/core.h>

namespace papayaspindle {

namespace {

void
PrintInstance(const v1::ShowInstanceReply& aReply)
{
  fmt::print("instance {} zone {} version {} configuration revision {}{}\n",
             aReply.instance(),
             aReply.availability_zone(),
             aReply.version(),
             aReply.configuration_revision(),
             aReply.draining() ? " draining" : "");
  for (const v1::PeerState& peer : aReply.peers()) {
    fmt::print("  peer {} {} {} incarnation {}\n",
               peer.instance(),
               peer.availability_zone(),
               peer.state(),
               peer.incarnation());
  }
  for (const std::string& setting : aReply.effective_settings()) {
    fmt::print("  {}\n", setting);
  }
}

void
PrintMetrics(const v1::MetricsReply& aReply)
{
  for (const v1::Metric& metric : aReply.metrics()) {
    if (metric.bins_size() == 0) {
      fmt::print("{} {}\n", metric.name(), metric.value());
      continue;
    }
    fmt::print("{} count {} p50 {:.0f} p99 {:.0f} max {:.0f} {}\n",
               metric.name(),
               metric.count(),
               metric.p50(),
               metric.p99(),
               metric.max(),
               metric.unit());
  }
}

} // namespace

int
ShowInstance(const CtlCall& aCall)
{
  return aCall.mClient.CallAndPrint<v1::ShowInstanceReply>(
    [&](grpc::ClientContext& aContext, v1::ShowInstanceReply& aReply) {
      return aCall.mClient.Operator().ShowInstance(&aContext, {}, &aReply);
    },
    &PrintInstance);
}

int
ShowMetrics(const CtlCall& aCall)
{
  return aCall.mClient.CallAndPrint<v1::MetricsReply>(
    [&](grpc::ClientContext& aContext, v1::MetricsReply& aReply) {
      return aCall.mClient.Operator().Metrics(&aContext, {}, &aReply);
    },
    &PrintMetrics);
}

} // namespace papayaspindle
