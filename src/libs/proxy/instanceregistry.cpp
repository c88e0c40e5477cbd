#include "proxy/instanceregistry.h"

#include "core/stablehash.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace papayaspindle::proxy {

namespace {

// Frequent heartbeats would be of no use: a new instance opens connections only as they
// become free.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(3);
// Heartbeat interval after the start; the rows of the other instances appear within this
// time.
constexpr Duration kInitialHeartbeatInterval = std::chrono::milliseconds(700);
constexpr std::uint64_t kInitialHeartbeatCount = 3;
// Up to this number of instances, the short heartbeat interval is affordable.
constexpr std::size_t kManyInstances = 12;
constexpr Duration kMinLargeHeartbeatInterval = std::chrono::seconds(10);
// An interval that grows with the number of instances bounds the writes of all of them
// to 10 rows per second.
constexpr Duration kHeartbeatIntervalPerInstance = std::chrono::milliseconds(100);
// Interval of the reads in a large deployment of any size: new limiters grant when the
// others have replaced their lists (ListSpreadFor).
constexpr Duration kLargeReadInterval = std::chrono::seconds(10);
// Interval of the first reads in a large deployment. When all instances start at the same
// time, their lists are complete before the first limiters grant after 13 s.
constexpr Duration kInitialLargeReadInterval = std::chrono::seconds(2);
constexpr std::size_t kInitialLargeReads = 5;
// The instances of a zone query their reader at different times after its read.
constexpr Duration kMinDelayAfterReader = std::chrono::milliseconds(100);
constexpr Duration kMaxDelayAfterReader = std::chrono::milliseconds(400);
// A reader whose own read is slow is queried again after this time.
constexpr Duration kMinReadPause = std::chrono::milliseconds(250);
// A row expires after three heartbeat intervals of its writer plus a margin.
constexpr double kHeartbeatsUntilExpiry = 3.2;
// After a return of the store, all instances write at different times: 50 rows a second,
// of 200 that the store writes into a table's part.
constexpr Duration kRewriteSpreadPerInstance = std::chrono::milliseconds(20);
// The readers of the zones read the table before the other instances query them.
constexpr Duration kReaderRewriteSpread = std::chrono::milliseconds(500);
constexpr Duration kReadersFirst = std::chrono::seconds(1);

/** @return heartbeat interval for the given number of instances */
Duration
HeartbeatIntervalFor(std::size_t aInstances)
{
  return aInstances > kManyInstances
           ? std::max<Duration>(kMinLargeHeartbeatInterval,
                                kHeartbeatIntervalPerInstance * aInstances)
           : kHeartbeatInterval;
}

/** @return interval of the reads for the given number of instances */
Duration
ReadIntervalFor(std::size_t aInstances)
{
  return aInstances > kManyInstances ? kLargeReadInterval : kHeartbeatInterval;
}

/** @return lifetime of a row that isn't rewritten */
Duration
RowLifetimeFor(std::size_t aInstances)
{
  return std::chrono::duration_cast<Duration>(HeartbeatIntervalFor(aInstances) *
                                              kHeartbeatsUntilExpiry);
}

} // namespace

InstanceRegistry::InstanceRegistry(RegisteredInstance aSelf,
                                   SharedStore aStore,
                                   std::function<TimePoint()> aNow,
                                   ChangedHook aHook)
  : mSelf(std::move(aSelf))
  , mStore(std::move(aStore))
  , mNow(std::move(aNow))
  , mHook(std::move(aHook))
  , mConfirmedAt(mNow())
{
}

bool
InstanceRegistry::IsOlder(const StoredRow& aRow,
                          const InstanceWriteTime& aWritten,
                          const KnownRow& aKnown)
{
  const InstanceWriteTime& known = aKnown.mWritten;
  const bool areIncarnationsKnown = aWritten.mIncarnation != 0 && known.mIncarnation != 0;
  if (areIncarnationsKnown && aWritten.mIncarnation != known.mIncarnation) {
    return aWritten.mIncarnation < known.mIncarnation;
  }
  if (aRow.mIncarnation == aKnown.mVersion.mIncarnation) {
    return false;
  }
  // The store's clock goes on from process to process, heartbeats are counted anew.
  if (aWritten.mStoreTimeMs != 0 && known.mStoreTimeMs != 0 &&
      aWritten.mStoreTimeMs != known.mStoreTimeMs) {
    return aWritten.mStoreTimeMs < known.mStoreTimeMs;
  }
  return aWritten.mHeartbeat <= known.mHeartbeat;
}

