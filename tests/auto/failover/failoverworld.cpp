#include "failover/failoverworld.h"

#include <fmt/format.h>

#include <algorithm>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTick = 50ms;
constexpr Duration kPoll = 250ms;
constexpr Duration kReplication = 20ms;

} // namespace

int
NumberOf(const std::string& aName)
{
  return std::stoi(aName.substr(1));
}

MemberId
MemberName(int aMember)
{
  return MemberId(fmt::format("m{}", aMember));
}

FailoverWorld::FailoverWorld(int aMembers,
                             std::uint64_t aSeed,
                             const NetworkSettings& aNetwork)
  : mMembers(static_cast<std::size_t>(aMembers))
  , mHomes(mMembers.size())
  , mNodes(2 * mMembers.size())
  , mRandom(aSeed)
  , mNetwork(aNetwork)
{
  mMembers[0].mRole = MemberRole::Primary;
  mPromoted[1] = { 0, mNow };
  for (int i = 0; i < aMembers; ++i) {
    mMembers[i].mHeard = mNow;
    mHomes[i].mView = { GroupId("g"), 1, MemberName(0) };
    mHomes[i].mKeeper = std::make_unique<GroupKeeper>(GroupId("g"),
                                                      InstanceId(fmt::format("h{}", i)),
                                                      KeeperSettings{},
                                                      std::mt19937_64(aSeed * 31 + i));
    TickHome(i);
    for (int member = 0; member < aMembers; ++member) {
      Poll(i, member);
    }
    WriteFrom(i);
  }
  Replicate();
}

void
FailoverWorld::RunFor(Duration aTime)
{
  const TimePoint end = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mCall();
    if (std::exchange(mChanged, false)) {
      CheckPrimaries();
    }
  }
  mNow = end;
}

void
FailoverWorld::SetPaused(int aNode, bool aPaused)
{
  mNodes[aNode].mPaused = aPaused;
  while (!mNodes[aNode].mPaused && !mNodes[aNode].mKept.empty()) {
    const auto kept = std::exchange(mNodes[aNode].mKept, {});
    for (const auto& call : kept) {
      OnNode(aNode, call);
    }
  }
}

void
FailoverWorld::SetCut(int aNode, int aOther, bool aCut)
{
  const std::pair link = std::minmax(aNode, aOther);
  if (aCut) {
    mCuts.insert(link);
  } else {
    mCuts.erase(link);
  }
}

void
FailoverWorld::Isolate(int aNode, bool aCut, const std::set<int>& aExcept)
{
  for (int other = 0; other < static_cast<int>(mNodes.size()); ++other) {
    if (other != aNode && !aExcept.contains(other)) {
      SetCut(aNode, other, aCut);
    }
  }
}

std::uint64_t
FailoverWorld::HighestTerm() const
{
  return std::max_element(mMembers.begin(),
                          mMembers.end(),
                          [](const Member& aLeft, const Member& aRight) {
                            return aLeft.mTerm < aRight.mTerm;
                          })
    ->mTerm;
}

void
FailoverWorld::At(Duration aAfter, std::function<void()> aCall)
{
  mEvents.push({ mNow + aAfter, ++mOrder, std::move(aCall) });
}

void
FailoverWorld::OnNode(int aNode, const std::function<void()>& aCall)
{
  if (mNodes[aNode].mDead) {
    return;
  }
  if (mNodes[aNode].mPaused) {
    mNodes[aNode].mKept.push_back(aCall);
    return;
  }
  aCall();
}

bool
FailoverWorld::IsReachable(int aNode, int aOther) const
{
  return !mCuts.contains(std::minmax(aNode, aOther));
}

Duration
FailoverWorld::Delay()
{
  return std::chrono::milliseconds(1 + mRandom() % mNetwork.mMostDelayMs);
}

bool
FailoverWorld::Chance(int aPercent)
{
  return static_cast<int>(mRandom() % 100) < aPercent;
}

MemberStatus
FailoverWorld::StatusOf(int aMember) const
{
  const Member& member = mMembers[aMember];
  const bool follows = member.mRole == MemberRole::Replica;
  return { MemberName(aMember),
           member.mTerm,
           member.mRole,
           member.mLog.empty() ? LogPosition{} : member.mLog.back().mPosition,
           follows ? MemberName(member.mPrimary) : MemberId(),
           std::chrono::duration_cast<std::chrono::milliseconds>(mNow - member.mHeard),
           {} };
}

void
FailoverWorld::Poll(int aHome, int aMember)
{
  At(kPoll, [this, aHome, aMember] {
    OnNode(HomeNode(aHome),
           [=, this] { Send(aHome, SendStatus{ MemberName(aMember) }); });
    Poll(aHome, aMember);
  });
}

