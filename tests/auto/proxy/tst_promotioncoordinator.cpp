// Tests of the promotion coordinator under lost calls, network cuts and freezes.

#include "storesimulation.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

TEST_CASE("a primary that no instance reaches is replaced by the longest log within 2 s")
{
  StoreSimulation simulation(6);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(2s);
  REQUIRE(simulation.PromotedMembers() == std::vector<std::string>{ "r1" });
  REQUIRE(simulation.mPrimary == "r1");
}

TEST_CASE("a primary that most instances can reach is not replaced")
{
  StoreSimulation simulation(6);
  simulation.mInstances["instance-0"].mReachesPrimary = false;
  simulation.mInstances["instance-1"].mReachesPrimary = false;
  simulation.Run(6s);
  REQUIRE(simulation.PromotedMembers().empty());
}

TEST_CASE("a primary that most instances can't reach is replaced")
{
  StoreSimulation simulation(6);
  for (const char* name : { "instance-0", "instance-1", "instance-2", "instance-3" }) {
    simulation.mInstances[name].mReachesPrimary = false;
  }
  simulation.Run(4s);
  REQUIRE(simulation.PromotedMembers() == std::vector<std::string>{ "r1" });
}

// Guards against an instance that was cut off, and acts on members that it found down
// only because of that.
TEST_CASE("an instance that was cut off starts no promotion when it is reconnected")
{
  StoreSimulation simulation(6);
  auto& cut = simulation.mInstances["instance-2"];
  cut.mReachesStore = false;
  cut.mReachesPrimary = false;
  simulation.Run(6s);
  cut.mReachesStore = true;
  simulation.Run(150ms);
  cut.mReachesPrimary = true;
  simulation.Run(4s);
  REQUIRE(simulation.PromotedMembers().empty());
}

// Guards against instances of a zone that was cut off, which still consider a member the
// primary that was replaced in the meantime.
TEST_CASE("a suspicion of a primary that was already replaced is refuted")
{
  StoreSimulation simulation(6);
  simulation.mPrimary = "r1";
  simulation.mInstances["instance-0"].mOutdatedPrimary = "p";
  simulation.mInstances["instance-1"].mOutdatedPrimary = "p";
  simulation.Run(6s);
  REQUIRE(simulation.mAcceptedCalls.empty());
}

TEST_CASE("instances of the smaller side delay claims after a partition")
{
  StoreSimulation simulation(2);
  for (auto& [name, instance] : simulation.mInstances) {
    instance.mIsCutOff = true;
    instance.mReachesPrimary = false;
  }
  simulation.Run(6s);
  for (auto& [name, instance] : simulation.mInstances) {
    instance.mIsCutOff = false;
  }
  simulation.Run(900ms);
  REQUIRE(simulation.mAcceptedCalls.empty());
  simulation.Run(2s);
  REQUIRE(simulation.mAcceptedCalls.size() == 1);
}

TEST_CASE("a single instance replaces its primary after the time for refutations")
{
  StoreSimulation simulation(1);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(800ms);
  REQUIRE(simulation.PromotedMembers().empty());
  simulation.Run(2s);
  REQUIRE(simulation.PromotedMembers() == std::vector<std::string>{ "r1" });
}

TEST_CASE("a draining primary is replaced without a confirmed suspicion")
{
  StoreSimulation simulation(6);
  simulation.mIsPrimaryDraining = true;
  simulation.Run(500ms);
  REQUIRE(simulation.mAcceptedCalls.size() == 1);
}

TEST_CASE("no promotion starts while the store is unavailable and no tokens are reserved")
{
  StoreSimulation simulation(3);
  simulation.mIsPrimaryAlive = false;
  for (auto& [name, instance] : simulation.mInstances) {
    instance.mReachesStore = false;
  }
  simulation.Run(10s);
  REQUIRE(simulation.mAcceptedCalls.empty());
}

TEST_CASE("with synchronous replicas, all replicas have to be paused before a promotion")
{
  StoreSimulation simulation(3);
  simulation.mSynchronousReplicaCount = 1;
  simulation.mUnresponsiveReplicas = { "r1" };
  simulation.mIsPrimaryAlive = false;
  simulation.Run(6s);
  // The unresponsive replica may hold the only copy of an acknowledged commit.
  REQUIRE(simulation.mAcceptedCalls.empty());
  REQUIRE(simulation.mHasPausedReplicas);
  // If the replicas stayed paused, a healthy primary could not acknowledge any commits.
  simulation.mIsPrimaryAlive = true;
  simulation.Run(4s);
  REQUIRE(simulation.mPausedReplicas.empty());
  simulation.mIsPrimaryAlive = false;
  simulation.mUnresponsiveReplicas.clear();
  simulation.Run(6s);
  REQUIRE(simulation.PromotedMembers() == std::vector<std::string>{ "r1" });
}

