#pragma once

#include "core/groupsettings.h"
#include "core/instanceinfo.h"

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace papayaspindle {

/**
 * Selects the homes of a group by weighted rendezvous hashing.
 *
 * Every instance with the same settings and the same live instances gets the same
 * ranking, and an instance that comes or goes moves only the homes that it wins or held.
 */
class HomeRanking
{
public:
  /** @return an instance's weight, above 0; an instance of weight 2 is home of twice as
   * many groups */
  using WeightHook = std::function<double(const InstanceInfo&)>;

  /** @param aWeight may be empty: all weigh the same */
  explicit HomeRanking(WeightHook aWeight = {});

  /** @return homes of a group when there are enough candidates */
  [[nodiscard]] static std::size_t WantedHomes(const GroupSettings& aGroup);

  /**
   * Candidates are the live instances of the zones with members that do not leave, or all
   * live ones when those zones have none. Each of these zones gets a home when the count
   * allows, so that reads stay in their zone.
   *
   * @param aLive instances that may be homes
   * @return clamp(connection limit / 4, 2, candidates) homes in rank order
   */
  [[nodiscard]] std::vector<InstanceId> Rank(const GroupSettings& aGroup,
                                             std::span<const InstanceInfo> aLive) const;
  /** @param aWanted homes when there are enough candidates */
  [[nodiscard]] std::vector<InstanceId> Rank(const GroupSettings& aGroup,
                                             std::span<const InstanceInfo> aLive,
                                             std::size_t aWanted) const;

private:
  WeightHook mWeight;
};

} // namespace papayaspindle
