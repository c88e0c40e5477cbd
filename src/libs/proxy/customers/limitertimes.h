#pragma once

#include "core/timetypes.h"

#include <chrono>

namespace papayaspindle::proxy {

/** Bounds the time between the first and the last instance that uses a new list of
 * instances: the interval at which up to 100 instances read it, and a margin for slow
 * answers of the store. A longer wait would refuse all customers after the first start of
 * a deployment. */
constexpr Duration kListSpread = std::chrono::seconds(11);

} // namespace papayaspindle::proxy
