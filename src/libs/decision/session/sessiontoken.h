#pragma once

#include "core/ids.h"
#include "core/logposition.h"

#include <cstddef>
#include <map>

namespace papayaspindle {

/** For each database group, the position of the session's last acknowledged write. */
class SessionToken
{
public:
  using Positions = std::map<GroupId, LogPosition>;

  /** @return the position of the last acknowledged write; 0/0 when there is none */
  [[nodiscard]] LogPosition PositionOf(const GroupId& aGroup) const;
  /** @return whether the session wrote to the group */
  [[nodiscard]] bool Holds(const GroupId& aGroup) const;
  /** Raises the group's position; a lower one or 0/0 changes nothing. */
  void Raise(const GroupId& aGroup, const LogPosition& aPosition);
  /** Takes the higher position of each group. */
  void Merge(const SessionToken& aOther);
  /** @return all positions, by group */
  [[nodiscard]] const Positions& All() const { return mPositions; }

  bool operator==(const SessionToken&) const = default;

private:
  Positions mPositions;
};

} // namespace papayaspindle
