#include "decision/allowance/authoritywatcher.h"

#include "decision/allowance/allowancetimes.h"

namespace papayaspindle {

void
AuthorityWatcher::OnRow(const AuthorityRow& aRow, TimePoint aNow)
{
  if (mRow && aRow.mVersion <= mRow->mVersion) {
    return;
  }
  mRow = aRow;
  mUnchangedSince = aNow;
}

const std::optional<AuthorityRow>&
AuthorityWatcher::Row() const
{
  return mRow;
}

bool
AuthorityWatcher::HasEpochEnded(std::uint64_t aEpoch) const
{
  if (!mRow) {
    return false;
  }
  return mRow->mEpoch > aEpoch || (mRow->mEpoch == aEpoch && mRow->mEnded);
}

bool
AuthorityWatcher::MayTakeOver(TimePoint aNow) const
{
  return mRow && (mRow->mEnded || aNow - mUnchangedSince >= kTakeoverWait);
}

AuthorityRow
RevokedRow(const AuthorityRow& aRow)
{
  AuthorityRow next = aRow;
  ++next.mEpoch;
  next.mEnded = true;
  return next;
}

} // namespace papayaspindle
