#pragma once

#include "core/ids.h"
#include "interfaces/connections.h"
#include "interfaces/memberconnection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace papayaspindle {

/** An open connection and its address in the pools. */
struct ConnectionEntry
{
  GroupId mGroup;
  MemberId mMember;
  std::shared_ptr<MemberConnection> mConnection;
};

/** A connection, and the sequence number of the request that is sent next on it. */
struct ConnectionTurn
{
  ConnectionEntry mEntry;
  std::uint64_t mSequence = 0;
};

/**
 * All open connections of this instance by id. Thread-safe.
 *
 * Lock order: this table's lock is a leaf; no other lock is taken while it is held.
 */
class ConnectionTable
{
public:
  /** @return the id of the connection; never used before */
  ConnectionId Add(ConnectionEntry aEntry);
  /** @return the connection and its next sequence number, or nothing for an unknown id */
  std::optional<ConnectionTurn> NextTurn(ConnectionId aConnection);
  /** @return the connection, or nothing for an unknown id */
  [[nodiscard]] std::optional<ConnectionEntry> Find(ConnectionId aConnection) const;
  /** @return the connection, which has left the table, or nothing for an unknown id */
  std::optional<ConnectionEntry> Remove(ConnectionId aConnection);

private:
  mutable std::mutex mMutex;
  ConnectionId mNextId = 1;
  std::map<ConnectionId, ConnectionTurn> mTurns;
};

} // namespace papayaspindle
