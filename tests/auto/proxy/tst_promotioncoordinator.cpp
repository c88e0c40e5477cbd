// Promotion under lost calls, cuts and freezes.

#include "storeworld.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

TEST_CASE("a primary that every instance has lost is replaced by the longest log in 2 s")
{
  StoreWorld world(6);
  world.mPrimaryLives = false;
  world.Run(2s);
  REQUIRE(world.Promoted() == std::vector<std::string>{ "r1" });
  REQUIRE(world.mPrimary == "r1");
}

TEST_CASE("a primary that most instances reach stays")
{
  StoreWorld world(6);
  world.mInstances["instance-0"].mReachesPrimary = false;
  world.mInstances["instance-1"].mReachesPrimary = false;
  world.Run(6s);
  REQUIRE(world.Promoted().empty());
}

TEST_CASE("a primary that most instances have lost is replaced although others reach it")
{
  StoreWorld world(6);
  for (const char* name : { "instance-0", "instance-1", "instance-2", "instance-3" }) {
    world.mInstances[name].mReachesPrimary = false;
  }
  world.Run(4s);
  REQUIRE(world.Promoted() == std::vector<std::string>{ "r1" });
}

// A cut instance finds every member down; after the cut its old reasons must not count.
TEST_CASE("an instance that was cut off promotes nobody when it is back")
{
  StoreWorld world(6);
  auto& cut = world.mInstances["instance-2"];
  cut.mHasStore = false;
  cut.mReachesPrimary = false;
  world.Run(6s);
  cut.mHasStore = true;
  world.Run(150ms);
  cut.mReachesPrimary = true;
  world.Run(4s);
  REQUIRE(world.Promoted().empty());
}

// Guards against instances of a zone that was cut off: they still take the member for the
// primary that was replaced meanwhile.
TEST_CASE("a doubt about a primary that was replaced already is objected to")
{
  StoreWorld world(6);
  world.mPrimary = "r1";
  world.mInstances["instance-0"].mOutdatedPrimary = "p";
  world.mInstances["instance-1"].mOutdatedPrimary = "p";
  world.Run(6s);
  REQUIRE(world.mAccepted.empty());
}

TEST_CASE("after a partition the smaller side waits before it claims anything")
{
  StoreWorld world(2);
  for (auto& [name, instance] : world.mInstances) {
    instance.mIsCutOff = true;
    instance.mReachesPrimary = false;
  }
  world.Run(6s);
  for (auto& [name, instance] : world.mInstances) {
    instance.mIsCutOff = false;
  }
  world.Run(900ms);
  REQUIRE(world.mAccepted.empty());
  world.Run(2s);
  REQUIRE(world.mAccepted.size() == 1);
}

TEST_CASE("a lonely instance replaces its primary after the time for objections")
{
  StoreWorld world(1);
  world.mPrimaryLives = false;
  world.Run(800ms);
  REQUIRE(world.Promoted().empty());
  world.Run(2s);
  REQUIRE(world.Promoted() == std::vector<std::string>{ "r1" });
}

TEST_CASE("a leaving primary is replaced without doubts")
{
  StoreWorld world(6);
  world.mPrimaryDrains = true;
  world.Run(500ms);
  REQUIRE(world.mAccepted.size() == 1);
}

TEST_CASE("without the store nobody promotes")
{
  StoreWorld world(3);
  world.mPrimaryLives = false;
  for (auto& [name, instance] : world.mInstances) {
    instance.mHasStore = false;
  }
  world.Run(10s);
  REQUIRE(world.mAccepted.empty());
}

