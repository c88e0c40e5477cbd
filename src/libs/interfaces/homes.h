#pragma once

#include "core/ids.h"

#include <vector>

namespace papayaspindle {

/** Assigns homes, the entry instances with connections to a group's members, to database
 * groups. Thread-safe. */
class Homes
{
public:
  virtual ~Homes() = default;

  /** @return the group's homes in rank order, empty for an unknown group. The first home
   * is to act as the keeper of the group. */
  [[nodiscard]] virtual std::vector<InstanceId> HomesOf(const GroupId& aGroup) const = 0;
  /** @return rank of this instance among the group's homes, from 0; -1 if this instance
   * is not a home of the group */
  [[nodiscard]] virtual int OwnRank(const GroupId& aGroup) const = 0;
};

} // namespace papayaspindle
