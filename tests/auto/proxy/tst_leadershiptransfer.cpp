// Ending an old lead: which replica leads next, when, and what is asked of whom.

#include "proxy/leadership/leadershiptransfer.h"
#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/promotiontimes.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
using Outcome = LeadershipTransfer::Outcome;

TransferRequest
Request(bool aIsReachable)
{
  TransferRequest request;
  request.mReplaced = "p";
  request.mIsReplacedReachable = aIsReachable;
  request.mFollowers = { "r1", "r2" };
  request.mCandidates = { "r1", "r2" };
  request.mNextTerm = 2;
  request.mClaimedAt = kStart;
  return request;
}

MemberReply
Status(std::uint64_t aReceived,
       MemberRole aRole = MemberRole::Replica,
       Duration aLag = 0ms)
{
  MemberReply reply;
  MemberStatus status;
  status.mRole = aRole;
  status.mTerm = 1;
  status.mReceived = { 1, aReceived };
  status.mLag = aLag;
  reply.mStatus = status;
  return reply;
}

std::size_t
CountOf(const std::vector<TransferCommand>& aCommands, CommandKind aKind)
{
  return static_cast<std::size_t>(
    std::count_if(aCommands.begin(), aCommands.end(), [&](const TransferCommand& aOne) {
      return aOne.mCommand.mKind == aKind;
    }));
}

} // namespace

TEST_CASE("a leader that steps down is followed by a replica that has all its commits")
{
  LeadershipTransfer transfer(Request(true));
  const auto first = transfer.Start(kStart);
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].mMember == "p");
  REQUIRE(first[0].mCommand.mKind == CommandKind::Demote);
  const auto asked =
    transfer.OnReply("p", CommandKind::Demote, Status(100), kStart + 2ms);
  REQUIRE(CountOf(asked, CommandKind::Status) == 2);
  // Pausing would keep the last commits out.
  REQUIRE(CountOf(asked, CommandKind::Pause) == 0);
  (void)transfer.OnReply("r1", CommandKind::Status, Status(99), kStart + 4ms);
  REQUIRE(transfer.State() == Outcome::Pending);
  (void)transfer.OnReply("r2", CommandKind::Status, Status(100), kStart + 5ms);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r2");
}

TEST_CASE(
  "a replica that never gets the last commits holds a release up for a short time")
{
  LeadershipTransfer transfer(Request(true));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("p", CommandKind::Demote, Status(100), kStart);
  (void)transfer.OnReply("r1", CommandKind::Status, Status(99), kStart + 1ms);
  (void)transfer.OnTimer(kStart + kCatchUpTime - 1ms);
  REQUIRE(transfer.State() == Outcome::Pending);
  (void)transfer.OnTimer(kStart + kCatchUpTime);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r1");
}

TEST_CASE(
  "without the old leader's word, all followers are paused for a whole permission")
{
  LeadershipTransfer transfer(Request(false));
  const auto commands = transfer.Start(kStart);
  REQUIRE(CountOf(commands, CommandKind::Pause) == 2);
  REQUIRE(CountOf(commands, CommandKind::Demote) == 1);
  (void)transfer.OnReply("r1", CommandKind::Pause, Status(100), kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, Status(90), kStart + 50ms);
  (void)transfer.OnTimer(kStart + 50ms + kLeaderLease);
  REQUIRE(transfer.State() == Outcome::Pending);
  (void)transfer.OnTimer(kStart + 51ms + kLeaderLease);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r1");
}

// A follower that can't be paused may renew permissions of instances that it reaches.
TEST_CASE("a follower that can't be paused holds the promotion up until its word is void")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("r1", CommandKind::Pause, Status(100), kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, std::nullopt, kStart + 300ms);
  (void)transfer.OnTimer(kStart + kFollowerLimit);
  REQUIRE(transfer.State() == Outcome::Pending);
  (void)transfer.OnTimer(kStart + kFollowerLimit + kContactError + 1ms);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r1");
}

TEST_CASE("a follower that did not answer is paused again")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("r2", CommandKind::Pause, std::nullopt, kStart + 300ms);
  const auto again = transfer.OnTimer(kStart + 300ms + kHoldRetry);
  REQUIRE(CountOf(again, CommandKind::Pause) == 1);
  REQUIRE(again[0].mMember == "r2");
}

TEST_CASE("the old leader's late word ends the wait")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("r1", CommandKind::Pause, Status(100), kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, Status(90), kStart + 2ms);
  (void)transfer.OnReply("p", CommandKind::Demote, Status(100), kStart + 30ms);
  REQUIRE(transfer.State() == Outcome::Ready);
}

TEST_CASE(
  "a leader that doesn't answer the order to step down is waited for like a lost one")
{
  LeadershipTransfer transfer(Request(true));
  (void)transfer.Start(kStart);
  const auto commands =
    transfer.OnReply("p", CommandKind::Demote, std::nullopt, kStart + kDemoteTimeout);
  REQUIRE(CountOf(commands, CommandKind::Pause) == 2);
  REQUIRE(transfer.MayHaveDemoted());
}

// Guards against an old leader that was just reached again: permitted, it would answer
// with what it had before its successor led.
TEST_CASE("a member that still leads an older term is not promoted")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply(
    "r1", CommandKind::Pause, Status(200, MemberRole::Primary), kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, Status(90), kStart + 2ms);
  (void)transfer.OnTimer(kStart + kLeaderLease + 100ms);
  REQUIRE(transfer.State() == Outcome::Pending);
  (void)transfer.OnTimer(kStart + kFollowerLimit + kContactError + 1ms);
  REQUIRE(transfer.Target() == "r2");
}

// Guards against a late call that takes the lead from the member that was chosen instead.
TEST_CASE("the member of an unanswered call is chosen again")
{
  TransferRequest request = Request(false);
  request.mPending = "r2";
  LeadershipTransfer transfer(std::move(request));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("r1", CommandKind::Pause, Status(100), kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, Status(90), kStart + 2ms);
  (void)transfer.OnTimer(kStart + kLeaderLease + 3ms);
  REQUIRE(transfer.Target() == "r2");
}

TEST_CASE("a switchover that helps nobody leaves the leader alone")
{
  struct Case
  {
    std::uint64_t mReceived;
    Duration mLag;
    Outcome mOutcome;
  };
  const Case cases[] = {
    { 100, 5s, Outcome::Pending },
    // It would roll commits of the living leader back.
    { 99, 5s, Outcome::Useless },
    // It is fresh soon.
    { 100, 100ms, Outcome::Useless },
  };
  for (const Case& row : cases) {
    INFO(row.mReceived);
    TransferRequest request = Request(true);
    request.mIsSwitchover = true;
    request.mMustHave = { 1, 100 };
    LeadershipTransfer transfer(std::move(request));
    REQUIRE(CountOf(transfer.Start(kStart), CommandKind::Demote) == 0);
    const auto reply = Status(row.mReceived, MemberRole::Replica, row.mLag);
    (void)transfer.OnReply("r1", CommandKind::Status, reply, kStart + 2ms);
    const auto next = transfer.OnReply("r2", CommandKind::Status, reply, kStart + 2ms);
    REQUIRE(transfer.State() == row.mOutcome);
    REQUIRE(CountOf(next, CommandKind::Demote) ==
            (row.mOutcome == Outcome::Pending ? 1 : 0));
  }
}

TEST_CASE("a transfer that ends without a promotion lets paused followers receive again")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  REQUIRE(CountOf(transfer.Undo(), CommandKind::Resume) == 2);
  REQUIRE(transfer.Undo().empty());
}
