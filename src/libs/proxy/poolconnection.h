#pragma once

#include "core/timetypes.h"
#include "proxy/membercommand.h"
#include "proxy/session.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace papayaspindle::proxy {

/** What a pooled connection is used for. */
enum class ConnectionState : std::uint8_t
{
  /** Being opened. */
  Opening,
  /** Outside a transaction, every answer received. */
  Idle,
  /** Runs an operation or holds a transaction. */
  Leased,
  /** Runs commands of the proxy itself: a sample, a status or a rollback. */
  Internal,
};

/** A command that was sent and not yet answered. */
struct OutstandingCommand
{
  CommandKind mKind = CommandKind::Status;
  TimePoint mSentAt;
};

/** A connection to a member. */
struct PoolConnection
{
  std::string mMember;
  ConnectionState mState = ConnectionState::Opening;
  /** Session values as set on the connection. */
  SessionValues mValues;
  /** Names of the statements prepared on the connection. */
  std::set<std::string, std::less<>> mPrepared;
  std::optional<OperationKey> mOperation;
  /** Session whose transaction the connection runs. */
  std::optional<SessionKey> mTransactionOf;
  std::deque<OutstandingCommand> mOutstanding;
  /** The member's host has accepted the connection. */
  bool mIsAccepted = false;
  TimePoint mOpenedAt;
  TimePoint mLastUsed;
};

} // namespace papayaspindle::proxy
