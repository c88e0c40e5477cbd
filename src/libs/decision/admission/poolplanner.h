#pragma once

#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace papayaspindle {

/** Openings under way at once for each group. More would load a member that has just lost
 * its connections with handshakes. */
constexpr std::uint32_t kMaxOpening = 2;

/** One member as the pool sees it. */
struct PoolMember
{
  MemberId mMember;
  /** In the configuration, and not leaving. */
  bool mWanted = true;
  std::uint32_t mInUse = 0;
  std::uint32_t mIdle = 0;
  std::uint32_t mOpening = 0;
  /** Being closed: they count until the member has seen their end. */
  std::uint32_t mClosing = 0;
  /** Requests that wait for a connection. */
  std::uint32_t mWaiting = 0;
  /** False for a while after an opening has failed. */
  bool mMayOpen = true;
};

/** State of a group's pool at this home. */
struct PoolState
{
  std::uint32_t mAllowance = 0;
  std::uint32_t mSlots = 0;
  std::vector<PoolMember> mMembers;
};

/** What to do for one member. */
struct PoolStep
{
  MemberId mMember;
  std::uint32_t mOpen = 0;
  /** Idle connections to close. */
  std::uint32_t mClose = 0;

  bool operator==(const PoolStep&) const = default;
};

/** The next steps of a group's pool. */
struct PoolPlan
{
  /** Members with something to do. */
  std::vector<PoolStep> mSteps;
  /** Connections that could be used now, also beyond the allowance; the demand for leases
   * is what of it exceeds the floor. */
  std::uint32_t mDemand = 0;
};

/**
 * Plans how many connections to hold to which member.
 *
 * Each member gets what is in use, then connections for waiting requests, then one spare
 * that is opened ahead of need. No more are planned for waiting requests than the member
 * has slots.
 *
 * @param aState the pool
 * @return opens and closes; open connections and openings stay within the allowance
 */
PoolPlan PlanPool(const PoolState& aState);

} // namespace papayaspindle
