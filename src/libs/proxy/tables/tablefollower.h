#pragma once

#include "core/timetypes.h"
#include "observe/log.h"
#include "proxy/tables/readerchoice.h"
#include "proxy/tables/relaymessages.h"
#include "proxy/tables/tablechanges.h"
#include "proxy/tables/tablecopy.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** Functions that a table follower depends on, and its notifications. */
struct FollowerHooks
{
  /** Reads the whole table from the store. */
  std::function<void(TimePoint, std::function<void(const ReadResult&)>)> mRead;
  /** Requests the changes after a revision; the store waits up to aWait for a change. */
  std::function<void(std::uint64_t aAfter,
                     Duration aWait,
                     TimePoint,
                     std::function<void(const FeedResult&)>)>
    mFeed;
  QueryReaderHook mQueryReader;
  /** @return the source from which the table is read */
  std::function<const ReaderChoice&()> mReaders;
  /** Called with the current rows after the first read and after each change. */
  std::function<void(const TableRows&)> mOnRowsChanged;
  /** Called after mOnRowsChanged with the time at which the rows were known to be the
   * newest ones. May be empty. */
  std::function<void(TimePoint aAsOf)> mOnRowsConfirmed;
  /** Called with a reading of the store's clock and the time when the request was sent.
   * @return the earliest time at which the store's clock can have shown the reading, or
   * nothing if it is unknown */
  std::function<std::optional<TimePoint>(std::uint64_t aStoreTimeMs, TimePoint aSentAt)>
    mEarliestLocalTime;
  /** Called when a reader knows a newer incarnation of the store. May be empty. */
  std::function<void(std::uint64_t aIncarnation)> mOnIncarnation;
  /** Called when the source of the rows is lost (false) or answers again (true). */
  std::function<void(bool)> mOnContactChanged;
  std::function<TimePoint()> mNow;
  /** May be empty. */
  std::function<void(LogLevel, std::string_view aEvent, std::initializer_list<LogField>)>
    mLog;
  /** Increases a counter. May be empty. */
  std::function<void(std::string_view aName)> mCount;
};

/** A call of a follower to the store that has failed. */
struct FailedStoreCall
{
  /** "read", "feed" or "probe". */
  std::string_view mCall = "none";
  StoreFailure mReason = StoreFailure::NotSent;
};

/**
 * Maintains a copy of a table of the store by one read and a feed of its changes.
 *
 * If the zone has readers, they are queried instead of the store, so that the number of
 * calls to the store doesn't grow with the number of instances. A reader that doesn't
 * answer, lags behind or has lost the store is excluded for a while. If no reader is
 * left, the store itself is read. While the store doesn't answer either, which may
 * concern this instance only, other instances that read it are queried as substitutes,
 * and the store is probed. The revision of the copy never decreases within an incarnation
 * of the store, whichever source answers. After a return of the store to an older state,
 * the table is read again, and sources that don't know of the return are not used.
 */
class TableFollower
{
public:
  /** @param aTable name of the table
   * @param aWait how long a call to the store waits for changes; a call that is lost in
   * the network is detected a little later */
  TableFollower(std::string aTable, Duration aWait, FollowerHooks aHooks);

