#pragma once

#include "core/groupsettings.h"
#include "core/ids.h"

#include <map>
#include <set>

namespace papayaspindle {

/**
 * Backend servers that get no new work: marked by operators or by their own status.
 *
 * A mark holds from the call that reports it, so the 3 s until it is in force are those
 * of the configuration's spread and of the status poll.
 */
class LeavingMembers
{
public:
  /** Takes the operators' marks; forgets members that are no longer of the group. */
  void NoteSettings(const GroupSettings& aSettings);
  /** Takes what a member's status says of itself. */
  void NoteStatus(const GroupId& aGroup, const MemberId& aMember, bool aLeaving);
  /** @return whether new work for the member is to go elsewhere */
  [[nodiscard]] bool IsLeaving(const GroupId& aGroup, const MemberId& aMember) const;

private:
  struct Marks
  {
    std::uint64_t mRevision = 0;
    std::set<MemberId> mByOperator;
    std::set<MemberId> mByStatus;
  };

  std::map<GroupId, Marks> mGroups;
};

} // namespace papayaspindle
