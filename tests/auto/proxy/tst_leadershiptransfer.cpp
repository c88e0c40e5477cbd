// Tests of the leadership transfer: the commands it sends, the replica it chooses, and
// when that replica may lead.

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
  request.mFollowers = { { "r1" }, { "r2" } };
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

/** @return reply of a follower that the transfer has paused */
MemberReply
Paused(std::uint64_t aReceived, MemberRole aRole = MemberRole::Replica)
{
  MemberReply reply = Status(aReceived, aRole);
  reply.mStatus->mPausedTerm = aRole == MemberRole::Replica ? 2 : 0;
  return reply;
}

/** A paused follower confirms its pause at the end of the leases. */
void
Report(LeadershipTransfer& aTransfer,
       std::string_view aMember,
       std::uint64_t aReceived,
       TimePoint aNow)
{
  REQUIRE(aTransfer.State() == Outcome::Pending);
  (void)aTransfer.OnReply(aMember, CommandKind::Status, Paused(aReceived), aNow);
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

TEST_CASE("a replica with all commits of a leader that steps down is chosen")
{
  LeadershipTransfer transfer(Request(true));
  const auto first = transfer.Start(kStart);
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].mMember == "p");
  REQUIRE(first[0].mCommand.mKind == CommandKind::Demote);
  const auto queries =
    transfer.OnReply("p", CommandKind::Demote, Status(100), kStart + 2ms);
  REQUIRE(CountOf(queries, CommandKind::Status) == 2);
  // Paused replicas could not receive the last commits.
  REQUIRE(CountOf(queries, CommandKind::Pause) == 0);
  (void)transfer.OnReply("r1", CommandKind::Status, Status(99), kStart + 4ms);
  REQUIRE(transfer.State() == Outcome::Pending);
  (void)transfer.OnReply("r2", CommandKind::Status, Status(100), kStart + 5ms);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r2");
}

TEST_CASE(
  "a replica that doesn't receive the last commits delays a transfer only briefly")
{
  LeadershipTransfer transfer(Request(true));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("p", CommandKind::Demote, Status(100), kStart);
  (void)transfer.OnReply("r1", CommandKind::Status, Status(99), kStart + 1ms);
  (void)transfer.OnTimer(kStart + kCatchUpTimeout - 1ms);
  REQUIRE(transfer.State() == Outcome::Pending);
  (void)transfer.OnTimer(kStart + kCatchUpTimeout);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r1");
}

TEST_CASE("without a reply of the old leader, all followers are paused for a whole lease")
{
  LeadershipTransfer transfer(Request(false));
  const auto commands = transfer.Start(kStart);
  REQUIRE(CountOf(commands, CommandKind::Pause) == 2);
  REQUIRE(CountOf(commands, CommandKind::Demote) == 1);
  (void)transfer.OnReply("r1", CommandKind::Pause, Paused(100), kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, Paused(90), kStart + 50ms);
  (void)transfer.OnTimer(kStart + 50ms + kLeaderLease);
  REQUIRE(transfer.State() == Outcome::Pending);
  (void)transfer.OnTimer(kStart + 51ms + kLeaderLease);
  Report(transfer, "r1", 100, kStart + 51ms + kLeaderLease);
  Report(transfer, "r2", 90, kStart + 51ms + kLeaderLease);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r1");
}

// A follower that can't be paused may renew leases of instances that can reach it.
TEST_CASE("a follower that can't be paused delays the promotion until its proofs expire")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("r1", CommandKind::Pause, Paused(100), kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, std::nullopt, kStart + 300ms);
  (void)transfer.OnTimer(kStart + kFollowerProofLimit);
  REQUIRE(transfer.State() == Outcome::Pending);
  const TimePoint end = kStart + kFollowerProofLimit + kStoreContactError + 1ms;
  (void)transfer.OnTimer(end);
  Report(transfer, "r1", 100, end);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r1");
}

// Guards against 8.5 s without a primary when the zone of a primary is cut off in which
// its draining predecessor also is.
TEST_CASE("a follower in the old leader's zone that can't be paused delays no promotion")
{
  TransferRequest request = Request(false);
  request.mFollowers[1].mRenewsLeases = false;
  LeadershipTransfer transfer(request);
  REQUIRE(CountOf(transfer.Start(kStart), CommandKind::Pause) == 2);
  (void)transfer.OnReply("r1", CommandKind::Pause, Paused(100), kStart);
  (void)transfer.OnTimer(kStart + kLeaderLease);
  REQUIRE(transfer.State() == Outcome::Pending);
  (void)transfer.OnTimer(kStart + kLeaderLease + 1ms);
  Report(transfer, "r1", 100, kStart + kLeaderLease + 1ms);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r1");
}

