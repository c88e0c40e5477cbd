#include "proxy/tables/tablecopy.h"

#include <algorithm>
#include <vector>

namespace papayaspindle::proxy {

namespace {

// Limit of the remembered removals: copies of requesters are seconds old, and members
// leave a few times per minute.
constexpr std::size_t kMaxRemovals = 256;

} // namespace

bool
TableCopy::Replace(std::span<const StoredRow> aRows, StoreRevision aVersion)
{
  if (aVersion < Version()) {
    return false;
  }
  mRows.clear();
  for (const StoredRow& row : aRows) {
    mRows.emplace(row.mKey, row);
  }
  mRevision = aVersion.mRevision;
  mIncarnation = aVersion.mIncarnation;
  mRemoved.clear();
  mRemovalsSince = aVersion.mRevision;
  return true;
}

bool
TableCopy::Apply(std::span<const ChangedRow> aChanges, std::uint64_t aRevision)
{
  bool hasChanged = false;
  for (const ChangedRow& change : aChanges) {
    if (change.mRow.mRevision <= mRevision) {
      continue;
    }
    hasChanged = true;
    if (!change.mIsRemoved) {
      mRows.insert_or_assign(change.mRow.mKey, change.mRow);
      continue;
    }
    mRows.erase(change.mRow.mKey);
    mRemoved.emplace_back(change.mRow.mRevision, change.mRow.mKey);
    if (mRemoved.size() > kMaxRemovals) {
      mRemovalsSince = mRemoved.front().first;
      mRemoved.pop_front();
    }
  }
  mRevision = std::max(mRevision, aRevision);
  return hasChanged;
}

bool
TableCopy::ApplyAnswer(const RelayAnswer& aAnswer)
{
  if (!aAnswer.mIsFull && aAnswer.mIncarnation != mIncarnation) {
    return false;
  }
  if (!aAnswer.mIsFull) {
    return Apply(aAnswer.mRows, aAnswer.mRevision);
  }
  std::vector<StoredRow> rows;
  rows.reserve(aAnswer.mRows.size());
  for (const ChangedRow& change : aAnswer.mRows) {
    rows.push_back(change.mRow);
  }
  return Replace(rows, aAnswer.Version());
}

RelayAnswer
TableCopy::ChangesAfter(StoreRevision aVersion) const
{
  const std::uint64_t revision = aVersion.mRevision;
  RelayAnswer answer;
  answer.mRevision = mRevision;
  answer.mIncarnation = mIncarnation;
  answer.mIsFull =
    aVersion.mIncarnation != mIncarnation || revision == 0 || revision < mRemovalsSince;
  for (const auto& [key, row] : mRows) {
    if (answer.mIsFull || row.mRevision > revision) {
      answer.mRows.push_back({ row, false });
    }
  }
  if (answer.mIsFull) {
    return answer;
  }
  for (const auto& [removedAt, key] : mRemoved) {
    if (removedAt > revision && !mRows.contains(key)) {
      StoredRow row;
      row.mKey = key;
      row.mRevision = removedAt;
      row.mIncarnation = mIncarnation;
      answer.mRows.push_back({ std::move(row), true });
    }
  }
  std::sort(answer.mRows.begin(),
            answer.mRows.end(),
            [](const ChangedRow& aLeft, const ChangedRow& aRight) {
              return aLeft.mRow.mRevision < aRight.mRow.mRevision;
            });
  return answer;
}

} // namespace papayaspindle::proxy