TEST_CASE("with synchronous replicas all of them are paused before one is chosen")
{
  StoreWorld world(3);
  world.mSynchronous = 1;
  world.mSilentReplicas = { "r1" };
  world.mPrimaryLives = false;
  world.Run(6s);
  // The silent one may hold the only copy of an acknowledged commit.
  REQUIRE(world.mAccepted.empty());
  REQUIRE(world.mWasPaused);
  // A replica that stays paused would keep a living primary from acknowledging anything.
  world.mPrimaryLives = true;
  world.Run(4s);
  REQUIRE(world.mPaused.empty());
  world.mPrimaryLives = false;
  world.mSilentReplicas.clear();
  world.Run(6s);
  REQUIRE(world.Promoted() == std::vector<std::string>{ "r1" });
}

TEST_CASE("a frozen holder that wakes gives way to the newer token")
{
  StoreWorld world(3);
  world.mPrimaryLives = false;
  while (world.mRows.count("leadership/group") == 0) {
    world.Run(10ms);
  }
  const auto first = DecodeLeadership(world.mRows["leadership/group"].mValue);
  REQUIRE(first);
  world.mInstances[first->mHolder].mIsFrozen = true;
  world.Run(6s);
  world.mInstances[first->mHolder].mIsFrozen = false;
  world.Run(3s);
  REQUIRE(world.mViolations.empty());
  REQUIRE_FALSE(world.mAccepted.empty());
}

// Pattern: all replicas of a group apply commits many seconds late. Its reads were the
// primary's for the rest of the day, and a third of them was refused.
TEST_CASE("a primary that lagging replicas leave all reads hands the lead over once")
{
  StoreWorld world(4);
  world.mIsOverloadedByLag = true;
  world.Run(600ms);
  REQUIRE(world.mAccepted.size() == 1);
  REQUIRE(world.mAccepted[0].mCall.mMember == "r1");
  // What the old primary acknowledges after that might not be received.
  REQUIRE(world.mDemoted == std::vector<std::string>{ "p" });
  world.Run(1s);
  REQUIRE(world.mPrimary == "r1");
  world.mIsOverloadedByLag = true;
  world.Run(10s);
  REQUIRE(world.mAccepted.size() == 1);
}

TEST_CASE("no lead is handed over to a replica that lacks commits of a living primary")
{
  StoreWorld world(4);
  world.mIsOverloadedByLag = true;
  world.mPrimaryPosition = { 1, 101 };
  world.Run(10s);
  REQUIRE(world.mAccepted.empty());
  REQUIRE(world.mDemoted.empty());
}

TEST_CASE("no lead is handed over where a replica is fresh soon")
{
  StoreWorld world(4);
  world.mIsOverloadedByLag = true;
  world.mReplicaLag = 900ms;
  world.Run(10s);
  REQUIRE(world.mAccepted.empty());
}

// Guards against a group that is left without a primary by its own switchover.
TEST_CASE("the old primary is not demoted before the platform has accepted its successor")
{
  StoreWorld world(4);
  world.mIsOverloadedByLag = true;
  world.mRefusesPromotion = true;
  world.Run(10s);
  REQUIRE(world.mDemoted.empty());
}

TEST_CASE("a short overload is no reason for a switchover")
{
  StoreWorld world(4);
  for (int turn = 0; turn < 10; turn++) {
    world.mIsOverloadedByLag = true;
    world.Run(250ms);
    world.mIsOverloadedByLag = false;
    world.Run(250ms);
  }
  REQUIRE(world.mAccepted.empty());
}

// Guards against a group that has no primary for as long as the store is away.
TEST_CASE("a home with reserved tokens replaces a primary while the store is away")
{
  StoreWorld world(4);
  world.Run(6s);
  REQUIRE(world.mAccepted.empty());
  world.SetStore(false);
  world.mPrimaryLives = false;
  world.Run(4s);
  REQUIRE(world.Promoted() == std::vector<std::string>{ "r1" });
  // The next one, too; then the reserve of one claim is used up at some time.
  world.mPrimaryLives = false;
  world.Run(6s);
  REQUIRE(world.mPrimaryLives);
  REQUIRE(world.mViolations.empty());
  // Back at the store, others take tokens above all reserved ones.
  const std::uint64_t used = world.mSeenToken;
  world.SetStore(true);
  world.Run(1s);
  world.mPrimaryLives = false;
  world.Run(4s);
  REQUIRE(world.mPrimaryLives);
  REQUIRE(world.mSeenToken > used);
  REQUIRE(world.mViolations.empty());
}

