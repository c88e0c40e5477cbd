#pragma once

#include "daemon/connections/grouppool.h"
#include "daemon/connections/poolwork.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <vector>

namespace papayaspindle {

/** A blocked Acquire. */
struct PoolWaiter
{
  std::condition_variable mWake;
  std::optional<Result<ConnectionId>> mOutcome;
};

/** One group's pool, its lock and the requests that wait for it. */
struct PoolSlot
{
  /** Hands outcomes to the requests that wait; requires mMutex. */
  void Deliver(const PoolWork& aWork);

  std::mutex mMutex;
  GroupPool mPool;
  std::map<PoolTicket, PoolWaiter> mWaiters;
};

/**
 * The pools of all groups. Thread-safe.
 *
 * Lock order: the registry's lock is never held while a slot's lock is taken.
 */
class PoolRegistry
{
public:
  /** @return the group's slot, made when there is none; it is never removed */
  PoolSlot& SlotOf(const GroupId& aGroup);
  [[nodiscard]] std::vector<GroupId> Names() const;

private:
  mutable std::shared_mutex mMutex;
  std::map<GroupId, PoolSlot> mSlots;
};

} // namespace papayaspindle
