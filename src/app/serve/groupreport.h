#pragma once

#include "core/hooks.h"
#include "interfaces/groups.h"
#include "services/operatorservice.h"

namespace papayaspindle {

class FreshnessBoard;

/** @return a hook that adds each member's role, position and proven age */
GroupReportHook ReportMembers(const Groups& aGroups,
                              const FreshnessBoard& aFreshness,
                              NowHook aNow);

} // namespace papayaspindle
