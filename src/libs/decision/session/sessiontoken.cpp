#include "decision/session/sessiontoken.h"

#include <algorithm>

namespace papayaspindle {

LogPosition
SessionToken::PositionOf(const GroupId& aGroup) const
{
  const auto found = mPositions.find(aGroup);
  return found == mPositions.end() ? LogPosition{} : found->second;
}

bool
SessionToken::Holds(const GroupId& aGroup) const
{
  return mPositions.contains(aGroup);
}

void
SessionToken::Raise(const GroupId& aGroup, const LogPosition& aPosition)
{
  if (aPosition == LogPosition{}) {
    return;
  }
  auto& position = mPositions[aGroup];
  position = std::max(position, aPosition);
}

void
SessionToken::Merge(const SessionToken& aOther)
{
  for (const auto& [group, position] : aOther.mPositions) {
    Raise(group, position);
  }
}

} // namespace papayaspindle
