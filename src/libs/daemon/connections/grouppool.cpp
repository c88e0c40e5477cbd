#include "daemon/connections/grouppool.h"

#include <algorithm>

namespace papayaspindle {

namespace {

/** Pause after a failed opening before the member is tried again. */
constexpr std::chrono::milliseconds kReopenPause{ 250 };

} // namespace

void
GroupPool::Configure(const GroupSettings& aSettings)
{
  if (aSettings.mRevision == mRevision && !mMembers.empty()) {
    return;
  }
  mRevision = aSettings.mRevision;
  mSlots = aSettings.mSlots;
  for (auto& [name, member] : mMembers) {
    member.mWanted = false;
  }
  for (const MemberSettings& settings : aSettings.mMembers) {
    Member& member = mMembers[settings.mMember];
    member.mWanted = !settings.mLeaving;
    if (member.mAddress != settings.mAddress) {
      member.mAddress = settings.mAddress;
      member.mOpenFailedAt.reset();
    }
  }
  std::erase_if(mMembers, [this](const auto& aEntry) {
    const auto& [name, member] = aEntry;
    return !member.mWanted && HeldOf(name) == 0 && Count(name, Phase::Closing) == 0 &&
           member.mQueue.Waiting() == 0;
  });
}

void
GroupPool::SetAllowance(const GroupAllowance& aAllowance)
{
  mAllowance = aAllowance;
}

Result<PoolTicket>
GroupPool::Enter(const AcquireRequest& aRequest, TimePoint aNow)
{
  const auto found = mMembers.find(aRequest.mMember);
  if (found == mMembers.end() || !found->second.mWanted) {
    return Error{ ErrorKind::MemberUnreachable,
                  "the member is leaving or not in the group" };
  }
  if (mAllowance.At(aNow) == 0) {
    return Error{ ErrorKind::ConnectionLimit,
                  "this instance holds no share of the group's connections" };
  }
  Member& member = found->second;
  const std::uint32_t idle = Count(aRequest.mMember, Phase::Idle);
  const std::uint32_t held = HeldOf(aRequest.mMember);
  if (held == 0 && HasFailed(member, aNow)) {
    return Error{ ErrorKind::MemberUnreachable, "the last opening failed" };
  }
  member.mQueue.SetConcurrency(std::min(held, mSlots));
  const Result<TicketId> ticket = member.mQueue.Enter(
    { aRequest.mCaller, aRequest.mWrite, aRequest.mDeadline }, idle, aNow);
  if (!IsOk(ticket)) {
    return ErrorOf(ticket);
  }
  return PoolTicket{ aRequest.mMember, ValueOf(ticket) };
}

void
GroupPool::OnOpened(ConnectionId aConnection,
                    const MemberId& aMember,
                    const std::string& aAddress,
                    TimePoint aNow)
{
  Member& member = mMembers[aMember];
  --member.mOpening;
  member.mOpenFailedAt.reset();
  mConnections[aConnection] = { aMember, aAddress, Phase::Idle, aNow };
  mHealth.OnOpened(aConnection, aMember, aNow);
}

void
GroupPool::OnOpenFailed(const MemberId& aMember, TimePoint aNow)
{
  Member& member = mMembers[aMember];
  --member.mOpening;
  member.mOpenFailedAt = aNow;
}

void
GroupPool::OnAnswer(ConnectionId aConnection, TimePoint aNow)
{
  mHealth.OnAnswer(aConnection, aNow);
}

void
GroupPool::Condemn(ConnectionId aConnection,
                   InvalidationReason aReason,
                   TimePoint aSentAt)
{
  mHealth.Invalidate(aConnection, aReason, aSentAt);
}

bool
GroupPool::OnReleased(ConnectionId aConnection, ConnectionState aState, TimePoint aNow)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end() || found->second.mPhase != Phase::Owned) {
    return false;
  }
  if (aState != ConnectionState::Clean) {
    mHealth.Invalidate(aConnection, InvalidationReason::Unclean, aNow);
  }
  found->second.mPhase = Phase::Idle;
  mMembers[found->second.mMember].mQueue.UpdateServiceTime(aNow -
                                                           found->second.mOwnedSince);
  return true;
}

void
GroupPool::OnProbed(ConnectionId aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found != mConnections.end() && found->second.mPhase == Phase::Probing) {
    found->second.mPhase = Phase::Idle;
  }
}

void
GroupPool::OnClosed(ConnectionId aConnection)
{
  mConnections.erase(aConnection);
  mHealth.OnClosed(aConnection);
}

PoolWork
GroupPool::Advance(TimePoint aNow)
{
  PoolWork work;
  Expire(aNow, work);
  CheckIdle(work);
  // What is over the allowance is closed before any connection is handed out.
  Plan(aNow, work);
  Dispatch(aNow, work);
  RefuseUnservable(aNow, work);
  return work;
}

bool
GroupPool::IsUsable(ConnectionId aConnection) const
{
  const auto found = mConnections.find(aConnection);
  return found != mConnections.end() && found->second.mPhase == Phase::Owned &&
         mHealth.NextUse(aConnection) != ConnectionUse::Close;
}

std::uint32_t
GroupPool::Held() const
{
  auto held = static_cast<std::uint32_t>(mConnections.size());
  for (const auto& [name, member] : mMembers) {
    held += member.mOpening;
  }
  return held;
}

std::uint32_t
GroupPool::Owned() const
{
  std::uint32_t owned = 0;
  for (const auto& [name, member] : mMembers) {
    owned += Count(name, Phase::Owned);
  }
  return owned;
}

