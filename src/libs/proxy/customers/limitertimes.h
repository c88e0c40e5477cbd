#pragma once

#include "core/timetypes.h"

#include <algorithm>
#include <chrono>

namespace papayaspindle::proxy {

/** Longest answer of a store that is slow, and the delay of a relayed list. */
constexpr Duration kSlowListAnswer = std::chrono::seconds(3);
/** Covers several lost reads of a small deployment, which reads every 3 s. */
constexpr Duration kMinListSpread = std::chrono::seconds(11);

/** @return bound of the time between the first and the last instance that uses a new list
 * of instances. Customers are refused for this time after the first start of a
 * deployment.
 *
 * @param aReadInterval interval at which instances read the list */
constexpr Duration
ListSpreadFor(Duration aReadInterval)
{
  return std::max(kMinListSpread, aReadInterval + kSlowListAnswer);
}

} // namespace papayaspindle::proxy
