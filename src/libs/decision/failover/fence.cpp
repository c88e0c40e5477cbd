#include "decision/failover/fence.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace papayaspindle {

Fence::Fence(const FailoverSetup& aSetup, std::uint64_t aTerm)
  : mSetup(aSetup)
  , mTerm(aTerm)
{
}

std::uint64_t
Fence::Term() const
{
  return mTerm;
}

void
Fence::OnGrant(const MemberId& aMember, const LogPosition& aLast)
{
  if (IsMember(aMember)) {
    mGrants[aMember] = aLast;
  }
}

void
Fence::OnRefusal(const MemberId& aMember)
{
  if (IsMember(aMember) && !IsGrantedBy(aMember)) {
    mRefusals.insert(aMember);
  }
}

void
Fence::OnNoAnswer(const MemberId& aMember)
{
  mNoAnswers.insert(aMember);
}

bool
Fence::HasMajority() const
{
  return IsMajority(mGrants.size());
}

bool
Fence::IsMajorityUnreachable() const
{
  return !IsMajority(mSetup.mMembers.size() - mRefusals.size());
}

bool
Fence::HasEveryMemberResponded() const
{
  return std::all_of(
    mSetup.mMembers.begin(), mSetup.mMembers.end(), [this](const auto& aMember) {
      return IsGrantedBy(aMember.mMember) || mRefusals.contains(aMember.mMember) ||
             mNoAnswers.contains(aMember.mMember);
    });
}

bool
Fence::IsGrantedBy(const MemberId& aMember) const
{
  return mGrants.contains(aMember);
}

std::optional<MemberId>
Fence::ChoosePrimary() const
{
  if (!HasMajority()) {
    return std::nullopt;
  }
  std::vector<const FailoverMember*> candidates;
  std::vector<const FailoverMember*> notLeaving;
  for (const FailoverMember& member : mSetup.mMembers) {
    if (IsGrantedBy(member.mMember)) {
      candidates.push_back(&member);
    }
    if (IsGrantedBy(member.mMember) && !member.mLeaving) {
      notLeaving.push_back(&member);
    }
  }
  if (IsMajority(notLeaving.size())) {
    candidates = notLeaving;
  }
  const auto rankOf = [this](const FailoverMember& aMember) {
    return std::pair(mGrants.at(aMember.mMember), PreferenceOf(aMember));
  };
  // max_element returns the first of equals, in the order of the group's settings.
  const auto best = std::max_element(
    candidates.begin(), candidates.end(), [&](const auto* aLeft, const auto* aRight) {
      return rankOf(*aLeft) < rankOf(*aRight);
    });
  return (*best)->mMember;
}

bool
Fence::IsMember(const MemberId& aMember) const
{
  return std::any_of(mSetup.mMembers.begin(),
                     mSetup.mMembers.end(),
                     [&](const auto& aOther) { return aOther.mMember == aMember; });
}

bool
Fence::IsMajority(std::size_t aCount) const
{
  return aCount >= mSetup.mMembers.size() / 2 + 1;
}

int
Fence::PreferenceOf(const FailoverMember& aMember) const
{
  const bool wasPrimary = aMember.mMember == mSetup.mOldPrimary;
  const bool suspect =
    wasPrimary && (mSetup.mReason == FailoverReason::PrimaryUnresponsive ||
                   mSetup.mReason == FailoverReason::PrimaryRefused);
  constexpr int kNotLeaving = 4;
  constexpr int kNotSuspect = 2;
  constexpr int kStaysPrimary = 1;
  return (aMember.mLeaving ? 0 : kNotLeaving) + (suspect ? 0 : kNotSuspect) +
         (wasPrimary ? kStaysPrimary : 0);
}

} // namespace papayaspindle
