#pragma once

#include "daemon/connections/groupallowance.h"

#include <cstddef>
#include <cstdint>

namespace papayaspindle {

/** What operators see of a group's pool at this instance. */
struct PoolReport
{
  GroupAllowance mAllowance;
  /** Connections that requests or transactions own now. */
  std::uint32_t mInUse = 0;
  /** Requests that wait for a connection. */
  std::size_t mWaiting = 0;
};

} // namespace papayaspindle
