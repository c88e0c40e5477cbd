#include "decision/admission/poolplanner.h"

#include "decision/allowance/fairshare.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace papayaspindle {

namespace {

using Counts = std::vector<std::uint32_t>;

/** Connections to each member that are kept ready beyond the need of the moment. */
constexpr std::uint32_t kSpare = 1;

std::uint32_t
Sum(const Counts& aCounts)
{
  return std::accumulate(aCounts.begin(), aCounts.end(), std::uint32_t{ 0 });
}

std::uint32_t
Minus(std::uint32_t aLeft, std::uint32_t aRight)
{
  return aLeft > aRight ? aLeft - aRight : 0;
}

/** What a target is compared with. */
std::uint32_t
HeldBy(const PoolMember& aMember)
{
  return aMember.mInUse + aMember.mIdle + aMember.mOpening;
}

/** Adds shares of what is left of the allowance to the targets. */
void
Share(const Counts& aDemands, std::uint32_t aAllowance, Counts& aTargets)
{
  const Counts shares = FairShares(aDemands, Minus(aAllowance, Sum(aTargets)));
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    aTargets[i] += shares[i];
  }
}

/** Closes idle connections over the target while room is needed, or when the member is
 * not wanted. */
void
PlanCloses(const PoolState& aState, const Counts& aTargets, std::vector<PoolStep>& aSteps)
{
  std::uint32_t held = 0;
  std::uint32_t missing = 0;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    held += HeldBy(aState.mMembers[i]);
    missing += Minus(aTargets[i], HeldBy(aState.mMembers[i]));
  }
  std::uint32_t needed = Minus(held + std::min(missing, kMaxOpening), aState.mAllowance);
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    const PoolMember& member = aState.mMembers[i];
    if (!member.mWanted) {
      aSteps[i].mClose = member.mIdle;
      needed = Minus(needed, member.mIdle);
    }
  }
  for (std::size_t i = 0; i < aTargets.size() && needed > 0; ++i) {
    const PoolMember& member = aState.mMembers[i];
    const std::uint32_t surplus =
      std::min(member.mIdle, Minus(HeldBy(member), aTargets[i]));
    if (member.mWanted) {
      aSteps[i].mClose = std::min(surplus, needed);
      needed -= aSteps[i].mClose;
    }
  }
}

/** Opens one connection at a time to the member that misses most. */
void
PlanOpens(const PoolState& aState, const Counts& aTargets, std::vector<PoolStep>& aSteps)
{
  std::uint32_t held = 0;
  std::uint32_t opening = 0;
  for (const PoolMember& member : aState.mMembers) {
    held += HeldBy(member) + member.mClosing;
    opening += member.mOpening;
  }
  for (; opening < kMaxOpening && held < aState.mAllowance; ++opening, ++held) {
    std::size_t most = 0;
    std::uint32_t mostMissing = 0;
    for (std::size_t i = 0; i < aTargets.size(); ++i) {
      const PoolMember& member = aState.mMembers[i];
      const std::uint32_t missing = Minus(aTargets[i], HeldBy(member) + aSteps[i].mOpen);
      if (member.mMayOpen && missing > mostMissing) {
        most = i;
        mostMissing = missing;
      }
    }
    if (mostMissing == 0) {
      return;
    }
    ++aSteps[most].mOpen;
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
    waiting.push_back(member.mWanted ? std::min(member.mWaiting, aState.mSlots) : 0);
    spare.push_back(member.mWanted ? kSpare : 0);
  }
  PoolPlan plan;
  plan.mDemand = Sum(targets) + Sum(waiting) + Sum(spare);
  Share(waiting, aState.mAllowance, targets);
  Share(spare, aState.mAllowance, targets);
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
