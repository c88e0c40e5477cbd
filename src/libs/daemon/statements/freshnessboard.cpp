#include "daemon/statements/freshnessboard.h"

#include "convert/convert.h"

namespace papayaspindle {

void
FreshnessBoard::OnStatus(const GroupId& aGroup,
                         const MemberId& aMember,
                         const v1::StatusReply& aReply,
                         TimePoint aAskedAt)
{
  if (!aReply.member().empty() && aReply.member() != aMember.Text()) {
    return;
  }
  const MemberProgress progress{ aMember,
                                 aReply.term(),
                                 aReply.role() == v1::MEMBER_ROLE_PRIMARY,
                                 aReply.leaving(),
                                 FromMessage(aReply.last()),
                                 FromMessage(aReply.applied()),
                                 aAskedAt };
  const std::lock_guard lock(mMutex);
  mTables[aGroup].OnStatus(progress);
}

void
FreshnessBoard::OnAnswer(const GroupId& aGroup, const MemberProgress& aAnswer)
{
  const std::lock_guard lock(mMutex);
  mTables[aGroup].OnAnswer(aAnswer);
}

void
FreshnessBoard::OnCatchUp(const GroupId& aGroup,
                          const MemberId& aMember,
                          Duration aTook,
                          TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  mTables[aGroup].OnCatchUp(aMember, aTook, aNow);
}

ReadAction
FreshnessBoard::Choose(const ReadChooser& aChooser, const ReadRequest& aQuestion)
{
  const std::lock_guard lock(mMutex);
  auto& table = mTables[aQuestion.mGroup.mGroup];
  table.Retain(aQuestion.mGroup);
  return aChooser.Choose(aQuestion, table);
}

std::optional<TimePoint>
FreshnessBoard::ProvenAsOf(const GroupSettings& aGroup,
                           const LogPosition& aApplied,
                           std::uint64_t aTerm)
{
  const std::lock_guard lock(mMutex);
  auto& table = mTables[aGroup.mGroup];
  table.Retain(aGroup);
  return table.ProvenAsOf(aApplied, aTerm, aGroup.mMembers.size());
}

std::vector<MemberReport>
FreshnessBoard::Reports(const GroupId& aGroup) const
{
  const std::lock_guard lock(mMutex);
  std::vector<MemberReport> reports;
  const auto found = mTables.find(aGroup);
  if (found == mTables.end()) {
    return reports;
  }
  for (const auto& status : found->second.Statuses()) {
    reports.push_back(
      { status.mMember, status.mTerm, status.mLastPosition, status.mRequestedAt });
  }
  return reports;
}

std::optional<MemberProgress>
FreshnessBoard::ProgressOf(const GroupId& aGroup, const MemberId& aMember) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mTables.find(aGroup);
  return found == mTables.end() ? std::nullopt : found->second.StatusOf(aMember);
}

std::optional<Duration>
FreshnessBoard::ProvenAge(const GroupSettings& aGroup,
                          const MemberId& aMember,
                          std::uint64_t aTerm,
                          TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mTables.find(aGroup.mGroup);
  if (found == mTables.end()) {
    return std::nullopt;
  }
  const auto proven = found->second.ProvenAsOf(aMember, aTerm, aGroup.mMembers.size());
  return proven ? std::optional(aNow - *proven) : std::nullopt;
}

} // namespace papayaspindle
