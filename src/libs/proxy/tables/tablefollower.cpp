#include "proxy/tables/tablefollower.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration kBackoffFirst = 100ms;
constexpr Duration kBackoffMost = 400ms;
// Where there are readers, many instances turn to a store that they have all lost.
constexpr Duration kBackoffMostOfMany = 1500ms;
// Fewer changed rows than one answer of the store may hold.
constexpr std::size_t kCompleteChanges = 400;
// Configurations come into force within 5 s and more where there are readers: a silent
// reader and a second one fit in.
constexpr Duration kRelayWait = 1500ms;
// A reader's word is never much older than this.
constexpr Duration kReaderWait = 2s;
// Beyond the wait; instances of a zone answer within milliseconds.
constexpr Duration kRelayMargin = 400ms;
// Above the wait of a reader's own feed: an older word comes from one that lost the
// store.
constexpr Duration kRelayStale = 3500ms;
// A reader that failed is asked again after this time.
constexpr Duration kLeftOutTime = 4s;
// One that has not read the table yet, or has just lost the store.
constexpr Duration kRefusedTime = 500ms;
// Pause until the instances are known.
constexpr Duration kReaderSearch = 250ms;

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
TableFollower::Reader(TimePoint aNow) const
{
  for (const std::string& reader : mHooks.mReaders().mReaders) {
    const auto leftOut = mLeftOut.find(reader);
    if (leftOut == mLeftOut.end() || leftOut->second <= aNow) {
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
  if (const auto reader = Reader(aNow)) {
    Ask(*reader, aNow);
  } else if (mHasHistory && !mHooks.mReaders().mIsKnown) {
    // After the start of many, a feed of each would wake with every change.
    mRetryAt = aNow + kReaderSearch;
  } else if (mHasHistory) {
    Feed(aNow);
  } else {
    Read(aNow);
  }
}

void
TableFollower::Ask(const std::string& aReader, TimePoint aNow)
{
  // The first answer is wanted at once, also after another source has failed.
  const Duration wait = mHasHistory && !mIsDirect && mIsInContact ? kRelayWait : 0ms;
  mHooks.mAsk(aReader,
              { mTable, mCopy.Revision(), wait },
              wait + kRelayMargin,
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
    mHooks.mReaders().mIsReader ? std::min(mWait, kReaderWait) : mWait;
  mHooks.mFeed(
    mCopy.Revision(), wait, aNow, [this](const FeedResult& aResult) { OnFeed(aResult); });
}

TimePoint
TableFollower::AsOf(std::uint64_t aStoreTimeMs) const
{
  return std::max(mSentAt, mHooks.mStoreTime(aStoreTimeMs, mSentAt).value_or(mSentAt));
}

void
TableFollower::OnRead(const ReadResult& aResult)
{
  const auto* snapshot = std::get_if<TableSnapshot>(&aResult);
  if (snapshot == nullptr) {
    OnFailure();
    return;
  }
  NoteContact();
  mIsDirect = true;
  mHasHistory = true;
  if (mCopy.Replace(snapshot->mRows, snapshot->mRevision)) {
    mHooks.mChanged(mCopy.Rows());
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
  NoteContact();
  mIsDirect = true;
  if (std::holds_alternative<HistoryLost>(aResult)) {
    mHasHistory = false;
    OnSuccess(mAsOf);
    return;
  }
  const TableChanges& changes = std::get<TableChanges>(aResult);
  if (mCopy.Apply(changes.mRows, changes.mRevision)) {
    mHooks.mChanged(mCopy.Rows());
  }
  // A long answer may not hold all changes.
  const bool isComplete = changes.mRows.size() < kCompleteChanges;
  OnSuccess(isComplete ? AsOf(changes.mStoreTimeMs) : mAsOf);
}

void
TableFollower::OnRelayed(const std::string& aReader,
                         const std::optional<RelayAnswer>& aAnswer,
                         TimePoint aSentAt)
{
  const TimePoint now = mHooks.mNow();
  // The reader answered no earlier than it had held the request.
  const TimePoint asOf = aAnswer ? aSentAt + aAnswer->mHeld - aAnswer->mAge : TimePoint();
  const bool isUseful = aAnswer && !aAnswer->mIsRefused &&
                        aAnswer->mRevision >= mCopy.Revision() &&
                        now - asOf < kRelayStale;
  if (!isUseful) {
    const bool isRefused = aAnswer && aAnswer->mIsRefused;
    mLeftOut[aReader] = now + (isRefused ? kRefusedTime : kLeftOutTime);
    // Another reader, or the store, is asked at once.
    Continue(now);
    return;
  }
  NoteContact();
  mIsDirect = false;
  mHasHistory = true;
  if (mCopy.Take(*aAnswer)) {
    mHooks.mChanged(mCopy.Rows());
  }
  OnSuccess(asOf);
}

void
TableFollower::OnFailure()
{
  const Duration most =
    mHooks.mReaders().mReaders.empty() ? kBackoffMost : kBackoffMostOfMany;
  mBackoff = std::clamp(mBackoff * 2, kBackoffFirst, most);
  mRetryAt = mHooks.mNow() + mBackoff;
  if (mIsInContact) {
    mIsInContact = false;
    mHooks.mContact(false);
  }
}

void
TableFollower::NoteContact()
{
  mBackoff = {};
  if (!mIsInContact) {
    mIsInContact = true;
    mHooks.mContact(true);
  }
}

void
TableFollower::OnSuccess(TimePoint aAsOf)
{
  mAsOf = std::max(mAsOf, aAsOf);
  if (mHooks.mConfirmed) {
    mHooks.mConfirmed(mAsOf);
  }
  Continue(mHooks.mNow());
}

std::optional<TimePoint>
TableFollower::ReadAsOf() const
{
  const bool isRead = mIsActive && mIsDirect && mIsInContact && mHasHistory;
  return isRead ? std::optional(mAsOf) : std::nullopt;
}

} // namespace papayaspindle::proxy