// Guards against commits that the old primary acknowledges after its successor was
// chosen, through a replica that starts or restarts in the meantime.
TEST_CASE("with synchronous replicas, a draining primary steps down before the call")
{
  StoreSimulation simulation(3);
  simulation.mSynchronousReplicaCount = 1;
  simulation.mIsPrimaryDraining = true;
  simulation.Run(500ms);
  REQUIRE(simulation.PromotedMembers() == std::vector<std::string>{ "r1" });
  REQUIRE(simulation.mDemotedBeforeCall == std::vector<std::string>{ "p" });
}

// Guards against a release that leaves a group without a primary, because the report of
// each replica is awaited although the old primary can tell what it has acknowledged.
TEST_CASE("a draining primary is replaced while a replica doesn't answer")
{
  StoreSimulation simulation(3);
  simulation.mSynchronousReplicaCount = 1;
  simulation.mUnresponsiveReplicas = { "r2" };
  simulation.mIsPrimaryDraining = true;
  simulation.Run(1s);
  REQUIRE(simulation.PromotedMembers() == std::vector<std::string>{ "r1" });
}

TEST_CASE("a holder that resumes after a freeze doesn't use its outdated token")
{
  StoreSimulation simulation(3);
  simulation.mIsPrimaryAlive = false;
  while (simulation.mRows.count("leadership/group") == 0) {
    simulation.Run(10ms);
  }
  const auto first = DecodeLeadership(simulation.mRows["leadership/group"].mValue);
  REQUIRE(first);
  simulation.mInstances[first->mHolder].mIsFrozen = true;
  simulation.Run(6s);
  simulation.mInstances[first->mHolder].mIsFrozen = false;
  simulation.Run(3s);
  REQUIRE(simulation.mViolations.empty());
  REQUIRE_FALSE(simulation.mAcceptedCalls.empty());
}

// Guards against a primary that has to serve all reads because the replicas apply commits
// many seconds late. In one case this lasted for the rest of the day, and a third of the
// reads were refused.
TEST_CASE("one switchover replaces a primary that is overloaded by lagging replicas")
{
  StoreSimulation simulation(4);
  simulation.mIsOverloadedByLag = true;
  simulation.Run(600ms);
  REQUIRE(simulation.mAcceptedCalls.size() == 1);
  REQUIRE(simulation.mAcceptedCalls[0].mCall.mMember == "r1");
  // Commits that the old primary acknowledges from now on could be lost.
  REQUIRE(simulation.mDemotedMembers == std::vector<std::string>{ "p" });
  simulation.Run(1s);
  REQUIRE(simulation.mPrimary == "r1");
  simulation.mIsOverloadedByLag = true;
  simulation.Run(10s);
  REQUIRE(simulation.mAcceptedCalls.size() == 1);
}

TEST_CASE("no switchover promotes a replica that lacks commits of a healthy primary")
{
  StoreSimulation simulation(4);
  simulation.mIsOverloadedByLag = true;
  simulation.mPrimaryPosition = { 1, 101 };
  simulation.Run(10s);
  REQUIRE(simulation.mAcceptedCalls.empty());
  REQUIRE(simulation.mDemotedMembers.empty());
}

TEST_CASE("no switchover starts if a replica will catch up soon")
{
  StoreSimulation simulation(4);
  simulation.mIsOverloadedByLag = true;
  simulation.mReplicaLag = 900ms;
  simulation.Run(10s);
  REQUIRE(simulation.mAcceptedCalls.empty());
}

// Guards against a switchover that leaves the group without a primary.
TEST_CASE("the old primary is not demoted before the platform has accepted its successor")
{
  StoreSimulation simulation(4);
  simulation.mIsOverloadedByLag = true;
  simulation.mRefusesPromotion = true;
  simulation.Run(10s);
  REQUIRE(simulation.mDemotedMembers.empty());
}

TEST_CASE("a short overload doesn't cause a switchover")
{
  StoreSimulation simulation(4);
  for (int turn = 0; turn < 10; turn++) {
    simulation.mIsOverloadedByLag = true;
    simulation.Run(250ms);
    simulation.mIsOverloadedByLag = false;
    simulation.Run(250ms);
  }
  REQUIRE(simulation.mAcceptedCalls.empty());
}

