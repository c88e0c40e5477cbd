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
// A configuration has to be in force within 5 s where there are readers. An unresponsive
// reader and a second one can both be queried within that time.
constexpr Duration kRelayedChangeWait = 1500ms;
// Maximum wait of a reader's own feed, which limits the age of its answers.
constexpr Duration kReaderFeedWait = 2s;
// Timeout of a request to a reader beyond its wait for a change; instances of the same
// zone answer within milliseconds.
constexpr Duration kRelayReplyMargin = 400ms;
// Above the wait of a reader's own feed: an older answer comes from a reader that has
// lost the store.
constexpr Duration kMaxRelayedAge = 3500ms;
// Time until a failed reader is queried again.
constexpr Duration kFailedReaderExclusion = 4s;
// Time until a reader that has refused is queried again; it may not have read the table
// yet or have just lost the store.
constexpr Duration kRefusingReaderExclusion = 500ms;
// Interval of the checks whether the list of instances is known.
constexpr Duration kReaderDiscoveryInterval = 250ms;

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
  if (mIsActive && !mIsBusy) {
    mHasHistory = false;
    Continue(aNow);
  }
}

void
TableFollower::OnTimer(TimePoint aNow)
{
  if (aNow < mRetryAt) {
    return;
  }
  mRetryAt = TimePoint::max();
  Continue(aNow);
}

std::optional<std::string>
TableFollower::AvailableReader(TimePoint aNow) const
{
  for (const std::string& reader : mHooks.mReaders().mReaders) {
    const auto excluded = mExcludedReaders.find(reader);
    if (excluded == mExcludedReaders.end() || excluded->second <= aNow) {
      return reader;
    }
  }
  return std::nullopt;
}

void
TableFollower::Continue(TimePoint aNow)
{
  mIsBusy = mIsActive;
  if (!mIsActive) {
    return;
  }
  mSentAt = aNow;
  if (const auto reader = AvailableReader(aNow)) {
    QueryReader(*reader, aNow);
  } else if (mHasHistory && !mHooks.mReaders().mIsKnown) {
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
TableFollower::QueryReader(const std::string& aReader, TimePoint aNow)
{
  // The first request, and the first one after a failure or a change of source, must be
  // answered without waiting for a change.
  const Duration wait =
    mHasHistory && !mIsReadFromStore && mIsInContact ? kRelayedChangeWait : 0ms;
  mHooks.mQueryReader(aReader,
                      { mTable, mCopy.Revision(), wait },
                      wait + kRelayReplyMargin,
                      aNow,
                      [this, aReader, aNow](const std::optional<RelayAnswer>& aAnswer) {
                        OnRelayed(aReader, aAnswer, aNow);
                      });
}

void
TableFollower::Read(TimePoint aNow)
{
  mHooks.mRead(aNow, [this](const ReadResult& aResult) { OnRead(aResult); });
}

void
TableFollower::Feed(TimePoint aNow)
{
  const Duration wait =
    mHooks.mReaders().mIsReader ? std::min(mWait, kReaderFeedWait) : mWait;
  mHooks.mFeed(
    mCopy.Revision(), wait, aNow, [this](const FeedResult& aResult) { OnFeed(aResult); });
}

TimePoint
TableFollower::AsOf(std::uint64_t aStoreTimeMs) const
{
  return std::max(mSentAt,
                  mHooks.mEarliestLocalTime(aStoreTimeMs, mSentAt).value_or(mSentAt));
}

void
TableFollower::OnRead(const ReadResult& aResult)
{
  const auto* snapshot = std::get_if<TableSnapshot>(&aResult);
  if (snapshot == nullptr) {
    OnFailure();
    return;
  }
  RestoreContact();
  mIsReadFromStore = true;
  mHasHistory = true;
  if (mCopy.Replace(snapshot->mRows, snapshot->mRevision)) {
    mHooks.mOnRowsChanged(mCopy.Rows());
  }
  OnSuccess(AsOf(snapshot->mStoreTimeMs));
}

void
TableFollower::OnFeed(const FeedResult& aResult)
{
  if (std::holds_alternative<StoreFailure>(aResult)) {
    OnFailure();
    return;
  }
  RestoreContact();
  mIsReadFromStore = true;
  if (std::holds_alternative<HistoryLost>(aResult)) {
    mHasHistory = false;
    OnSuccess(mAsOf);
    return;
  }
  const TableChanges& changes = std::get<TableChanges>(aResult);
  if (mCopy.Apply(changes.mRows, changes.mRevision)) {
    mHooks.mOnRowsChanged(mCopy.Rows());
  }
  // A long answer may lack some changes.
  const bool isComplete = changes.mRows.size() < kCompleteChangesLimit;
  OnSuccess(isComplete ? AsOf(changes.mStoreTimeMs) : mAsOf);
}

void
TableFollower::OnRelayed(const std::string& aReader,
                         const std::optional<RelayAnswer>& aAnswer,
                         TimePoint aSentAt)
{
  const TimePoint now = mHooks.mNow();
  // The reader sent its answer no earlier than the request was sent plus the time for
  // which it held the request.
  const TimePoint asOf =
    aAnswer ? aSentAt + aAnswer->mHoldTime - aAnswer->mAge : TimePoint();
  const bool isUsable = aAnswer && !aAnswer->mIsRefused &&
                        aAnswer->mRevision >= mCopy.Revision() &&
                        now - asOf < kMaxRelayedAge;
  if (!isUsable) {
    const bool isRefused = aAnswer && aAnswer->mIsRefused;
    mExcludedReaders[aReader] =
      now + (isRefused ? kRefusingReaderExclusion : kFailedReaderExclusion);
    // Another reader or the store is queried without delay.
    Continue(now);
    return;
  }
  RestoreContact();
  mIsReadFromStore = false;
  mHasHistory = true;
  if (mCopy.ApplyAnswer(*aAnswer)) {
    mHooks.mOnRowsChanged(mCopy.Rows());
  }
  OnSuccess(asOf);
}

void
TableFollower::OnFailure()
{
  const Duration maxBackoff =
    mHooks.mReaders().mReaders.empty() ? kMaxBackoff : kMaxBackoffWithReaders;
  mBackoff = std::clamp(mBackoff * 2, kMinBackoff, maxBackoff);
  mRetryAt = mHooks.mNow() + mBackoff;
  if (mIsInContact) {
    mIsInContact = false;
    mHooks.mOnContactChanged(false);
  }
}

void
TableFollower::RestoreContact()
{
  mBackoff = {};
  if (!mIsInContact) {
    mIsInContact = true;
    mHooks.mOnContactChanged(true);
  }
}

void
TableFollower::OnSuccess(TimePoint aAsOf)
{
  mAsOf = std::max(mAsOf, aAsOf);
  if (mHooks.mOnRowsConfirmed) {
    mHooks.mOnRowsConfirmed(mAsOf);
  }
  Continue(mHooks.mNow());
}

std::optional<TimePoint>
TableFollower::ReadAsOf() const
{
  const bool isRead = mIsActive && mIsReadFromStore && mIsInContact && mHasHistory;
  return isRead ? std::optional(mAsOf) : std::nullopt;
}

} // namespace papayaspindle::proxy
