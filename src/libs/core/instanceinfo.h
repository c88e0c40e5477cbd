#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>

namespace papayaspindle {

/** What membership believes of an entry instance. */
enum class Liveness : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
  Leaving,
};

/** An entry instance, as its peers know it. */
struct InstanceInfo
{
  InstanceId mInstance;
  AvailabilityZone mAvailabilityZone;
  /** "ip:port" for peer streams. */
  std::string mPeerAddress;
  /** "ip:port" for callers and operators. */
  std::string mCallerAddress;
  Liveness mLiveness = Liveness::Alive;
  /** Raised by the instance itself to refute a suspicion; the higher incarnation wins. */
  std::uint64_t mIncarnation = 0;

  bool operator==(const InstanceInfo&) const = default;
};

} // namespace papayaspindle
