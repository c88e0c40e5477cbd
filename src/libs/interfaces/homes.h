#pragma once

#include "core/ids.h"

#include <vector>

namespace papayaspindle {

/** Which entry instances hold connections to a group. Thread-safe. */
class Homes
{
public:
  virtual ~Homes() = default;

  /** @return the group's homes in rank order; the first is its keeper; empty for an
   * unknown group */
  [[nodiscard]] virtual std::vector<InstanceId> HomesOf(const GroupId& aGroup) const = 0;
  /** @return this instance's rank among the homes, or -1 when it is no home of the group
   */
  [[nodiscard]] virtual int OwnRank(const GroupId& aGroup) const = 0;
};

} // namespace papayaspindle
