#pragma once

#include "core/error.h"
#include "core/hooks.h"
#include "core/ids.h"
#include "interfaces/connections.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace papayaspindle {

/** What a transaction id says. */
struct TransactionAddress
{
  InstanceId mHome;
  GroupId mGroup;
};

/** @return the home and group that the id names, or nothing when it is none of ours */
std::optional<TransactionAddress> ParseTransactionId(const TransactionId& aId);

/** An open transaction of this home. */
struct OpenTransaction
{
  GroupId mGroup;
  MemberId mPrimary;
  /** Term in which it began. */
  std::uint64_t mTerm = 0;
  /** Its own connection, from begin to end. */
  ConnectionId mConnection = 0;
  /** Whether one of its statements may have written. */
  bool mHasWritten = false;
};

/**
 * The open transactions of this home. A transaction is lent to one statement at a time.
 *
 * Thread-safe. Its lock is a leaf.
 */
class TransactionTable
{
public:
  /**
   * @param aHome this instance
   * @param aIdleTimeout a transaction that runs nothing for longer is closed
   */
  TransactionTable(InstanceId aHome,
                   Duration aIdleTimeout,
                   NowHook aNow,
                   RandomHook aRandom);

  /** @return id that names the home, the group, a counter and a random nonce, so that no
   * other caller can guess it */
  TransactionId Add(const OpenTransaction& aTransaction);
  /**
   * Lends the transaction until Return or Remove.
   *
   * Errors: UnknownTransaction; MalformedRequest while another statement of it runs.
   */
  Result<OpenTransaction> Borrow(const TransactionId& aId);
  /** Ends the loan of a transaction that stays open. */
  void Return(const TransactionId& aId, const OpenTransaction& aTransaction);
  /** Ends the transaction. */
  void Remove(const TransactionId& aId);
  /** @return the transactions that were idle too long; they are removed */
  std::vector<OpenTransaction> RemoveIdle();
  /** @return open transactions */
  [[nodiscard]] std::size_t Count() const;

private:
  struct Entry
  {
    OpenTransaction mTransaction;
    TimePoint mLastUsed;
    bool mIsLent = false;
  };

  InstanceId mHome;
  Duration mIdleTimeout;
  NowHook mNow;
  RandomHook mRandom;
  mutable std::mutex mMutex;
  std::uint64_t mCounter = 0;
  std::map<TransactionId, Entry> mEntries;
};

} // namespace papayaspindle
