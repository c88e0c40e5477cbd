#include "decision/failover/confirmation.h"

#include <algorithm>

namespace papayaspindle {

Confirmation::Confirmation(const FailoverSetup& aSetup, const FailoverSettings& aSettings)
  : mSetup(aSetup)
  , mRequiredSilence(aSetup.mReason == FailoverReason::PrimaryRefused
                       ? aSettings.mMinConfirmedSilenceRefused
                       : aSettings.mMinConfirmedSilence)
{
}

void
Confirmation::OnReply(const ConfirmationReply& aReply)
{
  if (!IsDecisive(aReply.mHome)) {
    return;
  }
  mConfirmingHomes.erase(aReply.mHome);
  mRefutingHomes.erase(aReply.mHome);
  if (aReply.mReachable) {
    mRefutingHomes.insert(aReply.mHome);
  } else if (aReply.mSilence >= mRequiredSilence) {
    mConfirmingHomes.insert(aReply.mHome);
  }
}

void
Confirmation::OnStatus(const MemberStatus& aStatus)
{
  mAnsweringMembers.insert(aStatus.mMember);
  const bool follows =
    aStatus.mRole == MemberRole::Replica && aStatus.mPrimary == mSetup.mOldPrimary;
  if (follows && aStatus.mPrimarySilence >= mRequiredSilence) {
    mReplicasWithoutLink.insert(aStatus.mMember);
  } else {
    mReplicasWithoutLink.erase(aStatus.mMember);
  }
}

bool
Confirmation::IsNeeded() const
{
  return mSetup.mReason == FailoverReason::PrimaryUnresponsive ||
         mSetup.mReason == FailoverReason::PrimaryRefused;
}

bool
Confirmation::IsConfirmed() const
{
  return !IsNeeded() || !mConfirmingHomes.empty() ||
         (mRefutingHomes.empty() && !mReplicasWithoutLink.empty());
}

bool
Confirmation::HasMajorityAnswered() const
{
  return mAnsweringMembers.size() >= mSetup.mMembers.size() / 2 + 1;
}

bool
Confirmation::IsDecisive(const InstanceId& aHome) const
{
  const auto& homes = mSetup.mOtherHomes;
  const auto home = std::find_if(homes.begin(), homes.end(), [&](const auto& aOther) {
    return aOther.mInstance == aHome;
  });
  if (home == homes.end()) {
    return false;
  }
  const bool onlyOwnZone =
    std::all_of(homes.begin(), homes.end(), [](const auto& aOther) {
      return aOther.mSameAvailabilityZone;
    });
  return onlyOwnZone || !home->mSameAvailabilityZone;
}

} // namespace papayaspindle
