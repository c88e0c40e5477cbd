#include "proxy/tables/tablerelay.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

// Limit of queued answers, a small part of the memory of the smallest machine (160 MB).
constexpr std::size_t kMaxQueuedBytes = 8U << 20U;
// Limit of simultaneous reads of the store on behalf of other instances.
constexpr std::size_t kMaxReads = 16;

std::size_t
SizeOf(const RelayAnswer& aAnswer)
{
  std::size_t bytes = 0;
  for (const ChangedRow& change : aAnswer.mRows) {
    bytes += change.mRow.mKey.size() + change.mRow.mValue.size();
  }
  return bytes;
}

} // namespace

TableRelay::TableRelay(TableRelayHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

void
TableRelay::AddTable(const std::string& aTable, RelaySource aSource)
{
  mTables[aTable] = std::move(aSource);
}

void
TableRelay::AddRequest(RelayKey aKey, const RelayRequest& aRequest, TimePoint aNow)
{
  if (aRequest.mNeedsRead) {
    ReadForRequest(aKey, aRequest, aNow);
    return;
  }
  const WaitingRequest waiting{ aRequest, aNow };
  if (!TryAnswer(aKey, waiting, aNow)) {
    mWaitingRequests[aKey] = waiting;
  }
}

void
TableRelay::Cancel(RelayKey aKey)
{
  mWaitingRequests.erase(aKey);
  mReadRequests.erase(aKey);
}

void
TableRelay::ReadForRequest(RelayKey aKey, const RelayRequest& aRequest, TimePoint aNow)
{
  const auto table = mTables.find(aRequest.mTable);
  // Reads that would probably fail would delay the requester.
  const bool isReadable = table != mTables.end() && table->second.mRead &&
                          table->second.mReadAsOf().has_value();
  if (!isReadable || mReadRequests.size() >= kMaxReads) {
    Refuse(aKey);
    return;
  }
  mReadRequests.insert(aKey);
  table->second.mRead(aNow, [this, aKey](const ReadResult& aResult) {
    if (mReadRequests.erase(aKey) == 0) {
      return;
    }
    const auto* snapshot = std::get_if<TableSnapshot>(&aResult);
    if (snapshot == nullptr) {
      Refuse(aKey);
      return;
    }
    RelayAnswer answer;
    answer.mIsFull = true;
    answer.mIsRead = true;
    answer.mRevision = snapshot->mRevision;
    answer.mIncarnation = snapshot->mIncarnation;
    for (const StoredRow& row : snapshot->mRows) {
      answer.mRows.push_back({ row, false });
    }
    mHooks.mAnswer(aKey, answer);
  });
}

bool
TableRelay::TryAnswer(RelayKey aKey, const WaitingRequest& aWaiting, TimePoint aNow)
{
  const auto table = mTables.find(aWaiting.mRequest.mTable);
  const auto asOf = table == mTables.end() ? std::nullopt : table->second.mReadAsOf();
  if (!asOf) {
    Refuse(aKey);
    return true;
  }
  const TableCopy& copy = table->second.mCopy();
  const RelayRequest& request = aWaiting.mRequest;
  if (request.mIncarnation > copy.Incarnation()) {
    // The copy is of a state that the store no longer has.
    if (mHooks.mOnIncarnation) {
      mHooks.mOnIncarnation(request.mIncarnation);
    }
    Refuse(aKey);
    return true;
  }
  const Duration heldTime = aNow - aWaiting.mSince;
  const StoreRevision since{ request.mSinceIncarnation == 0 ? copy.Incarnation()
                                                            : request.mSinceIncarnation,
                             request.mSinceRevision };
  const bool isRequesterBehind = copy.Version() > since;
  RelayAnswer answer;
  if (isRequesterBehind) {
    answer = copy.ChangesAfter(since);
  }
  // The store's revision also increases with changes of other tables.
  const bool hasChanges = answer.mIsFull || !answer.mRows.empty();
  if (!hasChanges && heldTime < aWaiting.mRequest.mMaxWait) {
    return false;
  }
  const std::size_t bytes = SizeOf(answer);
  if (bytes > 0 && mHooks.mQueuedBytes() + bytes > kMaxQueuedBytes) {
    Refuse(aKey);
    return true;
  }
  answer.mRevision = copy.Revision();
  answer.mIncarnation = copy.Incarnation();
  answer.mAge = aNow - *asOf;
  answer.mHoldTime = heldTime;
  mHooks.mAnswer(aKey, answer);
  return true;
}

void
TableRelay::Refuse(RelayKey aKey)
{
  RelayAnswer refusal;
  refusal.mIsRefused = true;
  mHooks.mAnswer(aKey, refusal);
}

void
TableRelay::OnTableChanged(const std::string& aTable, TimePoint aNow)
{
  std::erase_if(mWaitingRequests, [&](const auto& aEntry) {
    const auto& [key, waiting] = aEntry;
    return waiting.mRequest.mTable == aTable && TryAnswer(key, waiting, aNow);
  });
}

void
TableRelay::OnTimer(TimePoint aNow)
{
  std::erase_if(mWaitingRequests, [&](const auto& aEntry) {
    const auto& [key, waiting] = aEntry;
    const bool isDue = aNow - waiting.mSince >= waiting.mRequest.mMaxWait;
    return isDue && TryAnswer(key, waiting, aNow);
  });
}

TimePoint
TableRelay::NextTimer() const
{
  TimePoint next = TimePoint::max();
  for (const auto& [key, waiting] : mWaitingRequests) {
    next = std::min(next, waiting.mSince + waiting.mRequest.mMaxWait);
  }
  return next;
}

} // namespace papayaspindle::proxy
