#include "decision/failover/confirmation.h"

#include <algorithm>

namespace papayaspindle {

Confirmation::Confirmation(const FailoverSetup& aSetup, const FailoverSettings& aSettings)
  : mSetup(aSetup)
  , mSilence(aSetup.mReason == FailoverReason::PrimaryRefused
               ? aSettings.mConfirmSilenceRefused
               : aSettings.mConfirmSilence)
{
}

void
Confirmation::OnReply(const ConfirmationReply& aReply)
{
  if (!MayDecide(aReply.mHome)) {
    return;
  }
  mAgreeing.erase(aReply.mHome);
  mReaching.erase(aReply.mHome);
  if (aReply.mReachable) {
    mReaching.insert(aReply.mHome);
  } else if (aReply.mSilence >= mSilence) {
    mAgreeing.insert(aReply.mHome);
  }
}

void
Confirmation::OnStatus(const MemberStatus& aStatus)
{
  mAnswering.insert(aStatus.mMember);
  const bool follows =
    aStatus.mRole == MemberRole::Replica && aStatus.mPrimary == mSetup.mOldPrimary;
  if (follows && aStatus.mPrimarySilence >= mSilence) {
    mReplicasWithoutLink.insert(aStatus.mMember);
  } else {
    mReplicasWithoutLink.erase(aStatus.mMember);
  }
}

bool
Confirmation::IsNeeded() const
{
  return mSetup.mReason == FailoverReason::PrimarySilent ||
         mSetup.mReason == FailoverReason::PrimaryRefused;
}

bool
Confirmation::IsAgreed() const
{
  return !IsNeeded() || !mAgreeing.empty() ||
         (mReaching.empty() && !mReplicasWithoutLink.empty());
}

bool
Confirmation::MajorityAnswers() const
{
  return mAnswering.size() >= mSetup.mMembers.size() / 2 + 1;
}

bool
Confirmation::MayDecide(const InstanceId& aHome) const
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
