#include "proxy/tables/tablefollower.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

using namespace std::chrono_literals;

// A configuration has to be in force within 5 s where there are readers. An unresponsive
// reader and a second one can both be queried within that time.
constexpr Duration kRelayedChangeWait = 1500ms;
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
// Time after the end of a feed's wait within which the store answers.
constexpr Duration kFeedAnswerMargin = 500ms;

} // namespace

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

Duration
TableFollower::MaxRelayedAge() const
{
  return std::max<Duration>(kMaxRelayedAge, mWait + kFeedAnswerMargin);
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

} // namespace papayaspindle::proxy
