#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>

namespace papayaspindle {

/** State of an entry instance as detected by the membership protocol. */
enum class Liveness : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
  Leaving,
};

/** An entry instance as it is known to its peers. */
struct InstanceInfo
{
  InstanceId mInstance;
  AvailabilityZone mAvailabilityZone;
  /** "ip:port" at which the instance accepts peer streams. */
  std::string mPeerAddress;
  /** "ip:port" at which the instance accepts callers and operators. */
  std::string mCallerAddress;
  Liveness mLiveness = Liveness::Alive;
  /** Number that the instance raises to refute a suspicion. Information with a higher
   * incarnation replaces information with a lower one. */
  std::uint64_t mIncarnation = 0;

  bool operator==(const InstanceInfo&) const = default;
};

} // namespace papayaspindle
