#include "failover/failoversimulation.h"

#include <fmt/format.h>

#include <algorithm>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr Duration kCallTimeout = 300ms;

} // namespace

void
FailoverSimulation::CallMember(int aHome,
                               int aMember,
                               const RequestHandler& aHandler,
                               const ReplyCallback& aOnReply)
{
  const TimePoint requestedAt = mNow;
  const auto answered = std::make_shared<bool>(false);
  const auto fail = [this, aHome, aMember, answered](PollFailure aFailure) {
    if (!std::exchange(*answered, true)) {
      GroupKeeper& keeper = *mHomes[aHome].mKeeper;
      CarryOut(aHome, keeper.OnNoAnswer(MemberIdOf(aMember), aFailure, mNow));
    }
  };
  const bool refused = mNodes[aMember].mDead && IsReachable(HomeNode(aHome), aMember);
  ScheduleOnHome(aHome, refused ? RandomDelay() : kCallTimeout, [refused, fail] {
    fail(refused ? PollFailure::Refused : PollFailure::Unresponsive);
  });
  const auto onReply = [answered, requestedAt, aOnReply](ControlReply aReply) {
    *answered = true;
    aReply.mStatus.mRequestedAt = requestedAt;
    aOnReply(aReply);
  };
  DeliverRequest(aHome, aMember, aHandler, onReply);
  if (RandomChance(mNetwork.mDuplicatePercent)) {
    DeliverRequest(aHome, aMember, aHandler, onReply);
  }
}

void
FailoverSimulation::DeliverRequest(int aHome,
                                   int aMember,
                                   const RequestHandler& aHandler,
                                   const std::function<void(ControlReply)>& aOnReply)
{
  if (!IsReachable(HomeNode(aHome), aMember) || RandomChance(mNetwork.mLossPercent)) {
    return;
  }
  const auto starts = mNodes[HomeNode(aHome)].mStartCount;
  const auto answer = [=, this] {
    const std::pair before(mMembers[aMember].mTerm, mMembers[aMember].mRole);
    ControlReply reply = aHandler(mMembers[aMember], aMember);
    mRolesChanged |=
      before != std::pair(mMembers[aMember].mTerm, mMembers[aMember].mRole);
    reply.mStatus = StatusOf(aMember);
    const bool arrives = IsReachable(HomeNode(aHome), aMember) &&
                         mNodes[HomeNode(aHome)].mStartCount == starts;
    if (arrives && !RandomChance(mNetwork.mLossPercent)) {
      ScheduleOnHome(aHome, RandomDelay(), [=] { aOnReply(reply); });
    }
  };
  Schedule(RandomDelay(), [this, aMember, answer] { RunOnNode(aMember, answer); });
}

void
FailoverSimulation::Send(int aHome, const SendRaiseTerm& aAction)
{
  const RequestHandler raise = [aAction](Member& aMember, int) {
    const bool isRepeated =
      aMember.mTerm == aAction.mTerm && aMember.mRaisedBy == aAction.mKeeper;
    if (aAction.mTerm > aMember.mTerm) {
      aMember.mTerm = aAction.mTerm;
      aMember.mRole = MemberRole::Fenced;
      aMember.mRaisedBy = aAction.mKeeper;
      return ControlReply{ aAction.mTerm, true, {} };
    }
    return ControlReply{ aAction.mTerm, isRepeated, {} };
  };
  CallMember(
    aHome, NumberInName(aAction.mMember.Text()), raise, [=, this](const auto& aReply) {
      CarryOut(aHome, mHomes[aHome].mKeeper->OnRaiseTermReply(aReply, mNow));
    });
}

void
FailoverSimulation::Send(int aHome, const SendPromote& aAction)
{
  const RequestHandler promote = [this, aAction](Member& aMember, int aNumber) {
    const bool ok = aMember.mTerm == aAction.mTerm &&
                    aMember.mRaisedBy == aAction.mKeeper &&
                    aMember.mRole != MemberRole::Replica;
    if (ok) {
      aMember.mRole = MemberRole::Primary;
      const auto first =
        mFirstPromotions.try_emplace(aAction.mTerm, std::pair(aNumber, mNow)).first;
      if (first->second.first != aNumber) {
        RecordViolation(
          fmt::format("two members were promoted in term {}", aAction.mTerm));
      }
    }
    return ControlReply{ aAction.mTerm, ok, {} };
  };
  CallMember(
    aHome, NumberInName(aAction.mMember.Text()), promote, [=, this](const auto& aReply) {
      CarryOut(aHome, mHomes[aHome].mKeeper->OnPromoteReply(aReply, mNow));
    });
}

