#pragma once

#include "core/timetypes.h"
#include "proxy/appliedvalue.h"
#include "proxy/membercommand.h"
#include "proxy/session.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace papayaspindle::proxy {

/** State of a pooled connection. */
enum class ConnectionState : std::uint8_t
{
  /** The connection is being opened. */
  Opening,
  /** The connection is outside a transaction and has received every answer. */
  Idle,
  /** The connection runs an operation or holds a client's transaction. */
  InUse,
  /** The connection runs commands of the proxy itself: a position sample, a status query
   * or a rollback. */
  Internal,
};

/** A command that was sent but has not been answered. */
struct OutstandingCommand
{
  CommandKind mKind = CommandKind::Status;
  TimePoint mSentAt;
};

/** A pooled connection to a member. */
struct PoolConnection
{
  std::string mMember;
  ConnectionState mState = ConnectionState::Opening;
  /** Session values that are set on the connection. */
  std::map<std::string, AppliedValue, std::less<>> mValues;
  /** Names of the statements prepared on the connection. */
  std::set<std::string, std::less<>> mPrepared;
  std::optional<OperationKey> mOperation;
  /** Session whose transaction runs on the connection. */
  std::optional<SessionKey> mTransactionSession;
  std::deque<OutstandingCommand> mOutstanding;
  /** Whether the member's host has accepted the connection. */
  bool mIsAccepted = false;
  TimePoint mOpenedAt;
};

} // namespace papayaspindle::proxy
