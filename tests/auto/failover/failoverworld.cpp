#include "failover/failoverworld.h"

#include <fmt/format.h>

#include <algorithm>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTick = 50ms;
constexpr Duration kPoll = 250ms;

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
  , mNetwork(aNetwork)
  , mRandom(aSeed)
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
      CheckPrimaries(mAcknowledged);
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

void
FailoverWorld::Return(int aHome, Duration aAfter, const std::function<void()>& aCall)
{
  const int node = HomeNode(aHome);
  At(aAfter, [=, this, starts = mNodes[node].mStarts] {
    OnNode(node, [=, this] {
      if (mNodes[node].mStarts == starts) {
        aCall();
      }
    });
  });
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
           member.mLeaving,
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
FailoverWorld::CarryOut(int aHome, const KeeperActions& aActions)
{
  for (const KeeperAction& action : aActions) {
    if (mOnAction) {
      mOnAction(aHome, action);
    }
    OnNode(HomeNode(aHome), [this, aHome, action] {
      std::visit([&](const auto& aAction) { Send(aHome, aAction); }, action);
    });
    if (mAfterAction) {
      mAfterAction(aHome, action);
    }
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
FailoverWorld::Restart(int aNode)
{
  mNodes[aNode] = { .mStarts = mNodes[aNode].mStarts + 1 };
  if (aNode >= MemberCount()) {
    StartHome(aNode - MemberCount());
    return;
  }
  mMembers[aNode].mRole = MemberRole::Fenced;
}

void
FailoverWorld::StartHome(int aHome)
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
FailoverWorld::CheckPrimaries(const std::set<int>& aWrites)
{
  for (const Member& member : mMembers) {
    const bool leads = member.mRole == MemberRole::Primary &&
                       2 * MembersInTerm(member.mTerm, false) > MemberCount();
    // A log holds writes in the order in which they were numbered.
    const auto holds = [&](int aWrite) {
      return std::binary_search(member.mLog.begin(),
                                member.mLog.end(),
                                Entry{ {}, aWrite },
                                [](const Entry& aLeft, const Entry& aRight) {
                                  return aLeft.mWrite < aRight.mWrite;
                                });
    };
    if (leads && !std::all_of(aWrites.begin(), aWrites.end(), holds)) {
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
