#include "failover/failoverworld.h"

#include <fmt/format.h>

#include <algorithm>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr Duration kCallTimeout = 300ms;

} // namespace

void
FailoverWorld::Call(int aHome,
                    int aMember,
                    const Handler& aHandler,
                    const Replied& aReplied)
{
  const TimePoint askedAt = mNow;
  const auto answered = std::make_shared<bool>(false);
  const auto fail = [this, aHome, aMember, answered](PollFailure aFailure) {
    if (!std::exchange(*answered, true)) {
      GroupKeeper& keeper = *mHomes[aHome].mKeeper;
      CarryOut(aHome, keeper.OnNoAnswer(MemberName(aMember), aFailure, mNow));
    }
  };
  const bool refused = mNodes[aMember].mDead && IsReachable(HomeNode(aHome), aMember);
  Return(aHome, refused ? Delay() : kCallTimeout, [refused, fail] {
    fail(refused ? PollFailure::Refused : PollFailure::Silent);
  });
  const auto replied = [answered, askedAt, aReplied](ControlReply aReply) {
    *answered = true;
    aReply.mStatus.mAskedAt = askedAt;
    aReplied(aReply);
  };
  Deliver(aHome, aMember, aHandler, replied);
  if (Chance(mNetwork.mDuplicatePercent)) {
    Deliver(aHome, aMember, aHandler, replied);
  }
}

void
FailoverWorld::Deliver(int aHome,
                       int aMember,
                       const Handler& aHandler,
                       const std::function<void(ControlReply)>& aReplied)
{
  if (!IsReachable(HomeNode(aHome), aMember) || Chance(mNetwork.mLossPercent)) {
    return;
  }
  const auto starts = mNodes[HomeNode(aHome)].mStarts;
  const auto answer = [=, this] {
    const std::pair before(mMembers[aMember].mTerm, mMembers[aMember].mRole);
    ControlReply reply = aHandler(mMembers[aMember], aMember);
    mChanged |= before != std::pair(mMembers[aMember].mTerm, mMembers[aMember].mRole);
    reply.mStatus = StatusOf(aMember);
    const bool arrives =
      IsReachable(HomeNode(aHome), aMember) && mNodes[HomeNode(aHome)].mStarts == starts;
    if (arrives && !Chance(mNetwork.mLossPercent)) {
      Return(aHome, Delay(), [=] { aReplied(reply); });
    }
  };
  At(Delay(), [this, aMember, answer] { OnNode(aMember, answer); });
}

void
FailoverWorld::Send(int aHome, const SendRaiseTerm& aAction)
{
  const Handler raise = [aAction](Member& aMember, int) {
    const bool again =
      aMember.mTerm == aAction.mTerm && aMember.mRaisedBy == aAction.mKeeper;
    if (aAction.mTerm > aMember.mTerm) {
      aMember.mTerm = aAction.mTerm;
      aMember.mRole = MemberRole::Fenced;
      aMember.mRaisedBy = aAction.mKeeper;
      return ControlReply{ aAction.mTerm, true, {} };
    }
    return ControlReply{ aAction.mTerm, again, {} };
  };
  Call(aHome, NumberOf(aAction.mMember.Text()), raise, [=, this](const auto& aReply) {
    CarryOut(aHome, mHomes[aHome].mKeeper->OnRaiseTermReply(aReply, mNow));
  });
}

void
FailoverWorld::Send(int aHome, const SendPromote& aAction)
{
  const Handler promote = [this, aAction](Member& aMember, int aNumber) {
    const bool ok = aMember.mTerm == aAction.mTerm &&
                    aMember.mRaisedBy == aAction.mKeeper &&
                    aMember.mRole != MemberRole::Replica;
    if (ok) {
      aMember.mRole = MemberRole::Primary;
      const auto first =
        mPromoted.try_emplace(aAction.mTerm, std::pair(aNumber, mNow)).first;
      if (first->second.first != aNumber) {
        Violate(fmt::format("two primaries in term {}", aAction.mTerm));
      }
    }
    return ControlReply{ aAction.mTerm, ok, {} };
  };
  Call(aHome, NumberOf(aAction.mMember.Text()), promote, [=, this](const auto& aReply) {
    CarryOut(aHome, mHomes[aHome].mKeeper->OnPromoteReply(aReply, mNow));
  });
}

