#pragma once

#include "core/groupsettings.h"
#include "core/instanceinfo.h"

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace papayaspindle {

/**
 * Selects the home instances of a group by weighted rendezvous hashing.
 *
 * All instances with the same settings and the same live instances compute the same
 * ranking. When an instance joins or leaves, only homes that it gains or loses move.
 */
class HomeRanking
{
public:
  /** @return an instance's weight, above 0; an instance of weight 2 is the first home of
   * twice as many groups as one of weight 1 */
  using WeightHook = std::function<double(const InstanceInfo&)>;

  /** @param aWeight may be empty; then all instances have the same weight */
  explicit HomeRanking(WeightHook aWeight = {});

  /** @return number of homes of a group if there are enough candidates */
  [[nodiscard]] static std::size_t TargetHomeCount(const GroupSettings& aGroup);

  /**
   * Ranks the homes of a group.
   *
   * Candidates are the live instances in the zones of members that are not leaving, or
   * all live instances if these zones have none. If the number of homes allows, each of
   * these zones gets at least one, so that reads stay in their zone.
   *
   * @param aLive all instances; those neither alive nor suspect are ignored
   * @return the homes in rank order; their number is the connection limit / 4, but at
   * least 2 and at most the number of candidates
   */
  [[nodiscard]] std::vector<InstanceId> Rank(const GroupSettings& aGroup,
                                             std::span<const InstanceInfo> aLive) const;
  /** @param aTargetCount number of homes if there are enough candidates */
  [[nodiscard]] std::vector<InstanceId> Rank(const GroupSettings& aGroup,
                                             std::span<const InstanceInfo> aLive,
                                             std::size_t aTargetCount) const;

private:
  WeightHook mWeight;
};

} // namespace papayaspindle
