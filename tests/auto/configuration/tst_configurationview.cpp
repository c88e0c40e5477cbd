#include "decision/configuration/configurationview.h"
#include "decision/configuration/propagationplanner.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

ConfigurationChange
ChangeTo(const char* aGroup, std::uint64_t aRevision)
{
  ConfigurationChange change;
  change.mRevision = aRevision;
  change.mSettings.mGroup = GroupId(aGroup);
  change.mSettings.mRevision = aRevision;
  return change;
}

} // namespace

// Guards against a configuration that reverts or skips a change.
TEST_CASE("changes are applied only in the order of their revisions", "[configuration]")
{
  ConfigurationView view(2);
  CHECK(view.Apply(ChangeTo("a", 1)) == ApplyResult::Applied);
  CHECK(view.Apply(ChangeTo("a", 3)) == ApplyResult::Gap);
  CHECK(view.Apply(ChangeTo("a", 1)) == ApplyResult::NotNewer);
  CHECK(view.Apply(ChangeTo("b", 2)) == ApplyResult::Applied);
  CHECK(view.Apply(ChangeTo("a", 3)) == ApplyResult::Applied);
  CHECK(view.Find(GroupId("a"))->mRevision == 3);
  CHECK_FALSE(view.ChangesAfter(0).has_value());
  CHECK(view.ChangesAfter(1)->size() == 2);
  CHECK(view.ChangesAfter(3)->empty());
  CHECK(view.ChangesAfter(9)->empty());
}

TEST_CASE("a snapshot replaces only a configuration of a lower revision",
          "[configuration]")
{
  ConfigurationView peerView(10);
  peerView.Apply(ChangeTo("a", 1));
  peerView.Apply(ChangeTo("b", 2));
  ConfigurationView view(10);
  CHECK(view.Load(peerView.Snapshot()));
  CHECK_FALSE(view.Load(peerView.Snapshot()));
  CHECK(view.Revision() == 2);
  CHECK(view.Find(GroupId("b"))->mRevision == 2);
  CHECK_FALSE(view.ChangesAfter(1).has_value());
  CHECK(view.Apply(ChangeTo("a", 3)) == ApplyResult::Applied);
  CHECK(view.ChangesAfter(2)->size() == 1);
}

// Guards against one pull for each probe, and against an unanswered pull that prevents
// later ones.
TEST_CASE("an instance with an older revision runs one pull at a time", "[configuration]")
{
  PropagationPlanner planner{ PropagationSettings() };
  const TimePoint start(1h);
  const InstanceId peer("p");
  CHECK_FALSE(planner.UpdatePeerRevision(peer, 4, 4, start).has_value());
  CHECK_FALSE(planner.UpdatePeerRevision(peer, 3, 4, start).has_value());
  CHECK(planner.UpdatePeerRevision(peer, 6, 4, start)->mAfterRevision == 4);
  CHECK_FALSE(planner.UpdatePeerRevision(peer, 6, 4, start + 999ms).has_value());
  CHECK(planner.UpdatePeerRevision(peer, 6, 4, start + 1s).has_value());
  planner.OnPullEnded();
  CHECK(planner.UpdatePeerRevision(peer, 7, 6, start + 1s).has_value());
}

TEST_CASE("delegates read the log once a second and push to peers with older revisions",
          "[configuration]")
{
  PropagationPlanner planner{ PropagationSettings() };
  const TimePoint start(1h);
  CHECK_FALSE(planner.IsPollDue(false, start));
  CHECK(planner.IsPollDue(true, start));
  CHECK_FALSE(planner.IsPollDue(true, start + 999ms));
  CHECK(planner.IsPollDue(true, start + 1s));
  const std::vector<InstanceInfo> peers{ { InstanceId("p") }, { InstanceId("q") } };
  planner.UpdatePeerRevision(InstanceId("p"), 5, 5, start);
  CHECK(planner.PushTargets(peers, 5) == std::vector{ InstanceId("q") });
  CHECK(planner.PushTargets(peers, 6).size() == 2);
  planner.RemovePeer(InstanceId("p"));
  CHECK(planner.PushTargets(peers, 5).size() == 2);
}