void
FailoverWorld::Send(int aHome, const SendFollow& aAction)
{
  const Handler follow = [this, aAction](Member& aMember, int) {
    const bool leads =
      aMember.mTerm == aAction.mTerm && aMember.mRole == MemberRole::Primary;
    const bool ok = aAction.mTerm >= aMember.mTerm && !leads;
    if (ok) {
      aMember.mTerm = aAction.mTerm;
      aMember.mRole = MemberRole::Replica;
      aMember.mPrimary = NumberOf(aAction.mPrimary.Text());
      aMember.mHeard = mNow;
    }
    return ControlReply{ aAction.mTerm, ok, {} };
  };
  Call(aHome, NumberOf(aAction.mMember.Text()), follow, [=, this](const auto& aReply) {
    CarryOut(aHome, mHomes[aHome].mKeeper->OnFollowReply(aReply, mNow));
  });
}

void
FailoverWorld::Send(int aHome, const SendStatus& aAction)
{
  const Handler nothing = [](Member&, int) { return ControlReply{}; };
  Call(aHome, NumberOf(aAction.mMember.Text()), nothing, [=, this](const auto& aReply) {
    TakeReports(aHome, aReply.mStatus);
    CarryOut(aHome, mHomes[aHome].mKeeper->OnStatus(aReply.mStatus, mNow));
  });
}

void
FailoverWorld::Send(int aHome, const AskConfirmation& aAction)
{
  const int other = NumberOf(aAction.mHome.Text());
  if (!IsReachable(HomeNode(aHome), HomeNode(other)) || Chance(mNetwork.mLossPercent)) {
    return;
  }
  const MemberId suspect = mHomes[aHome].mView.mPrimary;
  const auto starts = mNodes[HomeNode(aHome)].mStarts;
  const auto ask = [=, this] {
    if (mNodes[HomeNode(aHome)].mStarts != starts) {
      return;
    }
    const ConfirmationReply reply = mHomes[other].mKeeper->Confirm(suspect, mNow);
    Return(aHome, Delay(), [=, this] {
      CarryOut(aHome, mHomes[aHome].mKeeper->OnConfirmation(reply, mNow));
    });
  };
  At(Delay(), [=, this] { OnNode(HomeNode(other), ask); });
}

void
FailoverWorld::Send(int aHome, const AnnounceView& aAction)
{
  CheckAnnounced(aHome, aAction.mView);
  OfferView(aHome, aAction.mView);
  for (int other = 0; other < MemberCount(); ++other) {
    if (other != aHome && IsReachable(HomeNode(aHome), HomeNode(other))) {
      At(Delay(), [=, this] {
        OnNode(HomeNode(other), [=, this] { OfferView(other, aAction.mView); });
      });
    }
  }
}

void
FailoverWorld::Send(int aHome, const ReadRecord& /*aAction*/)
{
  const bool down = mStore.mDown;
  Return(aHome, std::chrono::milliseconds(mStore.mDelayMs), [=, this] {
    GroupKeeper& keeper = *mHomes[aHome].mKeeper;
    if (down) {
      keeper.OnRecordFailure(mNow);
    } else {
      CarryOut(aHome, keeper.OnRecordRow(mStore.mRow, mNow));
    }
  });
}

void
FailoverWorld::Send(int aHome, const WriteRecord& aAction)
{
  const bool lost = mStore.mDown || mStore.mLoseAnswers > 0;
  const bool committed = !mStore.mDown && mStore.mRow.mVersion == aAction.mVersion;
  mStore.mLoseAnswers = std::max(0, mStore.mLoseAnswers - 1);
  if (committed && aAction.mView.mTerm <= mStore.mRow.mView.mTerm) {
    Violate("the recorded term does not rise");
  }
  if (committed) {
    mStore.mRow = { aAction.mView, mStore.mRow.mVersion + 1 };
  }
  const RecordedView row = mStore.mRow;
  Return(aHome, std::chrono::milliseconds(mStore.mDelayMs), [=, this] {
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
