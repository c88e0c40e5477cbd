#pragma once

#include "core/logposition.h"
#include "core/timetypes.h"
#include "proxy/customers/keydigest.h"
#include "proxy/keys.h"
#include "proxy/memberreply.h"
#include "proxy/proxyconfiguration.h"
#include "proxy/statement.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace papayaspindle::proxy {

/** Session values by name. */
using SessionValues = std::map<std::string, std::string, std::less<>>;

/** A prepared statement of a session. */
struct PreparedStatement
{
  PreparedKind mKind = PreparedKind::Read;
  std::string mShape;
};

/** A client's open transaction. */
struct ClientTransaction
{
  /** Opened with Begin; may write. */
  bool mMayWrite = false;
  /** Whether a write was sent to the member. */
  bool mWrote = false;
  /** Connection that runs the transaction; empty until its first statement has reached a
   * member. */
  std::optional<ConnectionKey> mConnection;
  /** Home instance that runs the transaction; empty when this instance runs it. */
  std::string mHome;
  /** Route of the first statement, which applies to the whole transaction: a change of
   * the configuration must not lead later statements to another group. */
  Route mRoute;
  /** Customer whose name the transaction's connection bears. */
  std::string mCustomer;
};

/** Bytes that the proxy core holds on behalf of a session. */
struct SessionUsage
{
  /** Values and prepared statements. */
  std::size_t mStateBytes = 0;
  /** Waiting and running statements. */
  std::size_t mStatementBytes = 0;
  /** Number of statements that wait behind the running one. */
  std::size_t mQueued = 0;
  /** Whether a member or a home instance may be running the session's statement. */
  bool mIsRunning = false;
  /** Whether the session has an open transaction. */
  bool mHasTransaction = false;
};

/** A client's session. */
struct Session
{
  std::string mDatabase;
  /** Digest of the key that the client sent. */
  std::optional<KeyDigest> mKey;
  /** Customer in whose name the session runs; empty without customers. */
  std::string mCustomer;
  /** Whether the key was withdrawn; the session runs nothing more and is closed as soon
   * as its last statement is answered. */
  bool mIsKeyWithdrawn = false;
  /** Forwarded sessions: version on which the entry instance checked the key. */
  std::uint64_t mKeyVersion = 0;
  TransactionState mState = TransactionState::Idle;
  std::optional<ClientTransaction> mTransaction;
  SessionValues mValues;
  std::map<std::string, PreparedStatement, std::less<>> mPrepared;
  /** Bytes of mValues and mPrepared. */
  std::size_t mStateBytes = 0;
  /** Position of the session's last acknowledged commit. */
  std::optional<LogPosition> mLastCommit;
  /** Statement that waits for a member or runs on one. */
  std::optional<OperationKey> mOperation;
  /** Statements that arrived while another was running. */
  std::deque<Statement> mBacklog;
  TimePoint mOpenedAt;
  TimePoint mLastActivity;
  /** Whether the session's client is connected to another instance. The session then
   * lasts as long as its transaction. */
  bool mIsForwarded = false;
};

} // namespace papayaspindle::proxy
