#include "proxy/tables/tablefollower.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration kMinBackoff = 100ms;
constexpr Duration kMaxBackoff = 400ms;
// Maximum backoff where there are readers: during an outage, many instances turn to the
// store at once.
constexpr Duration kMaxBackoffWithReaders = 1500ms;
// Below the maximum number of changed rows in one answer of the store.
constexpr std::size_t kCompleteChangesLimit = 400;
// Maximum wait of a reader's own feed, which limits the age of its answers.
constexpr Duration kReaderFeedWait = 2s;
// Interval of the checks whether the list of instances is known.
constexpr Duration kReaderDiscoveryInterval = 250ms;
// Interval of the probes of the store while substitutes are queried.
constexpr Duration kProbeInterval = 1s;

} // namespace

TableFollower::TableFollower(std::string aTable, Duration aWait, FollowerHooks aHooks)
  : mTable(std::move(aTable))
  , mWait(aWait)
  , mHooks(std::move(aHooks))
{
}

void
TableFollower::SetActive(bool aIsActive, TimePoint aNow)
{
  mIsActive = aIsActive;
  if (mIsActive && mCopy.Incarnation() != mIncarnation) {
    // A call of an earlier incarnation may still wait for changes.
    mIncarnationCheckAt = aNow;
  }
  if (mIsActive && !mIsBusy) {
    mHasHistory = false;
    Continue(aNow);
  }
}

void
TableFollower::OnTimer(TimePoint aNow)
{
  if (aNow >= mIncarnationCheckAt) {
    mIncarnationCheckAt = TimePoint::max();
    LeaveIncarnation(aNow);
  }
  if (aNow >= mProbeAt) {
    mProbeAt = TimePoint::max();
    Probe(aNow);
  }
  if (aNow < mRetryAt) {
    return;
  }
  mRetryAt = TimePoint::max();
  Continue(aNow);
}

void
TableFollower::OnIncarnation(std::uint64_t aIncarnation, TimePoint aNow)
{
  if (aIncarnation > mIncarnation) {
    mIncarnation = aIncarnation;
    // The answer that has shown the incarnation may be that of the call in progress.
    mIncarnationCheckAt = aNow;
  }
}

void
TableFollower::LeaveIncarnation(TimePoint aNow)
{
  if (!mIsActive || mCopy.Incarnation() == mIncarnation) {
    return;
  }
  mHasHistory = false;
  if (mRetryAt != TimePoint::max()) {
    mRetryAt = aNow;
  } else if (mIsWaiting) {
    mCall++;
    Continue(aNow);
  }
}

void
TableFollower::OnStoreAnswered(TimePoint aNow)
{
  if (!mIsStoreLost) {
    return;
  }
  mStoreRetryAt = aNow;
  if (mRetryAt != TimePoint::max()) {
    mRetryAt = aNow;
  }
  if (mProbeAt != TimePoint::max()) {
    mProbeAt = aNow;
  }
}

void
TableFollower::Continue(TimePoint aNow)
{
  mIsBusy = mIsActive;
  mIsWaiting = false;
  if (!mIsActive) {
    return;
  }
  const ReaderChoice& choice = mHooks.mReaders();
  if (const auto reader = FirstAvailable(choice.mReaders, aNow)) {
    QueryReader(*reader, aNow);
    return;
  }
  if (mIsStoreLost) {
    if (const auto substitute = FirstAvailable(choice.mSubstitutes, aNow)) {
      QueryReader(*substitute, aNow);
      return;
    }
    if (mIsInContact) {
      mIsInContact = false;
      mHooks.mOnContactChanged(false);
    }
    if (aNow < mStoreRetryAt) {
      mRetryAt = mStoreRetryAt;
      return;
    }
    Read(aNow);
  } else if (mHasHistory && !choice.mIsKnown) {
    // When many instances start at once, every change would wake the feeds of all of
    // them.
    mRetryAt = aNow + kReaderDiscoveryInterval;
  } else if (mHasHistory) {
    Feed(aNow);
  } else {
    Read(aNow);
  }
}

void
TableFollower::Read(TimePoint aNow)
{
  mHooks.mRead(aNow, [this, aNow, call = ++mCall](const ReadResult& aResult) {
    if (call == mCall) {
      OnRead(aResult, aNow);
    }
  });
}

void
TableFollower::Feed(TimePoint aNow)
{
  const Duration wait =
    mHooks.mReaders().mIsReader ? std::min(mWait, kReaderFeedWait) : mWait;
  mIsWaiting = true;
  const auto onResult = [this, aNow, call = ++mCall](const FeedResult& aResult) {
    if (call == mCall) {
      OnFeed(aResult, aNow);
    }
  };
  mHooks.mFeed(mCopy.Revision(), wait, aNow, onResult);
}

void
TableFollower::Probe(TimePoint aNow)
{
  if (!mIsActive || !mIsStoreLost || mIsProbing) {
    return;
  }
  mIsProbing = true;
  mHooks.mRead(aNow,
               [this, aNow](const ReadResult& aResult) { OnProbed(aResult, aNow); });
}

TimePoint
TableFollower::AsOf(std::uint64_t aStoreTimeMs, TimePoint aSentAt) const
{
  return std::max(aSentAt,
                  mHooks.mEarliestLocalTime(aStoreTimeMs, aSentAt).value_or(aSentAt));
}

