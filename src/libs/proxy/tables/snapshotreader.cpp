#include "proxy/tables/snapshotreader.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace papayaspindle::proxy {

namespace {

// Instances of the same zone answer within milliseconds.
constexpr Duration kQueryTimeout = std::chrono::milliseconds(500);
// An older answer comes from a reader that was suspended and may list instances that have
// left. The interval at which readers read the store (10 s) and a slow answer to them.
constexpr Duration kMaxAnswerAge = std::chrono::seconds(15);

} // namespace

SnapshotReader::SnapshotReader(std::string aTable, SnapshotReaderHooks aHooks)
  : mTable(std::move(aTable))
  , mHooks(std::move(aHooks))
{
}

void
SnapshotReader::Read(TimePoint aNow, std::function<void(const ReadResult&)> aHook)
{
  QueryReader(mHooks.mReaders(), aNow, aHook);
}

void
SnapshotReader::QueryReader(std::vector<std::string> aReaders,
                            TimePoint aNow,
                            const ResultHook& aHook)
{
  if (aReaders.empty()) {
    ReadStore(aNow, aHook);
    return;
  }
  const std::string reader = aReaders.front();
  aReaders.erase(aReaders.begin());
  RelayRequest request{ mTable, mCopy.Revision(), {} };
  request.mIncarnation = mHooks.mIncarnation();
  request.mSinceIncarnation = mCopy.Incarnation();
  mHooks.mQueryReader(
    reader,
    request,
    kQueryTimeout,
    aNow,
    [this, aReaders, aNow, aHook](const std::optional<RelayAnswer>& aAnswer) {
      const std::uint64_t incarnation = mHooks.mIncarnation();
      const bool isUsable =
        aAnswer && !aAnswer->mIsRefused && aAnswer->mIncarnation >= incarnation &&
        aAnswer->Version() >= mCopy.Version() && aAnswer->mAge < kMaxAnswerAge;
      if (!isUsable) {
        QueryReader(aReaders, aNow + kQueryTimeout, aHook);
        return;
      }
      mReadAsOf.reset();
      if (aAnswer->mIncarnation > incarnation && mHooks.mOnIncarnation) {
        mHooks.mOnIncarnation(aAnswer->mIncarnation);
      }
      mCopy.ApplyAnswer(*aAnswer);
      aHook(Snapshot(aAnswer->mAge));
    });
}

void
SnapshotReader::ReadStore(TimePoint aNow, const ResultHook& aHook)
{
  mHooks.mRead(aNow, [this, aNow, aHook](const ReadResult& aResult) {
    if (const auto* snapshot = std::get_if<TableSnapshot>(&aResult)) {
      UpdateCopy(*snapshot);
      mReadAsOf = aNow;
    } else {
      mReadAsOf.reset();
    }
    aHook(aResult);
  });
}

void
SnapshotReader::UpdateCopy(const TableSnapshot& aSnapshot)
{
  if (aSnapshot.mIncarnation != mCopy.Incarnation()) {
    mCopy.Replace(aSnapshot.mRows, aSnapshot.Version());
    return;
  }
  // A replaced copy has no history, and would be relayed with all rows after each read.
  std::vector<ChangedRow> changes;
  std::set<std::string_view> keys;
  for (const StoredRow& row : aSnapshot.mRows) {
    keys.insert(row.mKey);
    const auto known = mCopy.Rows().find(row.mKey);
    if (known == mCopy.Rows().end() || known->second.mRevision != row.mRevision) {
      changes.push_back({ row, false });
    }
  }
  for (const auto& [key, row] : mCopy.Rows()) {
    if (!keys.contains(key)) {
      changes.push_back({ row, true });
      changes.back().mRow.mRevision = aSnapshot.mRevision;
    }
  }
  const bool isOlderThanCopy =
    std::any_of(changes.begin(), changes.end(), [&](const ChangedRow& aChange) {
      return aChange.mRow.mRevision <= mCopy.Revision();
    });
  if (mCopy.Revision() == 0 || isOlderThanCopy) {
    mCopy.Replace(aSnapshot.mRows, aSnapshot.Version());
  } else {
    mCopy.Apply(changes, aSnapshot.mRevision);
  }
}

ReadResult
SnapshotReader::Snapshot(Duration aAge) const
{
  TableSnapshot snapshot;
  snapshot.mRevision = mCopy.Revision();
  snapshot.mIncarnation = mCopy.Incarnation();
  snapshot.mAge = aAge;
  for (const auto& [key, row] : mCopy.Rows()) {
    snapshot.mRows.push_back(row);
  }
  return snapshot;
}

} // namespace papayaspindle::proxy
