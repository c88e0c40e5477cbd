#pragma once

#include "core/hooks.h"
#include "interfaces/groups.h"
#include "services/operatorservice.h"

namespace papayaspindle {

class ConnectionManager;
class FailoverManager;
class FreshnessBoard;

/** @return a hook that adds each member's role, position and proven age */
GroupReportHook ReportMembers(const Groups& aGroups,
                              const FreshnessBoard& aFreshness,
                              NowHook aNow);

/** @return a hook that adds the members' silence and the last failover; comes after
 * ReportMembers() */
GroupReportHook ReportFailovers(const FailoverManager& aFailovers);

/** @return a hook that adds this instance's share of the connections and its use */
GroupReportHook ReportConnections(ConnectionManager& aConnections, NowHook aNow);

} // namespace papayaspindle
