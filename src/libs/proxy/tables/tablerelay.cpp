#include "proxy/tables/tablerelay.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

TableRelay::TableRelay(AnswerHook aHook)
  : mHook(std::move(aHook))
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
    RelayAnswer refusal;
    refusal.mIsRefused = true;
    mHook(aKey, refusal);
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
  answer.mRevision = copy.Revision();
  answer.mAge = aNow - *asOf;
  answer.mHeld = held;
  mHook(aKey, answer);
  return true;
}

void
TableRelay::OnTable(const std::string& aTable, TimePoint aNow)
{
  std::vector<RelayKey> answered;
  for (const auto& [key, waiting] : std::map(mWaiting)) {
    if (waiting.mRequest.mTable == aTable && TryAnswer(key, waiting, aNow)) {
      answered.push_back(key);
    }
  }
  for (const RelayKey key : answered) {
    mWaiting.erase(key);
  }
}

void
TableRelay::OnTimer(TimePoint aNow)
{
  for (const auto& [key, waiting] : std::map(mWaiting)) {
    const bool isDue = aNow - waiting.mSince >= waiting.mRequest.mWait;
    if (isDue && TryAnswer(key, waiting, aNow)) {
      mWaiting.erase(key);
    }
  }
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
