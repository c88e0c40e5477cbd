#pragma once

#include "core/timetypes.h"
#include "proxy/rowstore.h"

#include <cstdint>
#include <functional>
#include <map>

namespace papayaspindle::proxy {

/** Functions that a conditional writer depends on. */
struct ConditionalWriterHooks
{
  std::function<void(const ConditionalWrite&, std::function<void(const WriteResult&)>)>
    mWrite;
  /** Reads the table of the written rows from the store. */
  std::function<void(TimePoint, std::function<void(const ReadResult&)>)> mRead;
  std::function<TimePoint()> mNow;
};

/**
 * Writes rows of one table, and finds out early whether a write without an answer has
 * taken effect.
 *
 * If the store doesn't answer soon, the row is read. If it still has the expected
 * revision, the write is repeated: at most one of the attempts can take effect, because
 * each of them requires that revision.
 *
 * When the store has returned to an older state, a write that was sent is not repeated;
 * the row is read, and the outcome is unknown. The write may be part of that state, or
 * may be carried out late where its revision is in use again, and an equal row doesn't
 * prove that its condition held.
 */
class ConditionalWriter
{
public:
  using ResultHook = std::function<void(const WriteResult&)>;

  explicit ConditionalWriter(ConditionalWriterHooks aHooks);

  /** @param aHook called once, with a failure if the outcome isn't known after all
   * attempts have failed */
  void Write(const ConditionalWrite& aWrite, ResultHook aHook);
  /** Ends the attempts of the writes that expect a revision of an earlier incarnation of
   * the store. Their rows are read before their outcome is reported as unknown. */
  void OnIncarnation(std::uint64_t aIncarnation, TimePoint aNow);
  /** Checks the pending writes now, because the store has answered another call. */
  void OnStoreAnswered(TimePoint aNow);
  void OnTimer(TimePoint aNow);
  /** @return when OnTimer has to be called next */
  [[nodiscard]] TimePoint NextTimer() const;

private:
  using WriteKey = std::uint64_t;

  struct PendingWrite
  {
    ConditionalWrite mWrite;
    ResultHook mHook;
    /** 0 for a write that is refused because it was outdated before it was sent. */
    std::uint32_t mAttempts = 0;
    /** Number of attempts without a result. */
    std::uint32_t mUnanswered = 0;
    bool mIsReading = false;
    /** Whether the last read was sent after the store's return was known. */
    bool mIsReadingBack = false;
    /** When the last attempt was sent. */
    TimePoint mSentAt;
    TimePoint mNextCheckAt;
  };

  void Send(WriteKey aKey);
  void OnResult(WriteKey aKey, const WriteResult& aResult);
  /** @return whether the write expects a revision of an earlier incarnation */
  [[nodiscard]] bool IsOutdated(const PendingWrite& aPending) const;
  /** Reads the row of a write to find out whether it has taken effect. */
  void Check(WriteKey aKey, TimePoint aNow);
  void OnRowRead(WriteKey aKey, const ReadResult& aResult);
  void Finish(WriteKey aKey, const WriteResult& aResult);

  ConditionalWriterHooks mHooks;
  std::map<WriteKey, PendingWrite> mPending;
  /** Newest incarnation of the store that is known. */
  std::uint64_t mIncarnation = 0;
  WriteKey mNextKey = 1;
};

} // namespace papayaspindle::proxy
