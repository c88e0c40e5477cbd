#pragma once

#include "core/timetypes.h"
#include "proxy/hometable.h"
#include "proxy/instancerow.h"
#include "proxy/rowstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Table of the shared store with one row for each instance. */
inline constexpr std::string_view kInstanceTable = "papayaspindle-instances";

/** What the other instances have received of an instance's row at least. */
struct ConfirmedRow
{
  /** When the last write that the store confirmed was sent; the start of the process
   * before the first. */
  TimePoint mWrittenAt;
  /** Time after which the other instances drop a row that doesn't change, at the
   * earliest. */
  Duration mLifetime{};
  /** Interval at which the other instances read the rows, at most. */
  Duration mReadInterval{};
  /** Whether the store may have lost the row in a return to an older state. */
  bool mMayBeLost = false;
};

/**
 * Discovers the other instances through the shared store.
 *
 * Each instance periodically rewrites its own row as a heartbeat and reads all rows. In
 * large deployments it reads more often than it writes, because reads go through a reader
 * of the zone. An instance is live as long as its row changes. While the store is
 * unavailable, the last known list stays in effect.
 *
 * After a return of the store to an older state, each instance writes its row again
 * within some seconds. Rows that were written before the known ones change nothing, and
 * listed instances have their full lifetime from then on.
 */
class InstanceRegistry
{
public:
  /** Receives the live instances, this one included, whenever they change. */
  using ChangedHook = std::function<void(std::span<const RegisteredInstance>)>;

  InstanceRegistry(RegisteredInstance aSelf,
                   SharedStore aStore,
                   std::function<TimePoint()> aNow,
                   ChangedHook aHook);

  /** Announces to the other instances that this instance is leaving. */
  void Leave();

  /** @return whether the first read found a row of this instance, written by an earlier
   * process so lately that the other instances have not dropped it since */
  [[nodiscard]] bool WasListedBefore() const { return mWasListedBefore; }

  [[nodiscard]] ConfirmedRow OwnRow() const;

  /** Learns an incarnation of the store; the own row is written again soon if the store
   * may have lost it. */
  void OnIncarnation(std::uint64_t aIncarnation, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  /** @return when OnTimer is due */
  [[nodiscard]] TimePoint NextTimer() const { return mNextReadAt; }

private:
  struct KnownRow
  {
    StoreRevision mVersion;
    TimePoint mChangedAt;
    RegisteredInstance mInstance;
    InstanceWriteTime mWritten;
    /** Whether the last list that was built has the instance. */
    bool mIsListed = false;
  };

  /** @return whether a row was written no later than the known one */
  static bool IsOlder(const StoredRow& aRow,
                      const InstanceWriteTime& aWritten,
                      const KnownRow& aKnown);
  /** @return whether the other instances still list the writer of a row; true if the row
   * has no time */
  static bool IsRowLive(const StoredRow& aRow, const TableSnapshot& aSnapshot);
  /** Adapts to a snapshot of a newer incarnation than the known one. */
  void OnReturn(const TableSnapshot& aSnapshot, TimePoint aNow);
  void ReadRow(const StoredRow& aRow, TimePoint aNow);
  /** Reports the list of live instances if it has changed. */
  void ReportInstances(TimePoint aNow);

  void WriteRow();
  void OnOwnRowWritten(const Written& aWritten);
  /** @return time until the next read */
  [[nodiscard]] Duration NextReadPause();
  /** Moves the next read behind the next read of the instance that has relayed the rows.
   *
   * @param aAge time since that instance has read them */
  void AlignWithReader(Duration aAge, TimePoint aNow);
  /** @return present time of the store's clock in milliseconds; 0 if it is unknown */
  [[nodiscard]] std::uint64_t StoreTimeMs(TimePoint aNow) const;
  void OnRead(const ReadResult& aResult);

  RegisteredInstance mSelf;
  SharedStore mStore;
  std::function<TimePoint()> mNow;
  ChangedHook mHook;
  std::map<std::string, KnownRow> mKnownRows;
  /** Newest incarnation of the store that is known. */
  std::uint64_t mIncarnation = 0;
  /** Version of the own row; its incarnation is the newest one that was read. */
  StoreRevision mOwnVersion;
  TimePoint mWrittenAt;
  TimePoint mConfirmedAt;
  /** Time of the store's clock at the last read that reported it; 0 before. */
  std::uint64_t mStoreTimeMs = 0;
  TimePoint mStoreTimeReadAt;
  std::uint64_t mHeartbeatCount = 0;
  /** Last list of instances passed to the hook, in encoded form. */
  std::string mReportedInstances;
  bool mHasReported = false;
  bool mWasListedBefore = false;
  /** Whether the store may have lost the own row in a return. */
  bool mIsRewriteDue = false;
  /** When the own row is written again after a return. */
  TimePoint mRewriteAt;
  /** Whether the last list was relayed by another instance. */
  bool mIsRelayed = false;
  /** Number of reads since one has returned more than kManyInstances rows. */
  std::size_t mReadsOfMany = 0;
  TimePoint mNextReadAt;
};

} // namespace papayaspindle::proxy
