#include "failover/failoverworld.h"

#include <fmt/format.h>

#include <algorithm>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr Duration kWritePause = 50ms;
constexpr Duration kReplication = 20ms;
constexpr Duration kWriteDeadline = 10s;

/** Drops what the source does not hold, then appends the rest. */
void
CopyLog(const std::vector<FailoverWorld::Entry>& aSource,
        std::vector<FailoverWorld::Entry>& aLog)
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
FailoverWorld::TakeReports(int aHome, const MemberStatus& aStatus)
{
  Home& home = mHomes[aHome];
  std::erase_if(home.mPending, [&](Write& aWrite) {
    aWrite.mTracker.OnReport(
      { aStatus.mMember, aStatus.mTerm, aStatus.mLast, aStatus.mAskedAt });
    if (!aWrite.mTracker.IsAcknowledged()) {
      return mNow - aWrite.mAt > kWriteDeadline;
    }
    if (aWrite.mLate) {
      Violate(fmt::format("old primary acknowledges write {}", aWrite.mNumber));
    }
    mAcknowledged.insert(aWrite.mNumber);
    CheckPrimaries({ aWrite.mNumber });
    mLastAcknowledgedSent = std::max(mLastAcknowledgedSent, aWrite.mAt);
    return true;
  });
}

void
FailoverWorld::WriteFrom(int aHome)
{
  At(kWritePause + std::chrono::milliseconds(7 * aHome), [=, this] {
    WriteFrom(aHome);
    Home& home = mHomes[aHome];
    const Node& node = mNodes[HomeNode(aHome)];
    const bool sends = mWriting && !node.mPaused && !node.mDead;
    if (!sends || home.mView.mPrimary.IsEmpty()) {
      return;
    }
    const int target = NumberOf(home.mView.mPrimary.Text());
    if (!IsReachable(HomeNode(aHome), target)) {
      return;
    }
    OnNode(target, [=, this, sentAt = mNow, term = home.mView.mTerm] {
      Member& member = mMembers[target];
      if (member.mRole != MemberRole::Primary || member.mTerm != term) {
        return;
      }
      const LogPosition position{ term, member.mLog.size() + 1 };
      const bool late = 2 * MembersInTerm(term + 1, true) > MemberCount();
      member.mLog.push_back({ position, ++mWrites });
      const auto members = static_cast<std::size_t>(MemberCount());
      mHomes[aHome].mPending.push_back(
        { mWrites, sentAt, AckTracker(MemberName(target), position, members), late });
    });
  });
}

void
FailoverWorld::Replicate()
{
  At(kReplication, [this] {
    Replicate();
    for (int i = 0; i < MemberCount(); ++i) {
      Member& replica = mMembers[i];
      const Member& primary = mMembers[replica.mPrimary];
      const bool linked =
        replica.mRole == MemberRole::Replica && primary.mRole == MemberRole::Primary &&
        replica.mTerm == primary.mTerm && !mNodes[i].mPaused && !mNodes[i].mDead &&
        !mNodes[replica.mPrimary].mPaused && !mNodes[replica.mPrimary].mDead &&
        IsReachable(i, replica.mPrimary);
      if (!linked || Chance(mNetwork.mLossPercent)) {
        continue;
      }
      replica.mHeard = mNow;
      if (!replica.mLagging) {
        CopyLog(primary.mLog, replica.mLog);
      }
    }
  });
}
