#include "decision/failover/viewrecorder.h"

#include <algorithm>

namespace papayaspindle {

ViewRecorder::ViewRecorder(const RecordSettings& aSettings)
  : mSettings(aSettings)
  , mPause(aSettings.mFirstPause)
{
}

void
ViewRecorder::Want(const GroupView& aView)
{
  if (aView.mTerm > mWanted.mTerm) {
    mWanted = aView;
  }
}

std::optional<RecordAction>
ViewRecorder::Next(TimePoint aNow)
{
  if (mInFlight || aNow < mNotBefore || IsDone()) {
    return std::nullopt;
  }
  mInFlight = true;
  if (!mRow) {
    return ReadRecord{};
  }
  mWriting = mWanted;
  return WriteRecord{ mWanted, mRow->mVersion };
}

void
ViewRecorder::OnRow(const RecordedView& aRow, TimePoint aNow)
{
  mInFlight = false;
  mRow = aRow;
  mNotBefore = aNow;
  mPause = mSettings.mFirstPause;
}

void
ViewRecorder::OnCommitted(TimePoint aNow)
{
  OnRow({ *mWriting, mRow->mVersion + 1 }, aNow);
}

void
ViewRecorder::OnFailure(TimePoint aNow)
{
  mInFlight = false;
  mRow.reset();
  mNotBefore = aNow + mPause;
  mPause = std::min<Duration>(mPause * 2, mSettings.mLongestPause);
}

bool
ViewRecorder::IsDone() const
{
  return mWanted.mTerm == 0 || (mRow && mRow->mView.mTerm >= mWanted.mTerm);
}

std::optional<GroupView>
ViewRecorder::Newer() const
{
  if (mRow && mRow->mView.mTerm > mWanted.mTerm) {
    return mRow->mView;
  }
  return std::nullopt;
}

} // namespace papayaspindle
