#pragma once

#include "daemon/statements/replicationwatch.h"
#include "decision/routing/readchooser.h"
#include "decision/session/sessiontokencodec.h"
#include "decision/write/retrypolicy.h"

#include <chrono>
#include <cstddef>

namespace papayaspindle {

/** Settings of the data path. */
struct StatementSettings
{
  SessionTokenSettings mTokens;
  ReadSettings mReads;
  RetrySettings mRetries;
  ReplicationSettings mReplication;
  std::size_t mMaxStatementBytes = 1'048'576;
  /** Deadline of requests that state none. */
  std::chrono::milliseconds mDefaultTimeout{ 5000 };
  std::chrono::milliseconds mMaxTimeout{ 600'000 };
  /** First time limit of one attempt at a member; each further attempt has twice as much,
   * so that a frozen member is noticed and a long statement still ends. */
  std::chrono::milliseconds mFirstAttempt{ 1000 };
  /** The same for one attempt at a home; a home waits for a failover by itself. */
  std::chrono::milliseconds mFirstForward{ 3000 };
  /** Time that a home leaves of an attempt for its answer to arrive. */
  std::chrono::milliseconds mForwardMargin{ 20 };
  /** How often a request without a usable primary looks for a new view. */
  std::chrono::milliseconds mViewPoll{ 5 };
  std::chrono::milliseconds mTransactionIdleTimeout{ 30'000 };
  /** Time limit of one look-up of a request id at one member. */
  std::chrono::milliseconds mLookUpTimeout{ 300 };
  std::size_t mLookUpThreads = 8;
};

} // namespace papayaspindle