bool
InstanceRegistry::IsRowLive(const StoredRow& aRow, const TableSnapshot& aSnapshot)
{
  const InstanceWriteTime written = DecodeInstanceWriteTime(aRow);
  if (written.mIncarnation != 0 && written.mIncarnation != aSnapshot.mIncarnation) {
    // The time is that of another clock, and the row may be older than the last one.
    return false;
  }
  if (written.mStoreTimeMs == 0 || aSnapshot.mStoreTimeMs == 0) {
    return written.mIncarnation == 0;
  }
  const auto lifetime = RowLifetimeFor(aSnapshot.mRows.size() - 1);
  return aSnapshot.mStoreTimeMs >= written.mStoreTimeMs &&
         aSnapshot.mStoreTimeMs - written.mStoreTimeMs <
           static_cast<std::uint64_t>(lifetime / std::chrono::milliseconds(1));
}

void
InstanceRegistry::Leave()
{
  if (!mSelf.mIsLeaving) {
    mSelf.mIsLeaving = true;
    WriteRow();
  }
}

ConfirmedRow
InstanceRegistry::OwnRow() const
{
  // Other instances may not have received all rows yet, and then use the lifetime of a
  // smaller deployment.
  const std::size_t rows = mKnownRows.size();
  return {
    mConfirmedAt, RowLifetimeFor(rows - rows / 4), ReadIntervalFor(rows), mIsRewriteDue
  };
}

void
InstanceRegistry::OnTimer(TimePoint aNow)
{
  if (aNow < mNextReadAt) {
    return;
  }
  mHeartbeatCount++;
  mNextReadAt = aNow + NextReadPause();
  if (mIsRewriteDue && aNow < mRewriteAt) {
    mNextReadAt = std::min(mNextReadAt, mRewriteAt);
  }
  mStore.mRead(kInstanceTable, [this](const ReadResult& aResult) { OnRead(aResult); });
}

void
InstanceRegistry::OnIncarnation(std::uint64_t aIncarnation, TimePoint aNow)
{
  if (aIncarnation <= mIncarnation) {
    return;
  }
  mIncarnation = aIncarnation;
  if (mWrittenAt == TimePoint()) {
    return;
  }
  mIsRewriteDue = true;
  const std::size_t rows = mKnownRows.size();
  const bool isReader = rows > kManyInstances && !mIsRelayed;
  const Duration spread =
    isReader ? kReaderRewriteSpread : Duration(kRewriteSpreadPerInstance * (rows + 1));
  const auto spreadMs = static_cast<std::uint64_t>(spread / std::chrono::milliseconds(1));
  Duration delay =
    std::chrono::milliseconds(StableHash({ mSelf.mInstance, "return" }) % spreadMs);
  if (mSelf.mIsLeaving) {
    delay = {};
  } else if (mIsRelayed) {
    delay += kReadersFirst;
  }
  mRewriteAt = aNow + delay;
  // The read finds the version under which the row has to be written.
  mNextReadAt = std::min(mNextReadAt, mRewriteAt);
}

Duration
InstanceRegistry::NextReadPause()
{
  if (mKnownRows.size() <= kManyInstances) {
    return mHeartbeatCount <= kInitialHeartbeatCount ? kInitialHeartbeatInterval
                                                     : kHeartbeatInterval;
  }
  mReadsOfMany++;
  return mReadsOfMany <= kInitialLargeReads ? kInitialLargeReadInterval
                                            : kLargeReadInterval;
}

void
InstanceRegistry::AlignWithReader(Duration aAge, TimePoint aNow)
{
  // A read at any time would find rows that are up to one interval old, and another
  // interval would pass until they are replaced.
  const auto spread = static_cast<std::uint64_t>(
    (kMaxDelayAfterReader - kMinDelayAfterReader) / std::chrono::milliseconds(1));
  const Duration delay =
    kMinDelayAfterReader +
    std::chrono::milliseconds(StableHash({ mSelf.mInstance, "read" }) % spread);
  const TimePoint next =
    aNow + std::max(kLargeReadInterval - aAge + delay, kMinReadPause);
  mNextReadAt = std::min(mNextReadAt, next);
}

std::uint64_t
InstanceRegistry::StoreTimeMs(TimePoint aNow) const
{
  const Duration elapsed = aNow - mStoreTimeReadAt;
  return mStoreTimeMs == 0
           ? 0
           : mStoreTimeMs +
               static_cast<std::uint64_t>(elapsed / std::chrono::milliseconds(1));
}

