#include "daemon/connections/connectiontable.h"

#include <utility>

namespace papayaspindle {

ConnectionId
ConnectionTable::Add(ConnectionEntry aEntry)
{
  const std::lock_guard lock(mMutex);
  mTurns[mNextId] = { std::move(aEntry), 0 };
  return mNextId++;
}

std::optional<ConnectionTurn>
ConnectionTable::NextTurn(ConnectionId aConnection)
{
  const std::lock_guard lock(mMutex);
  const auto found = mTurns.find(aConnection);
  if (found == mTurns.end()) {
    return std::nullopt;
  }
  ++found->second.mSequence;
  return found->second;
}

std::optional<ConnectionEntry>
ConnectionTable::Find(ConnectionId aConnection) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mTurns.find(aConnection);
  if (found == mTurns.end()) {
    return std::nullopt;
  }
  return found->second.mEntry;
}

std::optional<ConnectionEntry>
ConnectionTable::Remove(ConnectionId aConnection)
{
  const std::lock_guard lock(mMutex);
  const auto found = mTurns.find(aConnection);
  if (found == mTurns.end()) {
    return std::nullopt;
  }
  ConnectionEntry entry = std::move(found->second.mEntry);
  mTurns.erase(found);
  return entry;
}

} // namespace papayaspindle
