#include "proxy/leadership/conditionalwriter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace papayaspindle::proxy {

namespace {

// Time for an answer: the store usually takes a few ms for a write.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(250);
// An answer of the store is lost with a certain probability; several attempts bound the
// number of calls.
constexpr std::uint32_t kMaxAttempts = 4;

} // namespace

ConditionalWriter::ConditionalWriter(ConditionalWriterHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

void
ConditionalWriter::Write(const ConditionalWrite& aWrite, ResultHook aHook)
{
  const WriteKey key = mNextKey++;
  PendingWrite& pending = mPending[key];
  pending.mWrite = aWrite;
  pending.mHook = std::move(aHook);
  if (IsOutdated(pending)) {
    // Refused by the next timer, so that no caller is called back from within its call.
    pending.mNextCheckAt = mHooks.mNow();
    return;
  }
  Send(key);
}

void
ConditionalWriter::OnIncarnation(std::uint64_t aIncarnation, TimePoint aNow)
{
  if (aIncarnation <= mIncarnation) {
    return;
  }
  mIncarnation = aIncarnation;
  for (auto& [key, pending] : mPending) {
    if (IsOutdated(pending)) {
      pending.mNextCheckAt = std::min(pending.mNextCheckAt, aNow);
    }
  }
}

bool
ConditionalWriter::IsOutdated(const PendingWrite& aPending) const
{
  return aPending.mWrite.mRow.mIncarnation < mIncarnation;
}

void
ConditionalWriter::Send(WriteKey aKey)
{
  PendingWrite& pending = mPending.at(aKey);
  pending.mAttempts++;
  pending.mUnanswered++;
  pending.mSentAt = mHooks.mNow();
  pending.mNextCheckAt = pending.mSentAt + kAnswerTimeout;
  const ConditionalWrite write = pending.mWrite;
  mHooks.mWrite(write,
                [this, aKey](const WriteResult& aResult) { OnResult(aKey, aResult); });
}

void
ConditionalWriter::OnResult(WriteKey aKey, const WriteResult& aResult)
{
  const auto found = mPending.find(aKey);
  if (found == mPending.end()) {
    return;
  }
  PendingWrite& pending = found->second;
  pending.mUnanswered--;
  const bool isOnlyAttempt = pending.mAttempts == 1;
  if (const auto* written = std::get_if<Written>(&aResult)) {
    OnIncarnation(written->mIncarnation, mHooks.mNow());
  }
  if (IsOutdated(pending)) {
    pending.mNextCheckAt = std::min(pending.mNextCheckAt, mHooks.mNow());
  } else if (std::holds_alternative<Written>(aResult) ||
             (isOnlyAttempt && !std::holds_alternative<StoreFailure>(aResult))) {
    Finish(aKey, aResult);
  } else if (std::holds_alternative<RowConflict>(aResult)) {
    // An earlier attempt may have caused the conflict.
    Check(aKey, mHooks.mNow());
  } else if (pending.mUnanswered == 0 && !pending.mIsReading) {
    Finish(aKey, isOnlyAttempt ? aResult : WriteResult(StoreFailure::NoAnswer));
  }
}

void
ConditionalWriter::Check(WriteKey aKey, TimePoint aNow)
{
  PendingWrite& pending = mPending.at(aKey);
  if (pending.mAttempts == 0) {
    Finish(aKey, RowConflict{});
    return;
  }
  pending.mNextCheckAt = aNow + kAnswerTimeout;
  pending.mIsReading = true;
  pending.mIsReadingBack = IsOutdated(pending);
  mHooks.mRead(aNow,
               [this, aKey](const ReadResult& aResult) { OnRowRead(aKey, aResult); });
}

void
ConditionalWriter::OnRowRead(WriteKey aKey, const ReadResult& aResult)
{
  const auto found = mPending.find(aKey);
  if (found == mPending.end()) {
    return;
  }
  PendingWrite& pending = found->second;
  pending.mIsReading = false;
  const auto* snapshot = std::get_if<TableSnapshot>(&aResult);
  if (snapshot != nullptr) {
    OnIncarnation(snapshot->mIncarnation, mHooks.mNow());
  }
  const bool isOutdated = IsOutdated(pending);
  if (snapshot == nullptr || snapshot->mIncarnation < mIncarnation) {
    if (pending.mUnanswered == 0 && pending.mIsReadingBack == isOutdated) {
      Finish(aKey, StoreFailure::NoAnswer);
    }
    return;
  }
  if (isOutdated) {
    Finish(aKey, StoreFailure::NoAnswer);
    return;
  }
  const StoredRow& row = pending.mWrite.mRow;
  const auto stored =
    std::find_if(snapshot->mRows.begin(),
                 snapshot->mRows.end(),
                 [&](const StoredRow& aStored) { return aStored.mKey == row.mKey; });
  const std::uint64_t revision = stored == snapshot->mRows.end() ? 0 : stored->mRevision;
  if (revision != row.mRevision) {
    const bool isOwn = revision > row.mRevision && stored->mValue == row.mValue;
    Finish(aKey,
           isOwn ? WriteResult(Written{ revision, 0, mIncarnation })
                 : WriteResult(RowConflict{}));
  } else if (pending.mAttempts < kMaxAttempts) {
    Send(aKey);
  } else if (pending.mUnanswered == 0) {
    Finish(aKey, StoreFailure::NoAnswer);
  }
}

void
ConditionalWriter::Finish(WriteKey aKey, const WriteResult& aResult)
{
  const auto found = mPending.find(aKey);
  const ResultHook hook = std::move(found->second.mHook);
  mPending.erase(found);
  hook(aResult);
}

void
ConditionalWriter::OnStoreAnswered(TimePoint aNow)
{
  for (auto& [key, pending] : mPending) {
    // A write that was sent just now is still being answered.
    if (aNow - pending.mSentAt >= kAnswerTimeout) {
      pending.mNextCheckAt = std::min(pending.mNextCheckAt, aNow);
    }
  }
}

void
ConditionalWriter::OnTimer(TimePoint aNow)
{
  std::vector<WriteKey> due;
  for (const auto& [key, pending] : mPending) {
    if (pending.mNextCheckAt <= aNow) {
      due.push_back(key);
    }
  }
  for (const WriteKey key : due) {
    if (mPending.contains(key)) {
      Check(key, aNow);
    }
  }
}

TimePoint
ConditionalWriter::NextTimer() const
{
  TimePoint next = TimePoint::max();
  for (const auto& [key, pending] : mPending) {
    next = std::min(next, pending.mNextCheckAt);
  }
  return next;
}

} // namespace papayaspindle::proxy