TEST_CASE("a primary that is only slow to answer some stays while the store is away")
{
  StoreWorld world(4);
  world.Run(6s);
  world.SetStore(false);
  for (auto& [name, instance] : world.mInstances) {
    instance.mReachesPrimary = false;
  }
  world.Run(900ms);
  for (auto& [name, instance] : world.mInstances) {
    instance.mReachesPrimary = true;
  }
  world.Run(5s);
  REQUIRE(world.mAccepted.empty());
}

// Guards against a primary that moves to the smaller side of a partition, which may reach
// the platform.
TEST_CASE("an instance that is cut off from most zones promotes nobody")
{
  StoreWorld world(3);
  world.Run(6s);
  for (auto& [name, instance] : world.mInstances) {
    instance.mIsCutOff = true;
  }
  world.mPrimaryLives = false;
  world.Run(6s);
  REQUIRE(world.mAccepted.empty());
}

TEST_CASE("reserved tokens of a holder that has restarted are never used")
{
  StoreWorld world(1);
  world.Run(6s);
  world.Restart("instance-0");
  world.SetStore(false);
  world.mPrimaryLives = false;
  world.Run(6s);
  REQUIRE(world.mAccepted.empty());
}

TEST_CASE("one home reserves tokens, and another one once that home is gone")
{
  StoreWorld world(4);
  world.Run(8s);
  const auto first = DecodeLeadership(world.mRows["leadership/group"].mValue);
  REQUIRE(first);
  REQUIRE(first->mState == LeadershipState::Reserved);
  world.Run(20s);
  REQUIRE(DecodeLeadership(world.mRows["leadership/group"].mValue)->mToken ==
          first->mToken);
  world.mInstances.erase(first->mHolder);
  world.Run(8s);
  const auto next = DecodeLeadership(world.mRows["leadership/group"].mValue);
  REQUIRE(next->mHolder != first->mHolder);
  REQUIRE(next->mToken > first->mToken);
}

// Guards against a holder that is cut off together with the primary.
TEST_CASE("a home outside the primary's zone takes the reserve over")
{
  StoreWorld world(4);
  world.Run(8s);
  const auto first = DecodeLeadership(world.mRows["leadership/group"].mValue);
  world.mInPrimaryZone = { first->mHolder };
  world.Run(8s);
  const auto next = DecodeLeadership(world.mRows["leadership/group"].mValue);
  REQUIRE(next->mHolder != first->mHolder);
}

// Guards against groups that can't be promoted any more after an upgrade.
TEST_CASE("a leadership row of a version without reservations is read as a promotion")
{
  const auto row = DecodeLeadership("7 holder member");
  REQUIRE(row);
  REQUIRE(row->mToken == 7);
  REQUIRE(row->mState == LeadershipState::Claimed);
}

TEST_CASE("coordination rows survive their encoding, and other text is refused")
{
  const auto row = DecodeLeadership(
    Encode(LeadershipRow{ 7, "holder", "member", LeadershipState::Reserved, "leader" }));
  REQUIRE(row);
  REQUIRE(row->mToken == 7);
  REQUIRE(row->mState == LeadershipState::Reserved);
  REQUIRE(row->mMember == "member");
  REQUIRE(row->mLeader == "leader");
  const auto opinion = DecodeOpinion(Encode(PrimaryOpinion{ "member", true }));
  REQUIRE(opinion);
  REQUIRE(opinion->mIsAlive);
  for (const char* text : { "", "x", "7", "7 a", "x a b", "7 a b c", "up member" }) {
    INFO(text);
    REQUIRE_FALSE(DecodeLeadership(text));
    REQUIRE_FALSE(DecodeOpinion(text));
  }
}
