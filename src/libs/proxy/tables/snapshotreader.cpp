#include "proxy/tables/snapshotreader.h"

#include <utility>

namespace papayaspindle::proxy {

namespace {

// Instances of the same zone answer within milliseconds.
constexpr Duration kQueryTimeout = std::chrono::milliseconds(500);
// An older answer comes from a reader that was suspended and may list instances that have
// left. Above the heartbeat interval of several hundred instances (30 s).
constexpr Duration kMaxAnswerAge = std::chrono::seconds(60);

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
  const RelayRequest request{ mTable, mCopy.Revision(), {} };
  mHooks.mQueryReader(
    reader,
    request,
    kQueryTimeout,
    aNow,
    [this, aReaders, aNow, aHook](const std::optional<RelayAnswer>& aAnswer) {
      const bool isUsable = aAnswer && !aAnswer->mIsRefused &&
                            aAnswer->mRevision >= mCopy.Revision() &&
                            aAnswer->mAge < kMaxAnswerAge;
      if (!isUsable) {
        QueryReader(aReaders, aNow + kQueryTimeout, aHook);
        return;
      }
      mReadAsOf.reset();
      mCopy.ApplyAnswer(*aAnswer);
      aHook(Snapshot());
    });
}

void
SnapshotReader::ReadStore(TimePoint aNow, const ResultHook& aHook)
{
  mHooks.mRead(aNow, [this, aNow, aHook](const ReadResult& aResult) {
    if (const auto* snapshot = std::get_if<TableSnapshot>(&aResult)) {
      mCopy.Replace(snapshot->mRows, snapshot->mRevision);
      mReadAsOf = aNow;
    } else {
      mReadAsOf.reset();
    }
    aHook(aResult);
  });
}

ReadResult
SnapshotReader::Snapshot() const
{
  TableSnapshot snapshot;
  snapshot.mRevision = mCopy.Revision();
  for (const auto& [key, row] : mCopy.Rows()) {
    snapshot.mRows.push_back(row);
  }
  return snapshot;
}

} // namespace papayaspindle::proxy
