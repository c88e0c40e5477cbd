#include "failover/failoversimulation.h"

#include <fmt/format.h>

#include <algorithm>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTickInterval = 50ms;
constexpr Duration kPollInterval = 250ms;

} // namespace

int
NumberInName(const std::string& aName)
{
  return std::stoi(aName.substr(1));
}

MemberId
MemberIdOf(int aMember)
{
  return MemberId(fmt::format("m{}", aMember));
}

FailoverSimulation::FailoverSimulation(int aMembers,
                                       std::uint64_t aSeed,
                                       const NetworkSettings& aNetwork)
  : mMembers(static_cast<std::size_t>(aMembers))
  , mHomes(mMembers.size())
  , mNodes(2 * mMembers.size())
  , mNetwork(aNetwork)
  , mRandom(aSeed)
{
  mMembers[0].mRole = MemberRole::Primary;
  mFirstPromotions[1] = { 0, mNow };
  for (int i = 0; i < aMembers; ++i) {
    mMembers[i].mLastPrimaryContactAt = mNow;
    mHomes[i].mView = { GroupId("g"), 1, MemberIdOf(0) };
    mHomes[i].mKeeper = std::make_unique<GroupKeeper>(GroupId("g"),
                                                      InstanceId(fmt::format("h{}", i)),
                                                      KeeperSettings{},
                                                      std::mt19937_64(aSeed * 31 + i));
    ScheduleTick(i);
    for (int member = 0; member < aMembers; ++member) {
      SchedulePoll(i, member);
    }
    ScheduleWrites(i);
  }
  ScheduleReplication();
}

void
FailoverSimulation::RunFor(Duration aTime)
{
  const TimePoint end = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().mTime <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mTime;
    event.mCall();
    if (std::exchange(mRolesChanged, false)) {
      CheckPrimaries(mAcknowledged);
    }
  }
  mNow = end;
}

void
FailoverSimulation::SetPaused(int aNode, bool aPaused)
{
  mNodes[aNode].mPaused = aPaused;
  while (!mNodes[aNode].mPaused && !mNodes[aNode].mDeferredCalls.empty()) {
    const auto kept = std::exchange(mNodes[aNode].mDeferredCalls, {});
    for (const auto& call : kept) {
      RunOnNode(aNode, call);
    }
  }
}

void
FailoverSimulation::SetLinkCut(int aNode, int aOther, bool aCut)
{
  const std::pair link = std::minmax(aNode, aOther);
  if (aCut) {
    mCutLinks.insert(link);
  } else {
    mCutLinks.erase(link);
  }
}

void
FailoverSimulation::Isolate(int aNode, bool aCut, const std::set<int>& aExcept)
{
  for (int other = 0; other < static_cast<int>(mNodes.size()); ++other) {
    if (other != aNode && !aExcept.contains(other)) {
      SetLinkCut(aNode, other, aCut);
    }
  }
}

std::uint64_t
FailoverSimulation::HighestTerm() const
{
  return std::max_element(mMembers.begin(),
                          mMembers.end(),
                          [](const Member& aLeft, const Member& aRight) {
                            return aLeft.mTerm < aRight.mTerm;
                          })
    ->mTerm;
}

void
FailoverSimulation::Schedule(Duration aAfter, std::function<void()> aCall)
{
  mEvents.push({ mNow + aAfter, ++mLastSequence, std::move(aCall) });
}

void
FailoverSimulation::RunOnNode(int aNode, const std::function<void()>& aCall)
{
  if (mNodes[aNode].mDead) {
    return;
  }
  if (mNodes[aNode].mPaused) {
    mNodes[aNode].mDeferredCalls.push_back(aCall);
    return;
  }
  aCall();
}

void
FailoverSimulation::ScheduleOnHome(int aHome,
                                   Duration aAfter,
                                   const std::function<void()>& aCall)
{
  const int node = HomeNode(aHome);
  Schedule(aAfter, [=, this, starts = mNodes[node].mStartCount] {
    RunOnNode(node, [=, this] {
      if (mNodes[node].mStartCount == starts) {
        aCall();
      }
    });
  });
}

bool
FailoverSimulation::IsReachable(int aNode, int aOther) const
{
  return !mCutLinks.contains(std::minmax(aNode, aOther));
}

Duration
FailoverSimulation::RandomDelay()
{
  return std::chrono::milliseconds(1 + mRandom() % mNetwork.mMaxDelayMs);
}

bool
FailoverSimulation::RandomChance(int aPercent)
{
  return static_cast<int>(mRandom() % 100) < aPercent;
}

MemberStatus
FailoverSimulation::StatusOf(int aMember) const
{
  const Member& member = mMembers[aMember];
  const bool follows = member.mRole == MemberRole::Replica;
  return { MemberIdOf(aMember),
           member.mTerm,
           member.mRole,
           member.mLog.empty() ? LogPosition{} : member.mLog.back().mPosition,
           follows ? MemberIdOf(member.mPrimary) : MemberId(),
           std::chrono::duration_cast<std::chrono::milliseconds>(
             mNow - member.mLastPrimaryContactAt),
           member.mLeaving,
           {} };
}

