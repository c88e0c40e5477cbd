#pragma once

#include <string_view>

namespace papayaspindle::proxy {

/**
 * Decides whether a follower can renew leases on a leader.
 *
 * Followers in the leader's availability zone can't. If that zone is cut off, instances
 * in it lose all followers that renew leases, and a claim doesn't wait for a follower
 * that nobody outside the zone can pause, for example a former primary that drains. A
 * zone that isn't known counts as another one.
 */
inline bool
RenewsLeases(std::string_view aFollowerZone, std::string_view aLeaderZone)
{
  return aFollowerZone.empty() || aFollowerZone != aLeaderZone;
}

} // namespace papayaspindle::proxy