void
TableFollower::ApplySnapshot(const TableSnapshot& aSnapshot)
{
  RestoreContact();
  mIsStoreLost = false;
  mBackoff = {};
  mIsReadFromStore = true;
  mHasHistory = true;
  if (mCopy.Replace(aSnapshot.mRows, aSnapshot.Version())) {
    mHasReportedOlderSnapshot = false;
    mHooks.mOnRowsChanged(mCopy.Rows());
  } else {
    ReportOlderSnapshot(aSnapshot);
  }
}

void
TableFollower::OnRead(const ReadResult& aResult, TimePoint aSentAt)
{
  const auto* snapshot = std::get_if<TableSnapshot>(&aResult);
  if (snapshot == nullptr) {
    OnStoreFailure({ "read", std::get<StoreFailure>(aResult) });
    return;
  }
  ApplySnapshot(*snapshot);
  OnSuccess(AsOf(snapshot->mStoreTimeMs, aSentAt));
}

void
TableFollower::OnProbed(const ReadResult& aResult, TimePoint aSentAt)
{
  mIsProbing = false;
  if (!mIsStoreLost) {
    return;
  }
  const auto* snapshot = std::get_if<TableSnapshot>(&aResult);
  if (snapshot == nullptr) {
    mLastFailure = { "probe", std::get<StoreFailure>(aResult) };
    mProbeAt = mHooks.mNow() + kProbeInterval;
    return;
  }
  // The query to a substitute in progress still ends by itself; the store is read after
  // it.
  ApplySnapshot(*snapshot);
  Confirm(AsOf(snapshot->mStoreTimeMs, aSentAt));
}

void
TableFollower::OnFeed(const FeedResult& aResult, TimePoint aSentAt)
{
  if (const auto* failure = std::get_if<StoreFailure>(&aResult)) {
    OnStoreFailure({ "feed", *failure });
    return;
  }
  RestoreContact();
  mIsStoreLost = false;
  mBackoff = {};
  mIsReadFromStore = true;
  if (std::holds_alternative<HistoryLost>(aResult)) {
    OnHistoryLost();
    return;
  }
  mHasReportedHistoryLoss = false;
  mHistoryBackoff = {};
  const TableChanges& changes = std::get<TableChanges>(aResult);
  if (changes.mIncarnation != mCopy.Incarnation()) {
    // The store has given out the revision of the copy again.
    mHasHistory = false;
    Continue(mHooks.mNow());
    return;
  }
  if (mCopy.Apply(changes.mRows, changes.mRevision)) {
    mHooks.mOnRowsChanged(mCopy.Rows());
  }
  // A long answer may lack some changes.
  const bool isComplete = changes.mRows.size() < kCompleteChangesLimit;
  OnSuccess(isComplete ? AsOf(changes.mStoreTimeMs, aSentAt) : mAsOf);
}

void
TableFollower::OnHistoryLost()
{
  Count("store_history_lost");
  const bool isRepeated = mHasReportedHistoryLoss;
  if (!isRepeated) {
    mHasReportedHistoryLoss = true;
    Log(LogLevel::Info,
        "table_history_lost",
        { { "table", mTable }, { "revision", std::to_string(mCopy.Revision()) } });
  }
  mHasHistory = false;
  if (!isRepeated) {
    OnSuccess(mAsOf);
    return;
  }
  mHistoryBackoff = std::clamp(mHistoryBackoff * 2, kMinBackoff, kMaxBackoff);
  mRetryAt = mHooks.mNow() + mHistoryBackoff;
}

void
TableFollower::ReportOlderSnapshot(const TableSnapshot& aSnapshot)
{
  Count("table_snapshot_older");
  if (mHasReportedOlderSnapshot) {
    return;
  }
  mHasReportedOlderSnapshot = true;
  Log(LogLevel::Warning,
      "table_snapshot_older",
      { { "table", mTable },
        { "revision", std::to_string(mCopy.Revision()) },
        { "store_revision", std::to_string(aSnapshot.mRevision) } });
}

void
TableFollower::Log(LogLevel aLevel,
                   std::string_view aEvent,
                   std::initializer_list<LogField> aFields) const
{
  if (mHooks.mLog) {
    mHooks.mLog(aLevel, aEvent, aFields);
  }
}

void
TableFollower::Count(std::string_view aName) const
{
  if (mHooks.mCount) {
    mHooks.mCount(aName);
  }
}

void
TableFollower::OnStoreFailure(FailedStoreCall aCall)
{
  mLastFailure = aCall;
  const TimePoint now = mHooks.mNow();
  const Duration maxBackoff =
    mHooks.mReaders().mReaders.empty() ? kMaxBackoff : kMaxBackoffWithReaders;
  mBackoff = std::clamp(mBackoff * 2, kMinBackoff, maxBackoff);
  mIsStoreLost = true;
  mStoreRetryAt = now + mBackoff;
  Continue(now);
}

void
TableFollower::RestoreContact()
{
  if (!mIsInContact) {
    mIsInContact = true;
    mHooks.mOnContactChanged(true);
  }
}

void
TableFollower::Confirm(TimePoint aAsOf)
{
  mAsOf = std::max(mAsOf, aAsOf);
  if (mHooks.mOnRowsConfirmed) {
    mHooks.mOnRowsConfirmed(mAsOf);
  }
}

void
TableFollower::OnSuccess(TimePoint aAsOf)
{
  Confirm(aAsOf);
  Continue(mHooks.mNow());
}

std::optional<TimePoint>
TableFollower::ReadAsOf() const
{
  const bool isRead = mCopy.Incarnation() == mIncarnation && mIsActive &&
                      mIsReadFromStore && mIsInContact && !mIsStoreLost && mHasHistory;
  return isRead ? std::optional(mAsOf) : std::nullopt;
}

} // namespace papayaspindle::proxy