// Guards against a group that has no primary until the store is available again.
TEST_CASE("a home with reserved tokens replaces a primary while the store is unavailable")
{
  StoreSimulation simulation(4);
  simulation.Run(6s);
  REQUIRE(simulation.mAcceptedCalls.empty());
  simulation.SetStoreAvailable(false);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(4s);
  REQUIRE(simulation.PromotedMembers() == std::vector<std::string>{ "r1" });
  // The remaining tokens of the claim suffice for the next primary as well.
  simulation.mIsPrimaryAlive = false;
  simulation.Run(6s);
  REQUIRE(simulation.mIsPrimaryAlive);
  REQUIRE(simulation.mViolations.empty());
  // Once the store is available again, claims take tokens above all reserved ones.
  const std::uint64_t used = simulation.mNewestToken;
  simulation.SetStoreAvailable(true);
  simulation.Run(1s);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(4s);
  REQUIRE(simulation.mIsPrimaryAlive);
  REQUIRE(simulation.mNewestToken > used);
  REQUIRE(simulation.mViolations.empty());
}

TEST_CASE(
  "a primary that is unreachable for 900 ms is not replaced during a store outage")
{
  StoreSimulation simulation(4);
  simulation.Run(6s);
  simulation.SetStoreAvailable(false);
  for (auto& [name, instance] : simulation.mInstances) {
    instance.mReachesPrimary = false;
  }
  simulation.Run(900ms);
  for (auto& [name, instance] : simulation.mInstances) {
    instance.mReachesPrimary = true;
  }
  simulation.Run(5s);
  REQUIRE(simulation.mAcceptedCalls.empty());
}

// Guards against a promotion on the smaller side of a partition, whose instances may
// still reach the platform.
TEST_CASE("an instance that is cut off from most zones starts no promotion")
{
  StoreSimulation simulation(3);
  simulation.Run(6s);
  for (auto& [name, instance] : simulation.mInstances) {
    instance.mIsCutOff = true;
  }
  simulation.mIsPrimaryAlive = false;
  simulation.Run(6s);
  REQUIRE(simulation.mAcceptedCalls.empty());
}

TEST_CASE("reserved tokens of an instance that has restarted are never used")
{
  StoreSimulation simulation(1);
  simulation.Run(6s);
  simulation.Restart("instance-0");
  simulation.SetStoreAvailable(false);
  simulation.mIsPrimaryAlive = false;
  simulation.Run(6s);
  REQUIRE(simulation.mAcceptedCalls.empty());
}

TEST_CASE("one home reserves tokens, and another home does so after that home is removed")
{
  StoreSimulation simulation(4);
  simulation.Run(8s);
  const auto first = DecodeLeadership(simulation.mRows["leadership/group"].mValue);
  REQUIRE(first);
  REQUIRE(first->mState == LeadershipState::Reserved);
  simulation.Run(20s);
  REQUIRE(DecodeLeadership(simulation.mRows["leadership/group"].mValue)->mToken ==
          first->mToken);
  simulation.mInstances.erase(first->mHolder);
  simulation.Run(8s);
  const auto next = DecodeLeadership(simulation.mRows["leadership/group"].mValue);
  REQUIRE(next->mHolder != first->mHolder);
  REQUIRE(next->mToken > first->mToken);
}

// Guards against reserved tokens whose holder is cut off together with the primary.
TEST_CASE("a home outside the primary's zone takes over the reservation")
{
  StoreSimulation simulation(4);
  simulation.Run(8s);
  const auto first = DecodeLeadership(simulation.mRows["leadership/group"].mValue);
  simulation.mInstancesInPrimaryZone = { first->mHolder };
  simulation.Run(8s);
  const auto next = DecodeLeadership(simulation.mRows["leadership/group"].mValue);
  REQUIRE(next->mHolder != first->mHolder);
}

// Guards against groups that can't replace their primary any more after an upgrade.
TEST_CASE("a leadership row of a version without reservations is decoded as a claim")
{
  const auto row = DecodeLeadership("7 holder member");
  REQUIRE(row);
  REQUIRE(row->mToken == 7);
  REQUIRE(row->mState == LeadershipState::Claimed);
}

TEST_CASE("encoded coordination rows can be decoded, and other text is rejected")
{
  const auto row = DecodeLeadership(
    Encode(LeadershipRow{ 7, "holder", "member", LeadershipState::Reserved, "leader" }));
  REQUIRE(row);
  REQUIRE(row->mToken == 7);
  REQUIRE(row->mState == LeadershipState::Reserved);
  REQUIRE(row->mMember == "member");
  REQUIRE(row->mLeader == "leader");
  const auto opinion = DecodeSuspicionReport(Encode(SuspicionReport{ "member", true }));
  REQUIRE(opinion);
  REQUIRE(opinion->mIsAlive);
  for (const char* text : { "", "x", "7", "7 a", "x a b", "7 a b c", "up member" }) {
    INFO(text);
    REQUIRE_FALSE(DecodeLeadership(text));
    REQUIRE_FALSE(DecodeSuspicionReport(text));
  }
}
