#pragma once

#include "core/instanceinfo.h"

namespace papayaspindle {

/**
 * Orders reports of one instance: by incarnation, then alive, suspect, leaving, dead.
 *
 * @return whether the report replaces what is known
 */
bool Supersedes(const InstanceInfo& aReport, const InstanceInfo& aKnown);

} // namespace papayaspindle
