#pragma once

#include "controlbench/benchplatform.h"
#include "controlbench/spreadrecorder.h"
#include "core/ids.h"
#include "runtime/workerpool.h"

#include <cstdint>
#include <memory>

namespace papayaspindle {

class ConfigurationManager;
class MembershipManager;

/** Workers that the nodes of one process share. */
struct BenchPools
{
  /** Probes, pushes, pulls and calls to the platform. */
  WorkerPool& mCalls;
  /** Requests of peers; apart, so that nodes that call each other cannot use up the
   * workers that would answer them. */
  WorkerPool& mHandlers;
};

/** Membership and configuration of one entry instance over real peer streams. */
class ControlNode
{
public:
  ControlNode(const InstanceId& aInstance,
              const AvailabilityZone& aZone,
              BenchPlatform& aPlatform,
              SpreadSamples& aSamples,
              BenchPools aPools,
              std::uint64_t aSeed);
  /** Stop() comes first. */
  ~ControlNode();

  /** Begins to tick. */
  void Start();
  /** Ends calls and closes connections; the pools are still running. */
  void Stop();
  [[nodiscard]] MembershipManager& Membership();
  [[nodiscard]] ConfigurationManager& Configuration();
  /** @return bytes that this node sent to and received from peers so far */
  [[nodiscard]] std::uint64_t PeerBytes() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