void
FailoverWorld::TakeReports(int aHome, const MemberStatus& aStatus)
{
  Home& home = mHomes[aHome];
  std::erase_if(home.mPending, [&](Write& aWrite) {
    aWrite.mTracker.OnReport(
      { aStatus.mMember, aStatus.mTerm, aStatus.mLast, aStatus.mAskedAt });
    if (!aWrite.mTracker.IsAcknowledged()) {
      return false;
    }
    if (aWrite.mLate) {
      Violate(fmt::format("old primary acknowledges write {}", aWrite.mNumber));
    }
    mChanged = true;
    mAcknowledged.insert(aWrite.mNumber);
    mLastAcknowledgedSent = std::max(mLastAcknowledgedSent, aWrite.mAt);
    return true;
  });
}

void
FailoverWorld::CarryOut(int aHome, const KeeperActions& aActions)
{
  for (const KeeperAction& action : aActions) {
    if (mOnAction) {
      mOnAction(aHome, action);
    }
    OnNode(HomeNode(aHome), [this, aHome, action] {
      std::visit([&](const auto& aAction) { Send(aHome, aAction); }, action);
    });
  }
}

void
FailoverWorld::OfferView(int aHome, const GroupView& aView)
{
  if (aView.mTerm > mHomes[aHome].mView.mTerm) {
    mHomes[aHome].mView = aView;
  }
}

int
FailoverWorld::RankOf(int aHome) const
{
  // Membership takes a while to drop a dead instance.
  constexpr Duration kDropped = 4s;
  int rank = 0;
  for (int i = 0; i < aHome; ++i) {
    const Node& node = mNodes[HomeNode(i)];
    rank += node.mDead && mNow - node.mDeadSince > kDropped ? 0 : 1;
  }
  return rank;
}

void
FailoverWorld::Kill(int aNode)
{
  mNodes[aNode].mDead = true;
  mNodes[aNode].mDeadSince = mNow;
}

void
FailoverWorld::TickHome(int aHome)
{
  const auto tick = [this, aHome] {
    KeeperInput input{ {}, {}, mHomes[aHome].mView, RankOf(aHome), true };
    for (int i = 0; i < MemberCount(); ++i) {
      input.mMembers.push_back({ MemberName(i), false });
      if (i != aHome) {
        input.mOtherHomes.push_back({ InstanceId(fmt::format("h{}", i)), false });
      }
    }
    CarryOut(aHome, mHomes[aHome].mKeeper->OnTick(input, mNow));
  };
  At(kTick, [=, this] {
    // A paused process misses its ticks.
    if (!mNodes[HomeNode(aHome)].mPaused) {
      OnNode(HomeNode(aHome), tick);
    }
    TickHome(aHome);
  });
}

void
FailoverWorld::WriteFrom(int aHome)
{
  At(kTick + std::chrono::milliseconds(7 * aHome), [=, this] {
    WriteFrom(aHome);
    Home& home = mHomes[aHome];
    const int target = NumberOf(home.mView.mPrimary.Text());
    const Node& node = mNodes[HomeNode(aHome)];
    const bool sends = mWriting && !node.mPaused && !node.mDead;
    if (!sends || !IsReachable(HomeNode(aHome), target)) {
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
        replica.mLog = primary.mLog;
      }
    }
  });
}

int
FailoverWorld::MembersInTerm(std::uint64_t aTerm, bool aOrHigher) const
{
  return static_cast<int>(
    std::count_if(mMembers.begin(), mMembers.end(), [&](const Member& aMember) {
      return aMember.mTerm == aTerm || (aOrHigher && aMember.mTerm > aTerm);
    }));
}

void
FailoverWorld::Violate(const std::string& aText)
{
  if (mViolation.empty()) {
    mViolation = aText;
  }
}

void
FailoverWorld::CheckPrimaries()
{
  for (const Member& member : mMembers) {
    const bool leads = member.mRole == MemberRole::Primary &&
                       2 * MembersInTerm(member.mTerm, false) > MemberCount();
    if (!leads) {
      continue;
    }
    // A log holds writes in the order in which they were numbered.
    std::vector<int> held;
    std::transform(member.mLog.begin(),
                   member.mLog.end(),
                   std::back_inserter(held),
                   [](const Entry& aEntry) { return aEntry.mWrite; });
    if (!std::includes(
          held.begin(), held.end(), mAcknowledged.begin(), mAcknowledged.end())) {
      Violate(fmt::format("acknowledged write lost in term {}", member.mTerm));
    }
  }
}

void
FailoverWorld::CheckAnnounced(int aHome, const GroupView& aView)
{
  if (mHomes[aHome].mKeeper->Summary().mTerm != aView.mTerm) {
    return;
  }
  const TimePoint oldestProof = mNow - FailoverSettings{}.mVerifyFresh;
  for (const auto& [term, promoted] : mPromoted) {
    if (term > aView.mTerm && promoted.second < oldestProof) {
      Violate(fmt::format("term {} announced, superseded by term {}", aView.mTerm, term));
    }
  }
}
