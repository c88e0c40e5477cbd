#include "decision/drain/leavingmembers.h"

namespace papayaspindle {

void
LeavingMembers::OnSettings(const GroupSettings& aSettings)
{
  Marks& marks = mGroups[aSettings.mGroup];
  if (aSettings.mRevision < marks.mRevision) {
    return;
  }
  marks.mRevision = aSettings.mRevision;
  marks.mByOperator.clear();
  std::set<MemberId> members;
  for (const MemberSettings& member : aSettings.mMembers) {
    members.insert(member.mMember);
    if (member.mLeaving) {
      marks.mByOperator.insert(member.mMember);
    }
  }
  std::erase_if(marks.mByStatus,
                [&](const MemberId& aMember) { return !members.contains(aMember); });
}

void
LeavingMembers::OnMemberStatus(const GroupId& aGroup,
                               const MemberId& aMember,
                               bool aLeaving)
{
  Marks& marks = mGroups[aGroup];
  if (aLeaving) {
    marks.mByStatus.insert(aMember);
    return;
  }
  marks.mByStatus.erase(aMember);
}

bool
LeavingMembers::IsLeaving(const GroupId& aGroup, const MemberId& aMember) const
{
  const auto marks = mGroups.find(aGroup);
  return marks != mGroups.end() && (marks->second.mByOperator.contains(aMember) ||
                                    marks->second.mByStatus.contains(aMember));
}

} // namespace papayaspindle
