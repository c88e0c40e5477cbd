#pragma once

#include "core/groupsettings.h"
#include "core/ids.h"

#include <map>
#include <set>

namespace papayaspindle {

/**
 * Backend servers that get no new work because an operator or their own status marks them
 * as leaving.
 *
 * A mark takes effect immediately when it is reported. The 3 s within which a member gets
 * no new work any more are thus available for configuration propagation and for the
 * status poll.
 */
class LeavingMembers
{
public:
  /** Updates the marks by operators and drops members that have left the group. Settings
   * of an older revision are ignored. */
  void OnSettings(const GroupSettings& aSettings);
  /** Updates the mark from the member's own status. */
  void OnMemberStatus(const GroupId& aGroup, const MemberId& aMember, bool aLeaving);
  /** @return whether the member must get no new work */
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
