#include "decision/allowance/authorityholder.h"

#include "decision/allowance/allowancetimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

AuthorityHolder::AuthorityHolder(std::string aProcess)
  : mProcess(std::move(aProcess))
{
}

bool
AuthorityHolder::IsDue(TimePoint aNow) const
{
  return !mRelinquished && (!mNextCycle || aNow >= *mNextCycle);
}

bool
AuthorityHolder::MayWrite(const AuthorityRow& aRow, TimePoint aNow)
{
  if (aRow.mVersion == 0 || aRow.mEnded || aRow.mProcess == mProcess) {
    return true;
  }
  mOtherProcess.OnRow(aRow, aNow);
  return mOtherProcess.Row()->mVersion == aRow.mVersion &&
         mOtherProcess.MayTakeOver(aNow);
}

std::optional<AuthorityRow>
AuthorityHolder::OnRow(const AuthorityRow& aRow, TimePoint aNow)
{
  if (mRelinquished) {
    return std::nullopt;
  }
  const bool own = aRow.mVersion != 0 && aRow.mProcess == mProcess && !aRow.mEnded;
  if (own) {
    OnCommitted(aRow.mSerial);
  } else if (aRow.mEpoch >= mEpoch) {
    mValidUntil.reset();
  }
  std::erase_if(mAttempts, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mSentAt >= kAuthorityDuration;
  });
  const bool renewed = own && ValidEpoch(aNow) && !IsDue(aNow);
  if (renewed) {
    return std::nullopt;
  }
  mNextCycle = aNow + kAuthorityRetryInterval;
  if (!MayWrite(aRow, aNow)) {
    return std::nullopt;
  }
  AuthorityRow next;
  next.mProcess = mProcess;
  next.mEpoch = own ? aRow.mEpoch : aRow.mEpoch + 1;
  next.mSerial = mNextSerial++;
  next.mVersion = aRow.mVersion;
  mAttempts[next.mSerial] = { next.mEpoch, aNow };
  return next;
}

void
AuthorityHolder::OnCommitted(std::uint64_t aSerial)
{
  const auto found = mAttempts.find(aSerial);
  if (found == mAttempts.end() || found->second.mEpoch < mEpoch || mRelinquished) {
    return;
  }
  const Attempt attempt = found->second;
  mAttempts.erase(found);
  const TimePoint until = attempt.mSentAt + kAuthorityDuration;
  const bool longer = !mValidUntil || until > *mValidUntil || attempt.mEpoch > mEpoch;
  if (!longer) {
    return;
  }
  mEpoch = attempt.mEpoch;
  mValidUntil = until;
  mNextCycle = attempt.mSentAt + kAuthorityRenewalInterval;
}

void
AuthorityHolder::OnCycleFailed(TimePoint aNow)
{
  mNextCycle = aNow + kAuthorityRetryInterval;
}

std::optional<AuthorityRow>
AuthorityHolder::Relinquish(const AuthorityRow& aRow)
{
  mRelinquished = true;
  mValidUntil.reset();
  if (aRow.mProcess != mProcess || aRow.mEnded) {
    return std::nullopt;
  }
  AuthorityRow next = aRow;
  next.mSerial = mNextSerial++;
  next.mEnded = true;
  return next;
}

std::optional<std::uint64_t>
AuthorityHolder::ValidEpoch(TimePoint aNow) const
{
  if (!mValidUntil || aNow >= *mValidUntil) {
    return std::nullopt;
  }
  return mEpoch;
}

} // namespace papayaspindle
