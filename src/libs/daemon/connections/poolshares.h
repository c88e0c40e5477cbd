#pragma once

#include "core/ids.h"
#include "daemon/connections/groupallowance.h"

#include <cstdint>

namespace papayaspindle {

/** How a group's share of connections is used. */
struct ShareUse
{
  /** The highest demand since the last call. */
  std::uint32_t mDemand = 0;
  /** Open connections, also those being opened or closed. */
  std::uint32_t mHeld = 0;
};

/** The holder of connections, as the allowance manager sees it. Thread-safe. */
class PoolShares
{
public:
  virtual ~PoolShares() = default;

  /** Idle connections over the allowance are closed at once, others on release. */
  virtual void SetAllowance(const GroupId& aGroup, const GroupAllowance& aAllowance) = 0;
  virtual ShareUse TakeUse(const GroupId& aGroup) = 0;
  /** @return open connections, also those being opened or closed */
  virtual std::uint32_t Held(const GroupId& aGroup) = 0;
};

} // namespace papayaspindle