TEST_CASE("the pause command to a follower that did not answer is repeated")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("r2", CommandKind::Pause, std::nullopt, kStart + 300ms);
  const auto repeated = transfer.OnTimer(kStart + 300ms + kPauseRetryDelay);
  REQUIRE(CountOf(repeated, CommandKind::Pause) == 1);
  REQUIRE(repeated[0].mMember == "r2");
}

TEST_CASE("a late reply of the old leader that it has stepped down ends the wait")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("r1", CommandKind::Pause, Paused(100), kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, Paused(90), kStart + 2ms);
  (void)transfer.OnReply("p", CommandKind::Demote, Status(100), kStart + 30ms);
  REQUIRE(transfer.State() == Outcome::Ready);
}

TEST_CASE(
  "followers are paused if the old leader doesn't answer the command to step down")
{
  LeadershipTransfer transfer(Request(true));
  (void)transfer.Start(kStart);
  const auto commands =
    transfer.OnReply("p", CommandKind::Demote, std::nullopt, kStart + kDemoteTimeout);
  REQUIRE(CountOf(commands, CommandKind::Pause) == 2);
  REQUIRE(transfer.MayHaveDemoted());
}

// Guards against an old leader that has just become reachable again: as the chosen
// leader, it would answer with data from before its successor's term.
TEST_CASE("a member that still leads an older term is not promoted")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply(
    "r1", CommandKind::Pause, Paused(200, MemberRole::Primary), kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, Paused(90), kStart + 2ms);
  (void)transfer.OnTimer(kStart + kLeaderLease + 100ms);
  REQUIRE(transfer.State() == Outcome::Pending);
  const TimePoint end = kStart + kFollowerProofLimit + kStoreContactError + 1ms;
  (void)transfer.OnTimer(end);
  Report(transfer, "r2", 90, end);
  REQUIRE(transfer.Target() == "r2");
}

// Guards against a late call that replaces a member chosen after it.
TEST_CASE("the member that an unanswered call may promote is chosen again")
{
  TransferRequest request = Request(false);
  request.mPendingMember = "r2";
  LeadershipTransfer transfer(std::move(request));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("r1", CommandKind::Pause, Paused(100), kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, Paused(90), kStart + 2ms);
  (void)transfer.OnTimer(kStart + kLeaderLease + 3ms);
  Report(transfer, "r1", 100, kStart + kLeaderLease + 3ms);
  Report(transfer, "r2", 90, kStart + kLeaderLease + 3ms);
  REQUIRE(transfer.Target() == "r2");
}

TEST_CASE("a switchover that would not help doesn't demote the leader")
{
  struct Case
  {
    std::uint64_t mReceived;
    Duration mLag;
    Outcome mOutcome;
  };
  const Case cases[] = {
    { 100, 5s, Outcome::Pending },
    // The replica lacks commits of the healthy leader, which would be rolled back.
    { 99, 5s, Outcome::NotUseful },
    // The replica will catch up soon.
    { 100, 100ms, Outcome::NotUseful },
  };
  for (const Case& row : cases) {
    INFO(row.mReceived);
    TransferRequest request = Request(true);
    request.mIsSwitchover = true;
    request.mRequiredPosition = { 1, 100 };
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

// Guards against a pause with a term that isn't above the newest one, which the member
// answers and ignores.
TEST_CASE("a follower that has ignored the pause command is paused with a newer term")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  MemberReply ignored = Status(100);
  ignored.mStatus->mTerm = 7;
  (void)transfer.OnReply("r1", CommandKind::Pause, ignored, kStart + 2ms);
  (void)transfer.OnReply("r2", CommandKind::Pause, Paused(90), kStart + 2ms);
  const auto repeated = transfer.OnTimer(kStart + kLeaderLease + 100ms);
  REQUIRE(transfer.State() == Outcome::Pending);
  REQUIRE(CountOf(repeated, CommandKind::Pause) == 1);
  REQUIRE(repeated[0].mMember == "r1");
  REQUIRE(repeated[0].mCommand.mTerm == 8);
}

// Guards against a transfer that asks only members which are down, while the old leader
// is back with all commits.
TEST_CASE("a transfer without a candidate ends when the old leader is back")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  for (const char* member : { "r1", "r2" }) {
    (void)transfer.OnReply(member, CommandKind::Pause, std::nullopt, kStart + 300ms);
  }
  (void)transfer.OnReply("p", CommandKind::Demote, std::nullopt, kStart + 300ms);
  const auto commands = transfer.OnTimer(kStart + kUsualPauseTime);
  REQUIRE(CountOf(commands, CommandKind::Status) == 1);
  (void)transfer.OnReply("p", CommandKind::Status, std::nullopt, kStart + 1800ms);
  REQUIRE(transfer.State() == Outcome::Pending);
  REQUIRE(CountOf(transfer.OnTimer(kStart + 3s), CommandKind::Status) == 1);
  (void)transfer.OnReply(
    "p", CommandKind::Status, Status(100, MemberRole::Primary), kStart + 3002ms);
  REQUIRE(transfer.State() == Outcome::LeaderReturned);
  REQUIRE_FALSE(transfer.MayHaveDemoted());
}

