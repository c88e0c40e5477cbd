#pragma once

#include "backend.pb.h"
#include "core/timetypes.h"
#include "standin.pb.h"
#include "standin/keyvaluestore.h"
#include "standin/memberlog.h"
#include "standin/termstate.h"
#include "standin/transaction.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::standin {

/** What a member keeps for one connection. */
struct SessionState
{
  std::optional<Transaction> mTransaction;
  /** Term in which the transaction began. */
  std::uint64_t mTransactionTerm = 0;
};

/**
 * One member of a database group: term, log and store, without sockets, threads or
 * clocks.
 *
 * Not thread-safe.
 */
class MemberState
{
public:
  /** Receives each durable change before the call that made it returns. */
  using JournalHook = std::function<void(const v1::JournalRecord&)>;

  MemberState(std::string aMember, std::string aAvailabilityZone);

  void SetJournal(JournalHook aJournal) { mJournal = std::move(aJournal); }
  /**
   * Replays one change of an earlier process, before any other call. The member comes
   * back fenced in its last term: whoever led or followed must be told again.
   *
   * @return whether the record continues the ones before it
   */
  bool Restore(const v1::JournalRecord& aRecord);

  /** @return the status; open_connections and leaving are left to the caller */
  [[nodiscard]] v1::StatusReply Status(TimePoint aNow) const;
  [[nodiscard]] const TermState& Terms() const { return mTerms; }
  [[nodiscard]] const MemberLog& Log() const { return mLog; }
  /** @return position that reads can see */
  [[nodiscard]] LogPosition Applied() const { return mLog.PositionAt(mApplied); }

  /** @copydoc TermState::Raise */
  bool Raise(std::uint64_t aTerm, const std::string& aKeeper);
  /** @copydoc TermState::Promote */
  bool Promote(std::uint64_t aTerm, const std::string& aKeeper);
  /** @copydoc TermState::Follow */
  bool Follow(std::uint64_t aTerm, const v1::MemberAddress& aPrimary, TimePoint aNow);

  /** Runs one request of a connection. */
  v1::SessionAnswer Run(SessionState& aSession, const v1::SessionRequest& aRequest);

  /** @return whether this member is the primary of that term */
  [[nodiscard]] bool IsPrimaryOf(std::uint64_t aTerm) const;
  /**
   * Takes a batch of the primary that this replica follows.
   *
   * @return false when the batch is of another term or does not continue the log
   */
  bool Receive(const v1::ReplicateBatch& aBatch, TimePoint aNow);
  /**
   * Applies received entries whose lag has passed.
   *
   * @return when the next one is due; nothing when all are applied
   */
  std::optional<TimePoint> ApplyDue(TimePoint aNow, Duration aLag);

private:
  v1::SessionAnswer Execute(SessionState& aSession, const v1::SessionRequest& aRequest);
  v1::SessionAnswer Commit(SessionState& aSession, const v1::SessionRequest& aRequest);
  v1::SessionAnswer Begin(SessionState& aSession);
  v1::SessionAnswer RunRead(const Statement& aStatement);
  v1::SessionAnswer RunWrite(const Statement& aStatement,
                             const v1::SessionRequest& aRequest);
  std::optional<v1::SessionAnswer> FirstOutcome(const std::string& aRequestId,
                                                const std::string& aHash) const;
  LogPosition AppendOwn(const std::string& aRequestId,
                        const std::string& aHash,
                        const std::vector<std::string>& aStatements,
                        std::uint64_t aAffected);
  void ApplyNext();
  bool AppendEntry(v1::LogEntry aEntry);
  void NoteTerm(std::uint64_t aBefore);
  bool DropAfterCommon(const LogPosition& aCommon);

  JournalHook mJournal;
  std::string mMember;
  std::string mAvailabilityZone;
  TermState mTerms;
  MemberLog mLog;
  KeyValueStore mStore;
  /** Index of the last entry that the store holds. */
  std::uint64_t mApplied = 0;
  /** Arrival of the entries after mApplied. */
  std::deque<TimePoint> mReceivedAt;
  /**
   * Whether the log agrees with the primary of this term. Until the first batch it may
   * end in entries that the primary does not have, and reads must not see those.
   */
  bool mInStep = false;
  TimePoint mPrimaryHeardAt;
};

} // namespace papayaspindle::standin