std::size_t
GroupPool::Waiting() const
{
  std::size_t waiting = 0;
  for (const auto& [name, member] : mMembers) {
    waiting += member.mQueue.Waiting();
  }
  return waiting;
}

std::uint32_t
GroupPool::TakeDemand()
{
  const std::uint32_t demand = mPeakDemand;
  mPeakDemand = 0;
  return demand;
}

std::uint32_t
GroupPool::Count(const MemberId& aMember, Phase aPhase) const
{
  return static_cast<std::uint32_t>(
    std::count_if(mConnections.begin(), mConnections.end(), [&](const auto& aEntry) {
      return aEntry.second.mMember == aMember && aEntry.second.mPhase == aPhase;
    }));
}

std::uint32_t
GroupPool::HeldOf(const MemberId& aMember) const
{
  return Count(aMember, Phase::Idle) + Count(aMember, Phase::Owned) +
         Count(aMember, Phase::Probing) + mMembers.at(aMember).mOpening;
}

bool
GroupPool::HasFailed(const Member& aMember, TimePoint aNow) const
{
  return aMember.mOpenFailedAt && aNow - *aMember.mOpenFailedAt < kReopenPause;
}

bool
GroupPool::IsMisplaced(const Connection& aConnection) const
{
  const Member& member = mMembers.at(aConnection.mMember);
  return !member.mWanted || member.mAddress != aConnection.mAddress;
}

PoolState
GroupPool::State(TimePoint aNow) const
{
  PoolState state;
  state.mAllowance = mAllowance.At(aNow);
  state.mSlots = mSlots;
  for (const auto& [name, member] : mMembers) {
    PoolMember entry;
    entry.mMember = name;
    entry.mAcceptsWork = member.mWanted;
    entry.mMayOpen = !HasFailed(member, aNow);
    entry.mInUse = Count(name, Phase::Owned) + Count(name, Phase::Probing);
    entry.mIdle = Count(name, Phase::Idle);
    entry.mOpening = member.mOpening;
    entry.mClosing = Count(name, Phase::Closing);
    entry.mWaiting = static_cast<std::uint32_t>(member.mQueue.Waiting());
    state.mMembers.push_back(entry);
  }
  return state;
}

void
GroupPool::Expire(TimePoint aNow, PoolWork& aWork)
{
  for (auto& [name, member] : mMembers) {
    for (const TicketId ticket : member.mQueue.Expire(aNow)) {
      aWork.mDeliveries.push_back(
        { { name, ticket },
          Error{ ErrorKind::DeadlineBeforeStart, "no connection was free in time" } });
    }
  }
}

void
GroupPool::CheckIdle(PoolWork& aWork)
{
  for (auto& [id, connection] : mConnections) {
    if (connection.mPhase != Phase::Idle) {
      continue;
    }
    const ConnectionUse use = mHealth.NextUse(id);
    if (use == ConnectionUse::Close || IsMisplaced(connection)) {
      connection.mPhase = Phase::Closing;
      aWork.mCloses.push_back(id);
    } else if (use == ConnectionUse::ProbeFirst) {
      connection.mPhase = Phase::Probing;
      aWork.mProbes.push_back(id);
    }
  }
}

void
GroupPool::Plan(TimePoint aNow, PoolWork& aWork)
{
  const PoolPlan plan = PlanPool(State(aNow));
  mPeakDemand = std::max(mPeakDemand, plan.mDemand);
  for (const PoolStep& step : plan.mSteps) {
    CloseIdle(step.mMember, step.mClose, aWork);
    Member& member = mMembers[step.mMember];
    for (std::uint32_t i = 0; i < step.mOpen; ++i) {
      ++member.mOpening;
      aWork.mOpenings.push_back({ step.mMember, member.mAddress });
    }
  }
}

void
GroupPool::CloseIdle(const MemberId& aMember, std::uint32_t aCount, PoolWork& aWork)
{
  std::uint32_t left = aCount;
  for (auto& [id, connection] : mConnections) {
    if (left == 0) {
      return;
    }
    if (connection.mMember == aMember && connection.mPhase == Phase::Idle) {
      connection.mPhase = Phase::Closing;
      aWork.mCloses.push_back(id);
      --left;
    }
  }
}

void
GroupPool::Dispatch(TimePoint aNow, PoolWork& aWork)
{
  for (auto& [id, connection] : mConnections) {
    if (connection.mPhase != Phase::Idle) {
      continue;
    }
    const auto ticket = mMembers[connection.mMember].mQueue.Next();
    if (!ticket) {
      continue;
    }
    connection.mPhase = Phase::Owned;
    connection.mOwnedSince = aNow;
    aWork.mDeliveries.push_back({ { connection.mMember, *ticket }, id });
  }
}

void
GroupPool::RefuseUnservable(TimePoint aNow, PoolWork& aWork)
{
  for (auto& [name, member] : mMembers) {
    Error error{ ErrorKind::MemberUnreachable, "no connection could be opened" };
    if (member.mWanted) {
      const bool noShare = mAllowance.At(aNow) == 0;
      if (HeldOf(name) > 0 || (!noShare && !HasFailed(member, aNow))) {
        continue;
      }
      if (noShare) {
        error = { ErrorKind::ConnectionLimit, "the share of the connections has lapsed" };
      }
    }
    while (const auto ticket = member.mQueue.Next()) {
      aWork.mDeliveries.push_back({ { name, *ticket }, error });
    }
  }
}

} // namespace papayaspindle
