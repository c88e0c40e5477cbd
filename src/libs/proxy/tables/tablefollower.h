#pragma once

#include "core/timetypes.h"
#include "proxy/tables/readerchoice.h"
#include "proxy/tables/relaymessages.h"
#include "proxy/tables/tablechanges.h"
#include "proxy/tables/tablecopy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** What a follower asks of its surroundings, and what it reports. */
struct FollowerHooks
{
  /** Reads the whole table from the store. */
  std::function<void(TimePoint, std::function<void(const ReadResult&)>)> mRead;
  /** Waits at the store for changes after a revision. */
  std::function<void(std::uint64_t aAfter,
                     Duration aWait,
                     TimePoint,
                     std::function<void(const FeedResult&)>)>
    mFeed;
  AskReaderHook mAsk;
  /** @return where the table is read */
  std::function<const ReaderChoice&()> mReaders;
  /** The rows as they are now; after the first read and after each change. */
  std::function<void(const TableRows&)> mChanged;
  /** The rows were the newest at about this time; after mChanged. May be empty. */
  std::function<void(TimePoint aAsOf)> mConfirmed;
  /** The store's clock showed aStoreTimeMs in the answer to a request.
   * @return a time at which it had not shown that yet, or nothing */
  std::function<std::optional<TimePoint>(std::uint64_t aStoreTimeMs, TimePoint aSentAt)>
    mStoreTime;
  /** The source of the rows was lost (false) or answers again (true). */
  std::function<void(bool)> mContact;
  std::function<TimePoint()> mNow;
};

/**
 * Keeps a copy of a table of the store, by one read and a feed of the changes.
 *
 * Where other instances of the zone read the store, they are asked instead: so the calls
 * to the store don't grow with the number of instances. A reader that doesn't answer, is
 * behind or has lost the store is left out for a while; without a reader the store itself
 * is read. Revisions only move on, whoever is asked.
 */
class TableFollower
{
public:
  /** @param aWait how long a call waits for changes; a call that a broken path swallows
   * is noticed a little later */
  TableFollower(std::string aTable, Duration aWait, FollowerHooks aHooks);

  /** Starts to follow the table, or stops after the call under way. */
  void SetActive(bool aIsActive, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  [[nodiscard]] TimePoint NextTimer() const { return mRetryAt; }

  [[nodiscard]] const std::string& Table() const { return mTable; }
  [[nodiscard]] const TableCopy& Copy() const { return mCopy; }
  /** @return when the copy was the newest; nothing where it isn't read from the store
   * itself, or the store is lost */
  [[nodiscard]] std::optional<TimePoint> ReadAsOf() const;

private:
  void Continue(TimePoint aNow);
  void Read(TimePoint aNow);
  void Feed(TimePoint aNow);
  void Ask(const std::string& aReader, TimePoint aNow);
  /** @return the reader to ask, or nothing where the store is read */
  [[nodiscard]] std::optional<std::string> Reader(TimePoint aNow) const;
  void OnRead(const ReadResult& aResult);
  void OnFeed(const FeedResult& aResult);
  void OnRelayed(const std::string& aReader,
                 const std::optional<RelayAnswer>& aAnswer,
                 TimePoint aSentAt);
  void OnFailure();
  /** The source answers: told before the rows, which may lack what lapsed meanwhile. */
  void NoteContact();
  void OnSuccess(TimePoint aAsOf);
  [[nodiscard]] TimePoint AsOf(std::uint64_t aStoreTimeMs) const;

  std::string mTable;
  Duration mWait;
  FollowerHooks mHooks;
  TableCopy mCopy;
  bool mIsActive = false;
  /** A call or a retry is under way. */
  bool mIsBusy = false;
  /** The next call to the store is a feed. */
  bool mHasHistory = false;
  bool mIsInContact = true;
  /** The last answer came from the store itself. */
  bool mIsDirect = false;
  TimePoint mAsOf;
  /** When the call under way was sent. */
  TimePoint mSentAt;
  /** Readers that failed, and until when they are left out. */
  std::map<std::string, TimePoint> mLeftOut;
  Duration mBackoff{};
  TimePoint mRetryAt = TimePoint::max();
};

} // namespace papayaspindle::proxy
