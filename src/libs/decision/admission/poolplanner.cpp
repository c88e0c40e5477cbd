#include "decision/admission/poolplanner.h"

#include "decision/allowance/fairshare.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace papayaspindle {

namespace {

using Counts = std::vector<std::uint32_t>;

/** Connections to each member that are opened ahead of demand. */
constexpr std::uint32_t kSpareConnections = 1;

std::uint32_t
Sum(const Counts& aCounts)
{
  return std::accumulate(aCounts.begin(), aCounts.end(), std::uint32_t{ 0 });
}

std::uint32_t
SaturatingDifference(std::uint32_t aLeft, std::uint32_t aRight)
{
  return aLeft > aRight ? aLeft - aRight : 0;
}

/** @return connections to the member that count towards its target */
std::uint32_t
CountConnections(const PoolMember& aMember)
{
  return aMember.mInUse + aMember.mIdle + aMember.mOpening;
}

/** Divides the rest of the allowance fairly by demand and adds the shares to the targets.
 */
void
AddFairShares(const Counts& aDemands, std::uint32_t aAllowance, Counts& aTargets)
{
  const Counts shares =
    FairShares(aDemands, SaturatingDifference(aAllowance, Sum(aTargets)));
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    aTargets[i] += shares[i];
  }
}

/** Closes idle connections above the target when the allowance is needed for others, and
 * all idle connections of members that get no new work. */
void
PlanCloses(const PoolState& aState, const Counts& aTargets, std::vector<PoolStep>& aSteps)
{
  std::uint32_t total = 0;
  std::uint32_t missing = 0;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    total += CountConnections(aState.mMembers[i]);
    missing += SaturatingDifference(aTargets[i], CountConnections(aState.mMembers[i]));
  }
  std::uint32_t needed = SaturatingDifference(
    total + std::min(missing, kMaxConcurrentOpenings), aState.mAllowance);
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    const PoolMember& member = aState.mMembers[i];
    if (!member.mAcceptsWork) {
      aSteps[i].mClose = member.mIdle;
      needed = SaturatingDifference(needed, member.mIdle);
    }
  }
  for (std::size_t i = 0; i < aTargets.size() && needed > 0; ++i) {
    const PoolMember& member = aState.mMembers[i];
    const std::uint32_t surplus =
      std::min(member.mIdle, SaturatingDifference(CountConnections(member), aTargets[i]));
    if (member.mAcceptsWork) {
      aSteps[i].mClose = std::min(surplus, needed);
      needed -= aSteps[i].mClose;
    }
  }
}

/** Opens connections one at a time, each to the member furthest below its target. */
void
PlanOpens(const PoolState& aState, const Counts& aTargets, std::vector<PoolStep>& aSteps)
{
  std::uint32_t total = 0;
  std::uint32_t opening = 0;
  for (const PoolMember& member : aState.mMembers) {
    total += CountConnections(member) + member.mClosing;
    opening += member.mOpening;
  }
  for (; opening < kMaxConcurrentOpenings && total < aState.mAllowance;
       ++opening, ++total) {
    std::size_t furthest = 0;
    std::uint32_t highestMissing = 0;
    for (std::size_t i = 0; i < aTargets.size(); ++i) {
      const PoolMember& member = aState.mMembers[i];
      const std::uint32_t missing =
        SaturatingDifference(aTargets[i], CountConnections(member) + aSteps[i].mOpen);
      if (member.mMayOpen && missing > highestMissing) {
        furthest = i;
        highestMissing = missing;
      }
    }
    if (highestMissing == 0) {
      return;
    }
    ++aSteps[furthest].mOpen;
  }
}

} // namespace

PoolPlan
PlanPool(const PoolState& aState)
{
  Counts targets;
  Counts waiting;
  Counts spare;
  for (const PoolMember& member : aState.mMembers) {
    targets.push_back(member.mInUse);
    waiting.push_back(member.mAcceptsWork ? std::min(member.mWaiting, aState.mSlots) : 0);
    spare.push_back(member.mAcceptsWork ? kSpareConnections : 0);
  }
  PoolPlan plan;
  plan.mDemand = Sum(targets) + Sum(waiting) + Sum(spare);
  AddFairShares(waiting, aState.mAllowance, targets);
  AddFairShares(spare, aState.mAllowance, targets);
  std::vector<PoolStep> steps;
  for (const PoolMember& member : aState.mMembers) {
    steps.push_back({ member.mMember, 0, 0 });
  }
  PlanCloses(aState, targets, steps);
  PlanOpens(aState, targets, steps);
  for (const PoolStep& step : steps) {
    if (step.mOpen > 0 || step.mClose > 0) {
      plan.mSteps.push_back(step);
    }
  }
  return plan;
}

} // namespace papayaspindle