  /** Changes how long calls to the store wait for changes, from the next call on. */
  void SetWait(Duration aWait) { mWait = aWait; }
  /** Starts to follow the table, or stops after the call in progress. */
  void SetActive(bool aIsActive, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  /** Reads the table again unless the copy is of this incarnation of the store already.
   */
  void OnIncarnation(std::uint64_t aIncarnation, TimePoint aNow);
  /** Probes the store soon, after another call has shown that it answers again. */
  void OnStoreAnswered(TimePoint aNow);
  [[nodiscard]] TimePoint NextTimer() const
  {
    return std::min({ mRetryAt, mProbeAt, mIncarnationCheckAt });
  }

  [[nodiscard]] const std::string& Table() const { return mTable; }
  /** @return whether the last call to the store has failed */
  [[nodiscard]] bool IsStoreLost() const { return mIsStoreLost; }
  /** @return the last call to the store that has failed */
  [[nodiscard]] const FailedStoreCall& LastFailure() const { return mLastFailure; }
  [[nodiscard]] const TableCopy& Copy() const { return mCopy; }
  /** @return when the copy was known to be the newest, whatever its source */
  [[nodiscard]] TimePoint AsOf() const { return mAsOf; }
  /** @return when the copy was known to be the newest; nothing if it isn't read from the
   * store itself or the store is unavailable */
  [[nodiscard]] std::optional<TimePoint> ReadAsOf() const;

private:
  void Continue(TimePoint aNow);
  /** Reads the table again if the copy is of an earlier incarnation of the store. */
  void LeaveIncarnation(TimePoint aNow);
  void Read(TimePoint aNow);
  void Feed(TimePoint aNow);
  /** Reads the store while substitutes are queried. */
  void Probe(TimePoint aNow);
  void QueryReader(const std::string& aReader, TimePoint aNow);
  /** @return the first instance that isn't excluded, or nothing */
  [[nodiscard]] std::optional<std::string> FirstAvailable(
    const std::vector<std::string>& aInstances,
    TimePoint aNow) const;
  void OnRead(const ReadResult& aResult, TimePoint aSentAt);
  void OnFeed(const FeedResult& aResult, TimePoint aSentAt);
  void OnProbed(const ReadResult& aResult, TimePoint aSentAt);
  void ApplySnapshot(const TableSnapshot& aSnapshot);
  void OnRelayed(const std::string& aReader,
                 const std::optional<RelayAnswer>& aAnswer,
                 TimePoint aSentAt);
  void OnStoreFailure(FailedStoreCall aCall);
  void OnHistoryLost();
  /** Reports that the store has answered with an older revision than that of the copy. */
  void ReportOlderSnapshot(const TableSnapshot& aSnapshot);
  void Log(LogLevel aLevel,
           std::string_view aEvent,
           std::initializer_list<LogField> aFields) const;
  void Count(std::string_view aName) const;
  /** @return maximum age of a usable answer of another instance */
  [[nodiscard]] Duration MaxRelayedAge() const;
  /** Reports that the source answers. Called before the rows are passed on, because they
   * may lack entries that have expired during an outage. */
  void RestoreContact();
  /** Reports that the copy was known to be the newest at a time. */
  void Confirm(TimePoint aAsOf);
  void OnSuccess(TimePoint aAsOf);
  [[nodiscard]] TimePoint AsOf(std::uint64_t aStoreTimeMs, TimePoint aSentAt) const;

  std::string mTable;
  Duration mWait;
  FollowerHooks mHooks;
  TableCopy mCopy;
  bool mIsActive = false;
  /** Newest known incarnation of the store. */
  std::uint64_t mIncarnation = 0;
  /** When a call that waits for changes of an earlier incarnation is abandoned. */
  TimePoint mIncarnationCheckAt = TimePoint::max();
  /** A call or a retry is pending. */
  bool mIsBusy = false;
  /** Number of the last call; identifies results of abandoned ones. */
  std::uint64_t mCall = 0;
  /** The call in progress waits for changes. */
  bool mIsWaiting = false;
  /** The next call to the store is a feed instead of a read of the whole table. */
  bool mHasHistory = false;
  /** The source of the rows has answered the last call. */
  bool mIsInContact = true;
  /** The last answer came from the store itself. */
  bool mIsReadFromStore = false;
  TimePoint mAsOf;
  /** The last call to the store has failed. */
  bool mIsStoreLost = false;
  FailedStoreCall mLastFailure;
  /** Delay of the next read after the history was lost repeatedly; zero after changes
   * have arrived. */
  Duration mHistoryBackoff{};
  /** The loss of the history was logged, and no changes have arrived since. */
  bool mHasReportedHistoryLoss = false;
  /** An older snapshot was logged, and no newer one has arrived since. */
  bool mHasReportedOlderSnapshot = false;
  bool mIsProbing = false;
  /** When the store is probed next while substitutes are queried. */
  TimePoint mProbeAt = TimePoint::max();
  /** Earliest time of the next call to the store after a failed one. */
  TimePoint mStoreRetryAt;
  /** Readers that have failed or refused, with the time until which they are excluded. */
  std::map<std::string, TimePoint> mExcludedReaders;
  Duration mBackoff{};
  TimePoint mRetryAt = TimePoint::max();
};

} // namespace papayaspindle::proxy
