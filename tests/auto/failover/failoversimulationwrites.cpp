#include "failover/failoversimulation.h"

#include <fmt/format.h>

#include <algorithm>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr Duration kWriteInterval = 50ms;
constexpr Duration kReplicationInterval = 20ms;
constexpr Duration kWriteTimeout = 10s;

/** Truncates aLog after the entries it shares with aSource, then appends the rest. */
void
CopyLog(const std::vector<FailoverSimulation::Entry>& aSource,
        std::vector<FailoverSimulation::Entry>& aLog)
{
  std::size_t common = std::min(aSource.size(), aLog.size());
  while (common > 0 && aSource[common - 1] != aLog[common - 1]) {
    --common;
  }
  aLog.resize(common);
  aLog.insert(
    aLog.end(), aSource.begin() + static_cast<std::ptrdiff_t>(common), aSource.end());
}

} // namespace

void
FailoverSimulation::HandleReport(int aHome, const MemberStatus& aStatus)
{
  Home& home = mHomes[aHome];
  std::erase_if(home.mPendingWrites, [&](Write& aWrite) {
    aWrite.mTracker.OnReport(
      { aStatus.mMember, aStatus.mTerm, aStatus.mLastPosition, aStatus.mRequestedAt });
    if (!aWrite.mTracker.IsAcknowledged()) {
      return mNow - aWrite.mSentAt > kWriteTimeout;
    }
    if (aWrite.mAppendedInSupersededTerm) {
      RecordViolation(
        fmt::format("a superseded primary acknowledged write {}", aWrite.mNumber));
    }
    mAcknowledged.insert(aWrite.mNumber);
    CheckPrimaries({ aWrite.mNumber });
    mLastAcknowledgedSentAt = std::max(mLastAcknowledgedSentAt, aWrite.mSentAt);
    return true;
  });
}

void
FailoverSimulation::ScheduleWrites(int aHome)
{
  Schedule(kWriteInterval + std::chrono::milliseconds(7 * aHome), [=, this] {
    ScheduleWrites(aHome);
    Home& home = mHomes[aHome];
    const Node& node = mNodes[HomeNode(aHome)];
    const bool sends = mWritesEnabled && !node.mPaused && !node.mDead;
    if (!sends || home.mView.mPrimary.IsEmpty()) {
      return;
    }
    const int target = NumberInName(home.mView.mPrimary.Text());
    if (!IsReachable(HomeNode(aHome), target)) {
      return;
    }
    RunOnNode(target, [=, this, sentAt = mNow, term = home.mView.mTerm] {
      Member& member = mMembers[target];
      if (member.mRole != MemberRole::Primary || member.mTerm != term) {
        return;
      }
      const LogPosition position{ term, member.mLog.size() + 1 };
      const bool late = 2 * MembersInTerm(term + 1, true) > MemberCount();
      member.mLog.push_back({ position, ++mWriteCount });
      const auto members = static_cast<std::size_t>(MemberCount());
      mHomes[aHome].mPendingWrites.push_back(
        { mWriteCount, sentAt, AckTracker(MemberIdOf(target), position, members), late });
    });
  });
}

void
FailoverSimulation::ScheduleReplication()
{
  Schedule(kReplicationInterval, [this] {
    ScheduleReplication();
    for (int i = 0; i < MemberCount(); ++i) {
      Member& replica = mMembers[i];
      const Member& primary = mMembers[replica.mPrimary];
      const bool linked =
        replica.mRole == MemberRole::Replica && primary.mRole == MemberRole::Primary &&
        replica.mTerm == primary.mTerm && !mNodes[i].mPaused && !mNodes[i].mDead &&
        !mNodes[replica.mPrimary].mPaused && !mNodes[replica.mPrimary].mDead &&
        IsReachable(i, replica.mPrimary);
      if (!linked || RandomChance(mNetwork.mLossPercent)) {
        continue;
      }
      replica.mLastPrimaryContactAt = mNow;
      if (!replica.mLagging) {
        CopyLog(primary.mLog, replica.mLog);
      }
    }
  });
}
