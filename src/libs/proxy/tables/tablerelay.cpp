#include "proxy/tables/tablerelay.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

// A small part of the smallest machine's memory (160 MB).
constexpr std::size_t kMaxQueued = 8U << 20U;

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
TableRelay::Ask(RelayKey aKey, const RelayRequest& aRequest, TimePoint aNow)
{
  const Waiting waiting{ aRequest, aNow };
  if (!TryAnswer(aKey, waiting, aNow)) {
    mWaiting[aKey] = waiting;
  }
}

void
TableRelay::Cancel(RelayKey aKey)
{
  mWaiting.erase(aKey);
}

bool
TableRelay::TryAnswer(RelayKey aKey, const Waiting& aWaiting, TimePoint aNow)
{
  const auto table = mTables.find(aWaiting.mRequest.mTable);
  const auto asOf = table == mTables.end() ? std::nullopt : table->second.mReadAsOf();
  if (!asOf) {
    Refuse(aKey);
    return true;
  }
  const TableCopy& copy = table->second.mCopy();
  const Duration held = aNow - aWaiting.mSince;
  const bool hasNews = copy.Revision() > aWaiting.mRequest.mAfter;
  RelayAnswer answer;
  if (hasNews) {
    answer = copy.ChangesAfter(aWaiting.mRequest.mAfter);
  }
  // The store's revision rises with changes of other tables, too.
  const bool isWorthTelling = answer.mIsFull || !answer.mRows.empty();
  if (!isWorthTelling && held < aWaiting.mRequest.mWait) {
    return false;
  }
  const std::size_t bytes = SizeOf(answer);
  if (bytes > 0 && mHooks.mQueuedBytes() + bytes > kMaxQueued) {
    Refuse(aKey);
    return true;
  }
  answer.mRevision = copy.Revision();
  answer.mAge = aNow - *asOf;
  answer.mHeld = held;
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
TableRelay::OnTable(const std::string& aTable, TimePoint aNow)
{
  std::erase_if(mWaiting, [&](const auto& aEntry) {
    const auto& [key, waiting] = aEntry;
    return waiting.mRequest.mTable == aTable && TryAnswer(key, waiting, aNow);
  });
}

void
TableRelay::OnTimer(TimePoint aNow)
{
  std::erase_if(mWaiting, [&](const auto& aEntry) {
    const auto& [key, waiting] = aEntry;
    const bool isDue = aNow - waiting.mSince >= waiting.mRequest.mWait;
    return isDue && TryAnswer(key, waiting, aNow);
  });
}

TimePoint
TableRelay::NextTimer() const
{
  TimePoint next = TimePoint::max();
  for (const auto& [key, waiting] : mWaiting) {
    next = std::min(next, waiting.mSince + waiting.mRequest.mWait);
  }
  return next;
}

} // namespace papayaspindle::proxy
