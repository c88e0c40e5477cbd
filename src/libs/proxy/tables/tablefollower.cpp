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
// Interval of the probes of the store while substitutes are queried.
constexpr Duration kProbeInterval = 1s;
// Time after the end of a feed's wait within which the store answers.
constexpr Duration kFeedAnswerMargin = 500ms;

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

std::optional<std::string>
TableFollower::FirstAvailable(const std::vector<std::string>& aInstances,
                              TimePoint aNow) const
{
  for (const std::string& instance : aInstances) {
    const auto excluded = mExcludedReaders.find(instance);
    if (excluded == mExcludedReaders.end() || excluded->second <= aNow) {
      return instance;
    }
  }
  return std::nullopt;
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
TableFollower::QueryReader(const std::string& aReader, TimePoint aNow)
{
  // The first request, and the first one after a failure or a change of source, must be
  // answered without waiting for a change.
  const Duration wait =
    mHasHistory && !mIsReadFromStore && mIsInContact ? kRelayedChangeWait : 0ms;
  mIsWaiting = wait > Duration();
  RelayRequest request{ mTable, mCopy.Revision(), wait };
  request.mIncarnation = mIncarnation;
  request.mSinceIncarnation = mCopy.Incarnation();
  mHooks.mQueryReader(
    aReader,
    request,
    wait + kRelayReplyMargin,
    aNow,
    [this, aReader, aNow, call = ++mCall](const std::optional<RelayAnswer>& aAnswer) {
      if (call == mCall) {
        OnRelayed(aReader, aAnswer, aNow);
      }
    });
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

Duration
TableFollower::MaxRelayedAge() const
{
  return std::max<Duration>(kMaxRelayedAge, mWait + kFeedAnswerMargin);
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
TableFollower::OnRelayed(const std::string& aReader,
                         const std::optional<RelayAnswer>& aAnswer,
                         TimePoint aSentAt)
{
  const TimePoint now = mHooks.mNow();
  // The reader sent its answer no earlier than the request was sent plus the time for
  // which it held the request.
  const TimePoint asOf =
    aAnswer ? aSentAt + aAnswer->mHoldTime - aAnswer->mAge : TimePoint();
  const bool isUsable =
    aAnswer && !aAnswer->mIsRefused && aAnswer->mIncarnation >= mIncarnation &&
    aAnswer->Version() >= mCopy.Version() &&
    (aAnswer->mIsFull || aAnswer->mIncarnation == mCopy.Incarnation()) &&
    now - asOf < MaxRelayedAge();
  if (!isUsable) {
    const bool isRefused = aAnswer && aAnswer->mIsRefused;
    mExcludedReaders[aReader] =
      now + (isRefused ? kRefusingReaderExclusion : kFailedReaderExclusion);
    // Another reader or the store is queried without delay.
    Continue(now);
    return;
  }
  if (aAnswer->mIncarnation > mIncarnation && mHooks.mOnIncarnation) {
    mHooks.mOnIncarnation(aAnswer->mIncarnation);
  }
  RestoreContact();
  const std::vector<std::string>& readers = mHooks.mReaders().mReaders;
  const bool isReader =
    std::find(readers.begin(), readers.end(), aReader) != readers.end();
  // A probe may have reached the store while a substitute held the request.
  mIsReadFromStore = mIsReadFromStore && !mIsStoreLost && !isReader;
  mHasHistory = true;
  if (mIsStoreLost && !mIsProbing && mProbeAt == TimePoint::max()) {
    mProbeAt = std::max(now, mStoreRetryAt);
  }
  if (mCopy.ApplyAnswer(*aAnswer)) {
    mHooks.mOnRowsChanged(mCopy.Rows());
  }
  OnSuccess(asOf);
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
