#pragma once

#include "core/instanceinfo.h"

namespace papayaspindle {

/**
 * Orders reports about one instance by incarnation, then by liveness: alive < suspect <
 * leaving < dead.
 *
 * @param aKnown current state of the instance
 * @return whether the report is newer than the current state and replaces it
 */
bool Supersedes(const InstanceInfo& aReport, const InstanceInfo& aKnown);

} // namespace papayaspindle
