#pragma once

#include "core/ids.h"
#include "core/logposition.h"

#include <cstddef>
#include <map>

namespace papayaspindle {

/**
 * Positions of a session's last acknowledged writes, one for each database group.
 *
 * Reads of the session must see at least these positions (read-your-writes).
 */
class SessionToken
{
public:
  using Positions = std::map<GroupId, LogPosition>;

  /** @return position of the last acknowledged write to the group; 0/0 for no write */
  [[nodiscard]] LogPosition PositionOf(const GroupId& aGroup) const;
  /** @return whether the token has a position for the group */
  [[nodiscard]] bool Holds(const GroupId& aGroup) const;
  /** Raises the group's position; a lower position or 0/0 has no effect. */
  void Raise(const GroupId& aGroup, const LogPosition& aPosition);
  /** Raises the position of each group to that in the other token. */
  void Merge(const SessionToken& aOther);
  /** @return the positions of all groups */
  [[nodiscard]] const Positions& All() const { return mPositions; }

  bool operator==(const SessionToken&) const = default;

private:
  Positions mPositions;
};

} // namespace papayaspindle