TEST_CASE("a transfer asks a member that is listed after its start")
{
  LeadershipTransfer transfer(Request(false));
  (void)transfer.Start(kStart);
  const TransferFollower followers[] = { { "r1" }, { "r2" }, { "r3" } };
  transfer.SetFollowers(followers);
  const auto commands = transfer.OnTimer(kStart + 20ms);
  REQUIRE(CountOf(commands, CommandKind::Pause) == 1);
  REQUIRE(commands[0].mMember == "r3");
}

// Guards against a new leader that lacks commits which only a member that isn't listed,
// or doesn't answer, has received.
TEST_CASE("with synchronous replicas, a member without all commits is not promoted")
{
  const bool isReachable = GENERATE(true, false);
  TransferRequest request = Request(isReachable);
  request.mSynchronousReplicas = 1;
  // r1 has left the directory.
  request.mFollowers[0].mMayLead = false;
  request.mFollowers[0].mRenewsLeases = false;
  LeadershipTransfer transfer(request);
  (void)transfer.Start(kStart);
  const CommandKind kind = isReachable ? CommandKind::Status : CommandKind::Pause;
  if (isReachable) {
    (void)transfer.OnReply("p", CommandKind::Demote, Status(101), kStart);
  }
  (void)transfer.OnReply("r2", kind, Paused(90), kStart + 2ms);
  (void)transfer.OnTimer(kStart + kUsualPauseTime);
  REQUIRE(transfer.State() == Outcome::Pending);
  (void)transfer.OnReply("r1", kind, Paused(100), kStart + kUsualPauseTime);
  REQUIRE(transfer.State() == Outcome::Pending);
  if (!isReachable) {
    // Only reports that were requested after the end of the leases are final.
    (void)transfer.OnReply(
      "r2", CommandKind::Status, Paused(90), kStart + kUsualPauseTime);
    REQUIRE(transfer.State() == Outcome::Pending);
    (void)transfer.OnReply(
      "r1", CommandKind::Pause, Paused(100), kStart + kUsualPauseTime);
  }
  REQUIRE(transfer.State() == Outcome::Pending);
  const TransferFollower followers[] = { { "r1" }, { "r2" } };
  transfer.SetFollowers(followers);
  (void)transfer.OnTimer(kStart + kUsualPauseTime + 20ms);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r1");
}

namespace {

/** @return a transfer of a group with a synchronous replica whose followers were paused
 * at kStart, r1 at position 100 and r2 at 90, and whose old leader doesn't answer */
LeadershipTransfer
PausedTransfer()
{
  TransferRequest request = Request(false);
  request.mSynchronousReplicas = 1;
  LeadershipTransfer transfer(request);
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("p", CommandKind::Demote, std::nullopt, kStart);
  (void)transfer.OnReply("r1", CommandKind::Pause, Paused(100), kStart);
  (void)transfer.OnReply("r2", CommandKind::Pause, Paused(90), kStart);
  return transfer;
}

} // namespace

// Guards against a promotion that relies on reports from before a restart: the old leader
// may have had commits acknowledged through the follower since.
TEST_CASE("with synchronous replicas, only reports after the end of the leases count")
{
  LeadershipTransfer transfer = PausedTransfer();
  const TimePoint end = kStart + kLeaderLease + 1ms;
  const auto commands = transfer.OnTimer(end);
  REQUIRE(CountOf(commands, CommandKind::Status) == 2);
  REQUIRE(CountOf(commands, CommandKind::Pause) == 0);
  (void)transfer.OnReply("r1", CommandKind::Status, Paused(100), end);
  REQUIRE(transfer.State() == Outcome::Pending);
  // r2 has restarted, received more, and was paused again by an earlier command.
  (void)transfer.OnReply("r2", CommandKind::Status, Paused(120), end);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r2");
}

