#include "decision/failover/fence.h"

#include <algorithm>
#include <utility>

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
  return mGrants.size() >= mSetup.mMembers.size() / 2 + 1;
}

bool
Fence::IsLost() const
{
  return mSetup.mMembers.size() - mRefusals.size() < mSetup.mMembers.size() / 2 + 1;
}

bool
Fence::IsComplete() const
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
Fence::Choose() const
{
  if (!HasMajority()) {
    return std::nullopt;
  }
  const FailoverMember* best = nullptr;
  for (const FailoverMember& member : mSetup.mMembers) {
    const auto grant = mGrants.find(member.mMember);
    if (grant == mGrants.end()) {
      continue;
    }
    if (best == nullptr) {
      best = &member;
      continue;
    }
    const auto rankOf = [this](const FailoverMember& aMember) {
      return std::pair(mGrants.at(aMember.mMember), Preference(aMember));
    };
    if (rankOf(member) > rankOf(*best)) {
      best = &member;
    }
  }
  return best->mMember;
}

bool
Fence::IsMember(const MemberId& aMember) const
{
  return std::any_of(mSetup.mMembers.begin(),
                     mSetup.mMembers.end(),
                     [&](const auto& aOther) { return aOther.mMember == aMember; });
}

int
Fence::Preference(const FailoverMember& aMember) const
{
  const bool wasPrimary = aMember.mMember == mSetup.mOldPrimary;
  const bool suspect = wasPrimary && (mSetup.mReason == FailoverReason::PrimarySilent ||
                                      mSetup.mReason == FailoverReason::PrimaryRefused);
  constexpr int kNotLeaving = 4;
  constexpr int kNotSuspect = 2;
  constexpr int kStaysPrimary = 1;
  return (aMember.mLeaving ? 0 : kNotLeaving) + (suspect ? 0 : kNotSuspect) +
         (wasPrimary ? kStaysPrimary : 0);
}

} // namespace papayaspindle
