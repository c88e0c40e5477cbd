#include "decision/failover/viewrecorder.h"

#include <algorithm>

namespace papayaspindle {

ViewRecorder::ViewRecorder(const RecordSettings& aSettings)
  : mSettings(aSettings)
  , mBackoff(aSettings.mBackoffMin)
{
}

void
ViewRecorder::RequestRecord(const GroupView& aView)
{
  if (aView.mTerm > mRequestedView.mTerm) {
    mRequestedView = aView;
  }
}

std::optional<RecordAction>
ViewRecorder::NextAction(TimePoint aNow)
{
  if (mInFlight || aNow < mNextAttemptAt || IsRecorded()) {
    return std::nullopt;
  }
  mInFlight = true;
  if (!mRow) {
    return ReadRecord{};
  }
  mViewInFlight = mRequestedView;
  return WriteRecord{ mRequestedView, mRow->mVersion };
}

void
ViewRecorder::OnRow(const RecordedView& aRow, TimePoint aNow)
{
  mInFlight = false;
  mRow = aRow;
  mNextAttemptAt = aNow;
  mBackoff = mSettings.mBackoffMin;
}

void
ViewRecorder::OnCommitted(TimePoint aNow)
{
  OnRow({ *mViewInFlight, mRow->mVersion + 1 }, aNow);
}

void
ViewRecorder::OnFailure(TimePoint aNow)
{
  mInFlight = false;
  mRow.reset();
  mNextAttemptAt = aNow + mBackoff;
  mBackoff = std::min<Duration>(mBackoff * 2, mSettings.mBackoffMax);
}

bool
ViewRecorder::IsRecorded() const
{
  return mRequestedView.mTerm == 0 || (mRow && mRow->mView.mTerm >= mRequestedView.mTerm);
}

std::optional<GroupView>
ViewRecorder::NewerRecordedView() const
{
  if (mRow && mRow->mView.mTerm > mRequestedView.mTerm) {
    return mRow->mView;
  }
  return std::nullopt;
}

} // namespace papayaspindle
