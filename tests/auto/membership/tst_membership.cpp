#include "membership/membershipnetwork.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr double kMaxPropagationSeconds = 3;

// Probes of the own zone go in shuffled rounds, so at most two rounds pass until an
// instance is probed. The direct timeout (0.4 s), the indirect timeout (0.9 s), the
// suspicion (2 s) and the propagation follow.
double
MaxDetectionSeconds(int aPerZone)
{
  return 2.0 * aPerZone + 0.4 + 0.9 + 2 + kMaxPropagationSeconds;
}

const InstanceId kFirst("a0");

} // namespace

TEST_CASE("instances discover each other through the list and agree", "[membership]")
{
  MembershipNetwork network(1);
  network.StartZones(3, 3);
  network.RunUntil(15s, [&] { return network.AllCountLive(9); });
  CHECK(network.AllCountLive(9));
}

// Guards against a starting instance that stays unknown because the list lags.
TEST_CASE("an unlisted instance joins through one peer", "[membership]")
{
  MembershipNetwork network(2);
  network.StartZones(2, 4);
  network.Run(5s);
  network.Start(MembershipNetwork::Info("a9", "a"));
  const std::vector<ListedCandidate> listed{ { MembershipNetwork::Info("a0", "a"),
                                               false } };
  auto& joining = *network.mNodes[InstanceId("a9")];
  network.CarryOut(InstanceId("a9"), joining.HandleListing(listed, network.mNow));
  network.RunUntil(15s, [&] { return network.AllCountLive(9); });
  CHECK(network.AllCountLive(9));
}

TEST_CASE("a listed instance that never answered is not live", "[membership]")
{
  MembershipNetwork network(3);
  network.mUnresponsive.insert(kFirst);
  network.StartZones(2, 4);
  network.Run(20s);
  CHECK(network.AllCountLive(7));
}

TEST_CASE("the list's leaving mark reaches every node and the instance itself",
          "[membership]")
{
  MembershipNetwork network(4);
  network.StartZones(3, 4);
  network.Run(10s);
  network.mListedLeaving.insert(kFirst);
  network.PublishListing();
  const double seconds =
    network.RunUntil(10s, [&] { return network.AllSee(kFirst, Liveness::Leaving); });
  CHECK(seconds <= kMaxPropagationSeconds);
  CHECK(network.mMarkedLeaving.contains(kFirst));
}

TEST_CASE("every node sees a flapping instance as live at the end", "[membership]")
{
  MembershipNetwork network(5);
  network.StartZones(2, 5);
  network.Run(10s);
  for (int i = 0; i < 6; ++i) {
    network.mUnresponsive.insert(kFirst);
    network.Run(std::chrono::milliseconds(1500 + i * 1000));
    network.mUnresponsive.erase(kFirst);
    network.Run(2s);
  }
  network.RunUntil(60s, [&] { return network.AllCountLive(10); });
  CHECK(network.AllCountLive(10));
}

// Guards against zones that stay separated after a partition, and against deaths recorded
// on one side that remove the other side's instances when the partition ends.
TEST_CASE("a cut-off zone is dead outside, live inside, and rejoins after the partition",
          "[membership]")
{
  const bool brief = GENERATE(true, false);
  MembershipNetwork network(6);
  network.StartZones(3, 6);
  network.Run(10s);
  network.mCutZone = AvailabilityZone("b");
  // Long enough that both delegates and then all other instances of the zone are detected
  // as dead.
  network.Run(brief ? 20s : std::chrono::milliseconds(1h));
  for (const auto& [id, node] : network.mNodes) {
    const bool inside = network.mInfos[id].mAvailabilityZone == AvailabilityZone("b");
    CHECK(node->Table().Live().size() == (inside ? 6U : 12U));
  }
  network.mCutZone = AvailabilityZone();
  network.RunUntil(30s, [&] {
    for (const auto& [id, node] : network.mNodes) {
      CHECK(node->Table().Live().size() >= 6);
    }
    return network.AllCountLive(18);
  });
  CHECK(network.AllCountLive(18));
}

TEST_CASE("an instance that was isolated does not report the others as dead",
          "[membership]")
{
  MembershipNetwork network(7);
  network.StartZones(1, 6);
  network.Run(10s);
  // The separate zone only affects the simulated delivery; the node itself is in zone a.
  network.mInfos[kFirst].mAvailabilityZone = AvailabilityZone("cut");
  network.mCutZone = AvailabilityZone("cut");
  network.Run(60s);
  CHECK(network.mNodes[kFirst]->Table().Live().size() == 1);
  network.mCutZone = AvailabilityZone();
  network.RunUntil(30s, [&] {
    for (const auto& [id, node] : network.mNodes) {
      CHECK((id == kFirst || node->Table().Live().size() >= 5));
    }
    return network.AllCountLive(6);
  });
  CHECK(network.AllCountLive(6));
}

// Guards against a keeper that acts on outdated state after a pause, and against a
// resumed instance that takes answers missed during its pause for the death of the
// others.
TEST_CASE("a paused instance waits for a peer before it acts as keeper", "[membership]")
{
  MembershipNetwork network(8);
  network.StartZones(2, 4);
  network.Run(10s);
  const Membership& node = *network.mNodes[kFirst];
  CHECK(node.MayActAsKeeper(network.mNow));
  network.mPaused.insert(kFirst);
  network.Run(4s);
  network.mPaused.erase(kFirst);
  CHECK_FALSE(node.MayActAsKeeper(network.mNow));
  network.mLossRate = 1;
  network.Run(400ms);
  CHECK_FALSE(node.MayActAsKeeper(network.mNow));
  CHECK(node.Table().Live().size() == 8);
  network.mLossRate = 0;
  network.Run(2s);
  CHECK(node.MayActAsKeeper(network.mNow));
  network.RunUntil(30s, [&] { return network.AllCountLive(8); });
  CHECK(network.AllCountLive(8));
}

// Guards against a leave or death that message loss hides from some nodes.
TEST_CASE("every live node learns of a leave and a death in time", "[membership]")
{
  const int perZone = GENERATE(2, 7, 25);
  const double loss = GENERATE(0.0, 0.1);
  const std::uint64_t seeds = perZone > 10 ? 10 : 50;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(perZone, loss, seed);
    MembershipNetwork network(seed);
    network.StartZones(3, perZone);
    const std::size_t count = 3U * static_cast<std::size_t>(perZone);
    network.RunUntil(60s, [&] { return network.AllCountLive(count); });
    REQUIRE(network.AllCountLive(count));
    network.mLossRate = loss;
    network.Run(5s);
    network.CarryOut(kFirst, network.mNodes[kFirst]->AnnounceLeaving(network.mNow));
    const double leave =
      network.RunUntil(60s, [&] { return network.AllSee(kFirst, Liveness::Leaving); });
    CHECK(leave <= kMaxPropagationSeconds);
    const InstanceId dying("b1");
    network.mUnresponsive.insert(dying);
    const double death =
      network.RunUntil(200s, [&] { return network.AllSee(dying, Liveness::Dead); });
    CHECK(death <= MaxDetectionSeconds(perZone));
  }
}
