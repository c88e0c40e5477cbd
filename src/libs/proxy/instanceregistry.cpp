#include "proxy/instanceregistry.h"

#include "core/numericaddress.h"
#include "core/stablehash.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <sstream>
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
// The weight of an instance is the square of its processor share.
constexpr double kMaxWeight = 1e8;
// A row expires after three heartbeat intervals of its writer plus a margin.
constexpr double kHeartbeatsUntilExpiry = 3.2;

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

std::string
EncodeInstance(const RegisteredInstance& aInstance,
               std::uint64_t aHeartbeat,
               std::uint64_t aStoreTimeMs)
{
  return fmt::format("{} {} {} {} {} {}",
                     aInstance.mZone,
                     aInstance.mPeerAddress,
                     aInstance.mWeight,
                     aInstance.mIsLeaving ? "leaving" : "serving",
                     aHeartbeat,
                     aStoreTimeMs);
}

/** @return lifetime of a row that isn't rewritten */
Duration
RowLifetimeFor(std::size_t aInstances)
{
  return std::chrono::duration_cast<Duration>(HeartbeatIntervalFor(aInstances) *
                                              kHeartbeatsUntilExpiry);
}

/** @return whether the other instances still list the writer of a row; true if the row
 * has no time */
bool
IsRowLive(const StoredRow& aRow, const TableSnapshot& aSnapshot)
{
  std::istringstream words(aRow.mValue);
  std::string word;
  for (int skipped = 0; skipped < 5; skipped++) {
    words >> word;
  }
  std::uint64_t writtenAtMs = 0;
  if (!(words >> writtenAtMs) || writtenAtMs == 0 || aSnapshot.mStoreTimeMs == 0) {
    return true;
  }
  const auto lifetime = RowLifetimeFor(aSnapshot.mRows.size() - 1);
  return aSnapshot.mStoreTimeMs >= writtenAtMs &&
         aSnapshot.mStoreTimeMs - writtenAtMs <
           static_cast<std::uint64_t>(lifetime / std::chrono::milliseconds(1));
}

std::optional<RegisteredInstance>
DecodeInstance(const StoredRow& aRow)
{
  std::istringstream words(aRow.mValue);
  RegisteredInstance instance;
  std::string state;
  instance.mInstance = aRow.mKey;
  if (!(words >> instance.mZone >> instance.mPeerAddress >> instance.mWeight >> state) ||
      !IsNumericAddress(instance.mPeerAddress) ||
      !(instance.mWeight > 0 && instance.mWeight <= kMaxWeight)) {
    return std::nullopt;
  }
  instance.mIsLeaving = state == "leaving";
  return instance;
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
  return { mConfirmedAt, RowLifetimeFor(rows - rows / 4), ReadIntervalFor(rows) };
}

void
InstanceRegistry::OnTimer(TimePoint aNow)
{
  if (aNow < mNextReadAt) {
    return;
  }
  mHeartbeatCount++;
  mNextReadAt = aNow + NextReadPause();
  mStore.mRead(kInstanceTable, [this](const ReadResult& aResult) { OnRead(aResult); });
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
  if (snapshot->mIncarnation > mOwnVersion.mIncarnation) {
    // The store may have lost the row.
    mOwnVersion = { snapshot->mIncarnation, 0 };
  }
  if (snapshot->mStoreTimeMs != 0) {
    mStoreTimeMs = snapshot->mStoreTimeMs;
    mStoreTimeReadAt = now;
  }
  if (snapshot->mAge > Duration()) {
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
    const auto instance = DecodeInstance(row);
    KnownRow& seen = mKnownRows[row.mKey];
    if (instance && seen.mVersion != row.Version()) {
      seen = { row.Version(), now, *instance };
    }
  }
  const Duration lifetime = RowLifetimeFor(mKnownRows.size());
  std::vector<RegisteredInstance> live{ mSelf };
  std::string report;
  for (const auto& [name, seen] : mKnownRows) {
    if (now - seen.mChangedAt < lifetime) {
      live.push_back(seen.mInstance);
      report += EncodeInstance(seen.mInstance, 0, 0) + name + ";";
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
  // Reads that follow each other in less than a heartbeat interval don't need a write
  // each.
  const std::size_t rows = mKnownRows.size();
  const bool isDue =
    mOwnVersion.mRevision == 0 ||
    now - mWrittenAt >= HeartbeatIntervalFor(rows) - ReadIntervalFor(rows) / 2;
  if (isDue) {
    WriteRow();
  }
}

void
InstanceRegistry::WriteRow()
{
  mWrittenAt = mNow();
  StoredRow row;
  row.mTable = kInstanceTable;
  row.mKey = mSelf.mInstance;
  row.mValue = EncodeInstance(mSelf, mHeartbeatCount, StoreTimeMs(mWrittenAt));
  row.mRevision = mOwnVersion.mRevision;
  row.mIncarnation = mOwnVersion.mIncarnation;
  // The next heartbeat repeats a write that was lost.
  mStore.mWrite({ row }, [this, sentAt = mWrittenAt](const WriteResult& aResult) {
    if (const auto* written = std::get_if<Written>(&aResult)) {
      mOwnVersion = std::max(mOwnVersion, { written->mIncarnation, written->mRevision });
      mConfirmedAt = std::max(mConfirmedAt, sentAt);
    }
  });
}

} // namespace papayaspindle::proxy