TEST_CASE("a follower that a restart has resumed is paused for another lease")
{
  LeadershipTransfer transfer = PausedTransfer();
  const TimePoint end = kStart + kLeaderLease + 1ms;
  (void)transfer.OnTimer(end);
  (void)transfer.OnReply("r1", CommandKind::Status, Paused(100), end);
  (void)transfer.OnReply("r2", CommandKind::Status, Status(110), end);
  REQUIRE(transfer.State() == Outcome::Pending);
  const TimePoint retry = end + kPauseRetryDelay;
  REQUIRE(CountOf(transfer.OnTimer(retry), CommandKind::Pause) == 1);
  (void)transfer.OnReply("r2", CommandKind::Pause, Paused(120), retry);
  (void)transfer.OnTimer(retry + kLeaderLease);
  REQUIRE(transfer.State() == Outcome::Pending);
  const TimePoint secondEnd = retry + kLeaderLease + 1ms;
  REQUIRE(CountOf(transfer.OnTimer(secondEnd), CommandKind::Status) == 2);
  (void)transfer.OnReply("r1", CommandKind::Status, Paused(100), secondEnd);
  (void)transfer.OnReply("r2", CommandKind::Status, Paused(120), secondEnd);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r2");
}

// Guards against a wait for leases that nobody can hold.
TEST_CASE("a late reply that the old leader has stepped down lets the followers report")
{
  TransferRequest request = Request(false);
  request.mSynchronousReplicas = 1;
  LeadershipTransfer transfer(request);
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("r1", CommandKind::Pause, Paused(100), kStart + 2ms);
  const auto commands =
    transfer.OnReply("p", CommandKind::Demote, Status(100), kStart + 5ms);
  REQUIRE(transfer.State() == Outcome::Pending);
  // A paused follower could not receive the last commits.
  REQUIRE(CountOf(commands, CommandKind::Resume) == 1);
  (void)transfer.OnReply("r1", CommandKind::Resume, Status(100), kStart + 7ms);
  REQUIRE(transfer.State() == Outcome::Ready);
  REQUIRE(transfer.Target() == "r1");
}

// Guards against a group without a primary: its old leader steps down, and the followers
// are still paused by an attempt that has failed.
TEST_CASE("followers that are still paused receive the last commits of the old leader")
{
  LeadershipTransfer transfer(Request(true));
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("p", CommandKind::Demote, Status(100), kStart);
  (void)transfer.OnReply("r1", CommandKind::Status, Paused(90), kStart + 1ms);
  const auto commands = transfer.OnTimer(kStart + 1ms + kCatchUpPollInterval);
  REQUIRE(CountOf(commands, CommandKind::Resume) == 1);
  (void)transfer.OnReply("r1", CommandKind::Resume, Status(100), kStart + 30ms);
  REQUIRE(transfer.State() == Outcome::Ready);
}

// Guards against a group that waits for a late call which the platform would refuse.
TEST_CASE("an unanswered call is not waited for where the platform checks tokens")
{
  const bool isFenced = GENERATE(true, false);
  TransferRequest request = Request(false);
  request.mSynchronousReplicas = 1;
  request.mPendingMember = "p";
  request.mIsPlatformEnforcing = isFenced;
  LeadershipTransfer transfer(request);
  (void)transfer.Start(kStart);
  (void)transfer.OnReply("r1", CommandKind::Pause, Paused(100), kStart);
  (void)transfer.OnReply("r2", CommandKind::Pause, Paused(90), kStart);
  const TimePoint end = kStart + kLeaderLease + 1ms;
  (void)transfer.OnTimer(end);
  (void)transfer.OnReply("r1", CommandKind::Status, Paused(100), end);
  (void)transfer.OnReply("r2", CommandKind::Status, Paused(90), end);
  REQUIRE((transfer.State() == Outcome::Ready) == isFenced);
}

// Guards against a group that stays without a leader, because one of the members whose
// reports are needed has left, although its crashed leader is back under another id.
TEST_CASE("a member that leads ends a transfer where the platform ends old leaderships")
{
  const bool isPlatformEnforcing = GENERATE(true, false);
  TransferRequest request = Request(false);
  request.mSynchronousReplicas = 1;
  request.mIsPlatformEnforcing = isPlatformEnforcing;
  LeadershipTransfer transfer(request);
  (void)transfer.Start(kStart);
  const TransferFollower followers[] = { { "r1" }, { "r2" }, { "p2" } };
  transfer.SetFollowers(followers);
  (void)transfer.OnTimer(kStart + 20ms);
  (void)transfer.OnReply(
    "p2", CommandKind::Pause, Status(100, MemberRole::Primary), kStart + 30ms);
  const auto expected = isPlatformEnforcing ? Outcome::LeaderReturned : Outcome::Pending;
  REQUIRE(transfer.State() == expected);
  REQUIRE(transfer.MayHaveDemoted() != isPlatformEnforcing);
}
