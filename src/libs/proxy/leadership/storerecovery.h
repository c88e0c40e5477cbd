#pragma once

#include "core/timetypes.h"
#include "observe/log.h"
#include "proxy/leadership/coordinationrows.h"
#include "proxy/rowstore.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** Time for which a recovery is open. Above kCallWindow, for which calls follow a row
 * that the store has lost, and above the time in which instances that reach the store
 * learn of its return and write what they remember: a feed of 2 s, a read and a write. */
constexpr Duration kRecoveryTime = std::chrono::seconds(3);
/** A recovery that isn't settled this long after the return is reported: no primary can
 * be replaced until then. */
constexpr Duration kRecoveryWarningTime = 2 * kRecoveryTime;

/** Functions that the recovery depends on. */
struct StoreRecoveryHooks
{
  /** Groups of which this instance is a home. */
  std::function<std::vector<std::string>()> mGroups;
  std::function<void(const ConditionalWrite&, std::function<void(const WriteResult&)>)>
    mWrite;
  std::function<TimePoint()> mNow;
  std::function<void(LogLevel, std::string_view aEvent, std::initializer_list<LogField>)>
    mLog;
};

/**
 * Restores the leadership rows after the store has returned to an older state, and
 * decides from when on its rows may be used.
 *
 * Nobody can tell from the rows alone which claims the store has lost. The row `recovery`
 * of the coordination table says how far the instances are in the present incarnation of
 * the store: it is open for kRecoveryTime, in which homes write the leadership rows again
 * that they remember and that are newer than the stored ones; then it is settled. Until
 * then, nobody uses the rows: no claim and no reservation is written, and no read grants
 * a lease on a leader. A write of an earlier incarnation that is executed late may
 * replace a row afterwards; then the remembered row is used in its place (NewestRows),
 * and written again.
 *
 * A store that announces no incarnation needs no recovery. This class is single-threaded.
 */
class StoreRecovery
{
public:
  StoreRecovery(std::string aInstance, StoreRecoveryHooks aHooks);

  /** Handles a return of the store, or its first known incarnation. */
  void OnIncarnation(std::uint64_t aIncarnation);
  /** Updates the recovery with all rows of the coordination table, as read in the newest
   * known incarnation.
   * @return whether the rows may be used */
  bool OnRows(std::span<const StoredRow> aRows, TimePoint aNow);
  /** Remembers a leadership row that this instance has written. */
  void OnWritten(const StoredRow& aRow, const Written& aResult);
  void OnTimer(TimePoint aNow);
  /** @return when OnTimer has to be called next */
  [[nodiscard]] TimePoint NextTimer() const { return mNextCheck; }
  /** @return whether the rows of the present incarnation may be used */
  [[nodiscard]] bool AreRowsUsable() const;
  /** @return the rows, with the remembered leadership rows in place of older ones
   * @param aRows rows that were passed to OnRows */
  [[nodiscard]] std::vector<StoredRow> NewestRows(std::span<const StoredRow> aRows) const;
  /** @return when a row of the present incarnation was first received in its present
   * version; nothing if the store has no such row */
  [[nodiscard]] std::optional<TimePoint> ReceivedAt(std::string_view aKey) const;
  /** @return time since this instance has learned of the present incarnation if it is a
   * home and the recovery isn't settled, otherwise zero */
  [[nodiscard]] Duration UnsettledFor(TimePoint aNow) const;
  /** @return number of leadership rows that this instance has written again */
  [[nodiscard]] std::size_t RestoredRows() const { return mRestoredRows; }

private:
  enum class Phase : std::uint8_t
  {
    /** No row tells of a recovery in this incarnation. */
    Unknown,
    Open,
    Settled,
  };

  /** A write that is sent at mDueAt unless another instance makes it unnecessary. */
  struct PlannedWrite
  {
    TimePoint mDueAt;
    bool mIsSent = false;
  };

  /** A row as last read in the present incarnation. */
  struct ReceivedRow
  {
    StoredRow mRow;
    /** When this version was first received. */
    TimePoint mReceivedAt;
  };

  void UpdatePhase(const StoredRow& aRow, TimePoint aNow);
  /** Remembers the row if it is newer than the remembered one of its group. */
  void Remember(const StoredRow& aRow);
  /** @return whether the remembered row of a group is newer than the stored one */
  [[nodiscard]] bool IsStoredRowOlder(const std::string& aGroup) const;
  /** @return whether the store has a row, as far as is known */
  [[nodiscard]] bool IsStored(const std::string& aKey) const;
  /** Warns once if the recovery takes too long. */
  void CheckProgress(TimePoint aNow);
  /** Sends a planned write once it is due, and plans it first if it isn't. */
  void WriteWhenDue(const std::string& aKey,
                    const std::string& aValue,
                    TimePoint aDueAt,
                    TimePoint aNow);
  void Write(const std::string& aKey, const std::string& aValue);
  [[nodiscard]] Duration Jitter(const std::string& aKey) const;

  std::string mInstance;
  StoreRecoveryHooks mHooks;
  std::uint64_t mIncarnation = 0;
  Phase mPhase = Phase::Unknown;
  /** When this instance has learned of the present incarnation. */
  TimePoint mReturnedAt;
  bool mHasWarned = false;
  /** When this instance has first seen the recovery open. */
  TimePoint mOpenSince;
  bool mHasRows = false;
  /** Leadership rows and the row of the recovery, as last read in this incarnation. */
  std::map<std::string, ReceivedRow, std::less<>> mStored;
  /** Newest leadership row known of each group, by its key, from all incarnations. */
  std::map<std::string, LeadershipRow> mRemembered;
  std::map<std::string, PlannedWrite> mPlanned;
  std::size_t mRestoredRows = 0;
  TimePoint mNextCheck = TimePoint::max();
};

} // namespace papayaspindle::proxy
