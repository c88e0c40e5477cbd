#pragma once

#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace papayaspindle {

/** Connections of a group that are opened concurrently. More would overload a member that
 * has just lost its connections with handshakes. */
constexpr std::uint32_t kMaxConcurrentOpenings = 2;

/** Connections and waiting requests of one member. */
struct PoolMember
{
  MemberId mMember;
  /** Whether the member gets new work: it is in the configuration and not leaving. */
  bool mAcceptsWork = true;
  std::uint32_t mInUse = 0;
  std::uint32_t mIdle = 0;
  std::uint32_t mOpening = 0;
  /** Connections being closed. Each one counts against the allowance until the member
   * has closed it too. */
  std::uint32_t mClosing = 0;
  /** Requests waiting for a connection. */
  std::uint32_t mWaiting = 0;
  /** Whether connections may be opened; false for a while after an attempt failed. */
  bool mMayOpen = true;
};

/** State of a group's connection pool at this home. */
struct PoolState
{
  /** Connections that this home may have open. */
  std::uint32_t mAllowance = 0;
  /** Statements that each member runs concurrently. */
  std::uint32_t mSlots = 0;
  std::vector<PoolMember> mMembers;
};

/** Connections to open to and to close at one member. */
struct PoolStep
{
  MemberId mMember;
  std::uint32_t mOpen = 0;
  /** Idle connections to close. */
  std::uint32_t mClose = 0;

  bool operator==(const PoolStep&) const = default;
};

/** Next steps of a group's connection pool. */
struct PoolPlan
{
  /** Steps of the members for which connections are opened or closed. */
  std::vector<PoolStep> mSteps;
  /** Connections that could be used now, including those beyond the allowance. The part
   * above the floor is the demand for leases. */
  std::uint32_t mDemand = 0;
};

/**
 * Plans the number of connections to each member.
 *
 * The target of each member consists of the connections in use, then connections for
 * waiting requests, at most as many as the member has slots, then one spare connection
 * that is opened ahead of demand.
 *
 * @param aState current state of the pool
 * @return connections to open and to close. No connection is opened that would exceed the
 * allowance together with those that are open, opening or closing.
 */
PoolPlan PlanPool(const PoolState& aState);

} // namespace papayaspindle