void
FailoverSimulation::SchedulePoll(int aHome, int aMember)
{
  Schedule(kPollInterval, [this, aHome, aMember] {
    RunOnNode(HomeNode(aHome),
              [=, this] { Send(aHome, SendStatus{ MemberIdOf(aMember) }); });
    SchedulePoll(aHome, aMember);
  });
}

void
FailoverSimulation::CarryOut(int aHome, const KeeperActions& aActions)
{
  for (const KeeperAction& action : aActions) {
    if (mBeforeAction) {
      mBeforeAction(aHome, action);
    }
    RunOnNode(HomeNode(aHome), [this, aHome, action] {
      std::visit([&](const auto& aAction) { Send(aHome, aAction); }, action);
    });
    if (mAfterAction) {
      mAfterAction(aHome, action);
    }
  }
}

void
FailoverSimulation::UpdateView(int aHome, const GroupView& aView)
{
  if (aView.mTerm > mHomes[aHome].mView.mTerm) {
    mHomes[aHome].mView = aView;
  }
}

int
FailoverSimulation::RankOf(int aHome) const
{
  // Membership removes a dead instance only after a delay.
  constexpr Duration kRemovalDelay = 4s;
  int rank = 0;
  for (int i = 0; i < aHome; ++i) {
    const Node& node = mNodes[HomeNode(i)];
    rank += node.mDead && mNow - node.mKilledAt > kRemovalDelay ? 0 : 1;
  }
  return rank;
}

void
FailoverSimulation::Kill(int aNode)
{
  mNodes[aNode].mDead = true;
  mNodes[aNode].mKilledAt = mNow;
}

void
FailoverSimulation::Restart(int aNode)
{
  mNodes[aNode] = { .mStartCount = mNodes[aNode].mStartCount + 1 };
  if (aNode >= MemberCount()) {
    StartHome(aNode - MemberCount());
    return;
  }
  mMembers[aNode].mRole = MemberRole::Fenced;
}

void
FailoverSimulation::StartHome(int aHome)
{
  mHomes[aHome] = {};
  mHomes[aHome].mView.mGroup = GroupId("g");
  mHomes[aHome].mKeeper =
    std::make_unique<GroupKeeper>(GroupId("g"),
                                  InstanceId(fmt::format("h{}", aHome)),
                                  KeeperSettings{},
                                  std::mt19937_64(mRandom()));
}

void
FailoverSimulation::ScheduleTick(int aHome)
{
  const auto tick = [this, aHome] {
    KeeperInput input{ {}, {}, mHomes[aHome].mView, RankOf(aHome), true };
    for (int i = 0; i < MemberCount(); ++i) {
      input.mMembers.push_back({ MemberIdOf(i), false });
      if (i != aHome) {
        input.mOtherHomes.push_back({ InstanceId(fmt::format("h{}", i)), false });
      }
    }
    CarryOut(aHome, mHomes[aHome].mKeeper->OnTick(input, mNow));
  };
  Schedule(kTickInterval, [=, this] {
    // A paused process misses its ticks.
    if (!mNodes[HomeNode(aHome)].mPaused) {
      RunOnNode(HomeNode(aHome), tick);
    }
    ScheduleTick(aHome);
  });
}

int
FailoverSimulation::MembersInTerm(std::uint64_t aTerm, bool aOrHigher) const
{
  return static_cast<int>(
    std::count_if(mMembers.begin(), mMembers.end(), [&](const Member& aMember) {
      return aMember.mTerm == aTerm || (aOrHigher && aMember.mTerm > aTerm);
    }));
}

void
FailoverSimulation::RecordViolation(const std::string& aText)
{
  if (mViolation.empty()) {
    mViolation = aText;
  }
}

void
FailoverSimulation::CheckPrimaries(const std::set<int>& aWrites)
{
  for (const Member& member : mMembers) {
    const bool isPrimary = member.mRole == MemberRole::Primary &&
                           2 * MembersInTerm(member.mTerm, false) > MemberCount();
    // Writes are numbered in the order in which they are appended, so logs are sorted.
    const auto hasWrite = [&](int aWrite) {
      return std::binary_search(member.mLog.begin(),
                                member.mLog.end(),
                                Entry{ {}, aWrite },
                                [](const Entry& aLeft, const Entry& aRight) {
                                  return aLeft.mWrite < aRight.mWrite;
                                });
    };
    if (isPrimary && !std::all_of(aWrites.begin(), aWrites.end(), hasWrite)) {
      RecordViolation(
        fmt::format("primary of term {} lacks an acknowledged write", member.mTerm));
    }
  }
}

void
FailoverSimulation::CheckAnnouncedView(int aHome, const GroupView& aView)
{
  if (mHomes[aHome].mKeeper->Summary().mTerm != aView.mTerm) {
    return;
  }
  const TimePoint oldestProof = mNow - FailoverSettings{}.mMaxProofAge;
  for (const auto& [term, promoted] : mFirstPromotions) {
    if (term > aView.mTerm && promoted.second < oldestProof) {
      RecordViolation(
        fmt::format("announced term {} is superseded by term {}", aView.mTerm, term));
    }
  }
}