void
FailoverSimulation::Send(int aHome, const SendFollow& aAction)
{
  const RequestHandler follow = [this, aAction](Member& aMember, int) {
    const bool isPrimary =
      aMember.mTerm == aAction.mTerm && aMember.mRole == MemberRole::Primary;
    const bool ok = aAction.mTerm >= aMember.mTerm && !isPrimary;
    if (ok) {
      aMember.mTerm = aAction.mTerm;
      aMember.mRole = MemberRole::Replica;
      aMember.mPrimary = NumberInName(aAction.mPrimary.Text());
      aMember.mLastPrimaryContactAt = mNow;
    }
    return ControlReply{ aAction.mTerm, ok, {} };
  };
  CallMember(
    aHome, NumberInName(aAction.mMember.Text()), follow, [=, this](const auto& aReply) {
      CarryOut(aHome, mHomes[aHome].mKeeper->OnFollowReply(aReply, mNow));
    });
}

void
FailoverSimulation::Send(int aHome, const SendStatus& aAction)
{
  const RequestHandler noChange = [](Member&, int) { return ControlReply{}; };
  CallMember(
    aHome, NumberInName(aAction.mMember.Text()), noChange, [=, this](const auto& aReply) {
      HandleReport(aHome, aReply.mStatus);
      CarryOut(aHome, mHomes[aHome].mKeeper->OnStatus(aReply.mStatus, mNow));
    });
}

void
FailoverSimulation::Send(int aHome, const RequestConfirmation& aAction)
{
  const int other = NumberInName(aAction.mHome.Text());
  if (!IsReachable(HomeNode(aHome), HomeNode(other)) ||
      RandomChance(mNetwork.mLossPercent)) {
    return;
  }
  const MemberId suspect = mHomes[aHome].mView.mPrimary;
  const auto starts = mNodes[HomeNode(aHome)].mStartCount;
  const auto handleRequest = [=, this] {
    if (mNodes[HomeNode(aHome)].mStartCount != starts) {
      return;
    }
    const ConfirmationReply reply =
      mHomes[other].mKeeper->AnswerConfirmation(suspect, mNow);
    ScheduleOnHome(aHome, RandomDelay(), [=, this] {
      CarryOut(aHome, mHomes[aHome].mKeeper->OnConfirmation(reply, mNow));
    });
  };
  Schedule(RandomDelay(), [=, this] { RunOnNode(HomeNode(other), handleRequest); });
}

void
FailoverSimulation::Send(int aHome, const AnnounceView& aAction)
{
  CheckAnnouncedView(aHome, aAction.mView);
  UpdateView(aHome, aAction.mView);
  for (int other = 0; other < MemberCount(); ++other) {
    if (other != aHome && IsReachable(HomeNode(aHome), HomeNode(other))) {
      Schedule(RandomDelay(), [=, this] {
        RunOnNode(HomeNode(other), [=, this] { UpdateView(other, aAction.mView); });
      });
    }
  }
}

void
FailoverSimulation::Send(int aHome, const ReadRecord& /*aAction*/)
{
  const bool down = mStore.mDown;
  ScheduleOnHome(aHome, std::chrono::milliseconds(mStore.mDelayMs), [=, this] {
    GroupKeeper& keeper = *mHomes[aHome].mKeeper;
    if (down) {
      keeper.OnRecordFailure(mNow);
    } else {
      CarryOut(aHome, keeper.OnRecordRow(mStore.mRow, mNow));
    }
  });
}

void
FailoverSimulation::Send(int aHome, const WriteRecord& aAction)
{
  const bool lost = mStore.mDown || mStore.mAnswersToLose > 0;
  const bool committed = !mStore.mDown && mStore.mRow.mVersion == aAction.mVersion;
  mStore.mAnswersToLose = std::max(0, mStore.mAnswersToLose - 1);
  if (committed && aAction.mView.mTerm <= mStore.mRow.mView.mTerm) {
    RecordViolation("the recorded term did not rise");
  }
  if (committed) {
    mStore.mRow = { aAction.mView, mStore.mRow.mVersion + 1 };
  }
  const RecordedView row = mStore.mRow;
  ScheduleOnHome(aHome, std::chrono::milliseconds(mStore.mDelayMs), [=, this] {
    GroupKeeper& keeper = *mHomes[aHome].mKeeper;
    if (lost) {
      keeper.OnRecordFailure(mNow);
    } else if (committed) {
      keeper.OnRecordCommitted(mNow);
    } else {
      CarryOut(aHome, keeper.OnRecordRow(row, mNow));
    }
  });
}