void
InstanceRegistry::OnRead(const ReadResult& aResult)
{
  const auto* snapshot = std::get_if<TableSnapshot>(&aResult);
  if (snapshot == nullptr) {
    // The store client has already logged the failure; the last list stays in effect.
    return;
  }
  const TimePoint now = mNow();
  OnIncarnation(snapshot->mIncarnation, now);
  if (snapshot->mIncarnation < mIncarnation) {
    return;
  }
  if (snapshot->mIncarnation > mOwnVersion.mIncarnation) {
    OnReturn(*snapshot, now);
  }
  if (snapshot->mStoreTimeMs != 0) {
    mStoreTimeMs = snapshot->mStoreTimeMs;
    mStoreTimeReadAt = now;
  }
  mIsRelayed = snapshot->mAge > Duration();
  if (mIsRelayed) {
    AlignWithReader(snapshot->mAge, now);
  }
  for (const StoredRow& row : snapshot->mRows) {
    if (row.mKey == mSelf.mInstance) {
      mWasListedBefore =
        mWasListedBefore || (mWrittenAt == TimePoint() && IsRowLive(row, *snapshot));
      // The snapshot may predate this instance's last write.
      mOwnVersion = std::max(mOwnVersion, row.Version());
      continue;
    }
    ReadRow(row, now);
  }
  ReportInstances(now);
  // Reads that follow each other in less than a heartbeat interval don't need a write
  // each.
  const std::size_t rows = mKnownRows.size();
  const bool isHeartbeatDue =
    mOwnVersion.mRevision == 0 ||
    now - mWrittenAt >= HeartbeatIntervalFor(rows) - ReadIntervalFor(rows) / 2;
  // The instances read at about the same time, and must not write then after a return.
  if (mIsRewriteDue ? now >= mRewriteAt : isHeartbeatDue) {
    WriteRow();
  }
}

void
InstanceRegistry::OnReturn(const TableSnapshot& aSnapshot, TimePoint aNow)
{
  mOwnVersion = { aSnapshot.mIncarnation, 0 };
  mStoreTimeMs = 0;
  for (auto& [name, known] : mKnownRows) {
    if (known.mIsListed) {
      // What the instance has written in the lost time may be gone.
      known.mChangedAt = aNow;
    }
  }
}

void
InstanceRegistry::ReadRow(const StoredRow& aRow, TimePoint aNow)
{
  const auto instance = DecodeInstance(aRow);
  KnownRow& known = mKnownRows[aRow.mKey];
  if (!instance || known.mVersion == aRow.Version()) {
    return;
  }
  const InstanceWriteTime written = DecodeInstanceWriteTime(aRow);
  const bool isNew = known.mVersion == StoreRevision();
  if (!isNew && IsOlder(aRow, written, known)) {
    known.mVersion = aRow.Version();
    return;
  }
  known.mVersion = aRow.Version();
  known.mChangedAt = aNow;
  known.mInstance = *instance;
  known.mWritten = written;
}

void
InstanceRegistry::ReportInstances(TimePoint aNow)
{
  const Duration lifetime = RowLifetimeFor(mKnownRows.size());
  std::vector<RegisteredInstance> live{ mSelf };
  std::string report;
  for (auto& [name, known] : mKnownRows) {
    known.mIsListed = aNow - known.mChangedAt < lifetime;
    if (known.mIsListed) {
      live.push_back(known.mInstance);
      report += EncodeInstance(known.mInstance) + name + ";";
    }
  }
  // When all instances start simultaneously, the first read finds no other rows and may
  // be incomplete.
  const bool isComplete = mHeartbeatCount > 1 || !mKnownRows.empty();
  if (isComplete && (report != mReportedInstances || !mHasReported)) {
    mReportedInstances = report;
    mHasReported = true;
    mHook(live);
  }
}

void
InstanceRegistry::WriteRow()
{
  mWrittenAt = mNow();
  StoredRow row;
  row.mTable = kInstanceTable;
  row.mKey = mSelf.mInstance;
  row.mValue = EncodeInstanceRow(
    mSelf, { mHeartbeatCount, StoreTimeMs(mWrittenAt), mOwnVersion.mIncarnation });
  row.mRevision = mOwnVersion.mRevision;
  row.mIncarnation = mOwnVersion.mIncarnation;
  // The next heartbeat repeats a write that was lost.
  mStore.mWrite({ row }, [this, sentAt = mWrittenAt](const WriteResult& aResult) {
    if (const auto* written = std::get_if<Written>(&aResult)) {
      mOwnVersion = std::max(mOwnVersion, { written->mIncarnation, written->mRevision });
      mConfirmedAt = std::max(mConfirmedAt, sentAt);
      OnOwnRowWritten(*written);
    }
  });
}

void
InstanceRegistry::OnOwnRowWritten(const Written& aWritten)
{
  if (aWritten.mIncarnation != mIncarnation) {
    return;
  }
  mIsRewriteDue = false;
  // Relayed lists have no time, and that of the earlier incarnation was dropped.
  if (mStoreTimeMs == 0 && aWritten.mIncarnation != 0) {
    mStoreTimeMs = aWritten.mStoreTimeMs;
    mStoreTimeReadAt = mNow();
  }
}

} // namespace papayaspindle::proxy
