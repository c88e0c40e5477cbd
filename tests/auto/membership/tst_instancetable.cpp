#include "decision/membership/delegatechooser.h"
#include "decision/membership/instancetable.h"
#include "decision/membership/pausedetector.h"
#include "decision/membership/updatequeue.h"

#include <catch2/catch.hpp>

#include <string>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const AvailabilityZone kZone("a");

InstanceInfo
Report(const char* aName,
       Liveness aLiveness,
       std::uint64_t aIncarnation,
       const char* aZone = "a")
{
  return { InstanceId(aName), AvailabilityZone(aZone), "", "", aLiveness, aIncarnation };
}

} // namespace

// Guards against late reports that make a dead instance live or a live one dead.
TEST_CASE("the report with the higher incarnation and liveness wins in either order",
          "[membership]")
{
  struct Case
  {
    Liveness mFirst;
    std::uint64_t mFirstIncarnation;
    Liveness mSecond;
    std::uint64_t mSecondIncarnation;
    Liveness mResult;
  };
  const std::vector<Case> cases{
    { Liveness::Alive, 1, Liveness::Suspect, 1, Liveness::Suspect },
    { Liveness::Suspect, 1, Liveness::Alive, 2, Liveness::Alive },
    { Liveness::Alive, 1, Liveness::Dead, 1, Liveness::Dead },
    { Liveness::Suspect, 1, Liveness::Dead, 1, Liveness::Dead },
    { Liveness::Alive, 2, Liveness::Leaving, 2, Liveness::Leaving },
    { Liveness::Leaving, 2, Liveness::Suspect, 2, Liveness::Leaving },
    { Liveness::Leaving, 2, Liveness::Alive, 3, Liveness::Alive },
    { Liveness::Leaving, 2, Liveness::Dead, 2, Liveness::Dead },
  };
  for (const Case& row : cases) {
    const InstanceInfo first = Report("b", row.mFirst, row.mFirstIncarnation);
    const InstanceInfo second = Report("b", row.mSecond, row.mSecondIncarnation);
    for (const bool swapped : { false, true }) {
      InstanceTable table(Report("self", Liveness::Alive, 1), {});
      // The instance must be in the table, since deaths of unknown instances are ignored.
      table.Apply(Report("b", Liveness::Alive, 0), kZone, {});
      table.Apply(swapped ? second : first, kZone, {});
      table.Apply(swapped ? first : second, kZone, {});
      CHECK(table.Find(InstanceId("b"))->mInfo.mLiveness == row.mResult);
    }
  }
}

// Guards against a live instance that remains suspect, and against a drain that was
// requested of an earlier process with the same name.
TEST_CASE("an instance refutes false reports about itself", "[membership]")
{
  struct Case
  {
    InstanceInfo mReport;
    std::uint64_t mIncarnation;
    Liveness mLiveness;
  };
  const std::vector<Case> cases{
    { Report("self", Liveness::Suspect, 5), 6, Liveness::Alive },
    { Report("self", Liveness::Dead, 8), 9, Liveness::Alive },
    { Report("self", Liveness::Suspect, 4), 5, Liveness::Alive },
    { Report("self", Liveness::Alive, 9), 5, Liveness::Alive },
    { Report("self", Liveness::Leaving, 5), 5, Liveness::Leaving },
    { Report("self", Liveness::Leaving, 7), 8, Liveness::Alive },
  };
  for (const Case& row : cases) {
    InstanceTable table(Report("self", Liveness::Alive, 5), {});
    table.Apply(row.mReport, kZone, {});
    CHECK(table.Self().mIncarnation == row.mIncarnation);
    CHECK(table.Self().mLiveness == row.mLiveness);
  }
}

// Guards against deaths that the other side of a partition reports wrongly.
TEST_CASE("the effect of a reported death depends on the reporter's zone", "[membership]")
{
  struct Case
  {
    const char* mInstanceZone;
    const char* mFromZone;
    Liveness mResult;
  };
  const std::vector<Case> cases{
    { "a", "a", Liveness::Dead },  { "a", "b", Liveness::Suspect },
    { "b", "a", Liveness::Dead },  { "b", "b", Liveness::Dead },
    { "b", "c", Liveness::Alive },
  };
  for (const Case& row : cases) {
    InstanceTable table(Report("self", Liveness::Alive, 1), {});
    table.Apply(Report("x", Liveness::Alive, 1, row.mInstanceZone), kZone, {});
    table.Apply(Report("x", Liveness::Dead, 1, row.mInstanceZone),
                AvailabilityZone(row.mFromZone),
                {});
    CHECK(table.Find(InstanceId("x"))->mInfo.mLiveness == row.mResult);
  }
}

TEST_CASE("an unresponsive instance is declared dead after 2 s and later removed",
          "[membership]")
{
  InstanceTable table(Report("self", Liveness::Alive, 1), {});
  const TimePoint start(1h);
  const InstanceId id("b");
  table.RecordMessageFrom(Report("b", Liveness::Alive, 1), start);
  table.MarkUnresponsive(id, start);
  CHECK(table.IsLivePeer(id));
  CHECK(table.ExpireSuspicions(start + 1999ms).empty());
  CHECK(table.ExpireSuspicions(start + 2s).size() == 1);
  CHECK_FALSE(table.IsLivePeer(id));
  table.RecordMessageFrom(Report("b", Liveness::Alive, 1), start + 3s);
  CHECK_FALSE(table.IsLivePeer(id));
  table.ExpireSuspicions(start + 2s + 5min);
  CHECK(table.Find(id) == nullptr);
}

// Guards against a lagging list that overrides the results of probes.
TEST_CASE("the list adds, marks and removes instances, probes decide liveness",
          "[membership]")
{
  InstanceTable table(Report("self", Liveness::Alive, 1), {});
  const InstanceId id("b");
  const std::vector<ListedCandidate> listed{ { Report("b", Liveness::Alive, 0), false } };
  const std::vector<ListedCandidate> leaving{ { Report("b", Liveness::Alive, 0), true } };
  table.MergeListing(listed, {});
  CHECK_FALSE(table.IsLivePeer(id));
  table.MergeListing({}, {});
  CHECK(table.Find(id) == nullptr);
  table.RecordMessageFrom(Report("b", Liveness::Alive, 3), {});
  table.MergeListing({}, {});
  CHECK(table.IsLivePeer(id));
  CHECK(table.MergeListing(leaving, {}).size() == 1);
  CHECK_FALSE(table.IsLivePeer(id));
  // The instance restarts under the same name while the list still has the old mark.
  table.RecordMessageFrom(Report("b", Liveness::Alive, 4), {});
  CHECK(table.MergeListing(leaving, {}).empty());
  CHECK(table.IsLivePeer(id));
}

TEST_CASE("each update is sent about 3 log n times", "[membership]")
{
  UpdateQueue queue;
  for (int i = 0; i < 20; ++i) {
    queue.Add(Report(std::to_string(i).c_str(), Liveness::Alive, 1));
  }
  std::size_t sends = 0;
  for (auto taken = queue.TakeUpdates(12, 100); !taken.empty();
       taken = queue.TakeUpdates(12, 100)) {
    CHECK(taken.size() <= 12);
    sends += taken.size();
  }
  constexpr std::size_t kExpectedSends = 20UL * 3 * 7;
  CHECK(sends == kExpectedSends);
}

TEST_CASE("each zone has two delegates and all nodes agree on them", "[membership]")
{
  std::vector<InstanceInfo> instances;
  for (int i = 0; i < 30; ++i) {
    instances.push_back(
      Report(std::to_string(i).c_str(), Liveness::Alive, 1, i % 2 == 0 ? "a" : "b"));
  }
  std::vector<const InstanceInfo*> live;
  for (const InstanceInfo& instance : instances) {
    live.push_back(&instance);
  }
  for (const auto& [zone, ranked] : RankByZone(live)) {
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
      CHECK(IsDelegate(*ranked[rank], live) == (rank < kDelegatesPerZone));
    }
  }
}

// Guards against a keeper that acts on its state from before a pause.
TEST_CASE("only an answer to a probe sent after a pause confirms the instance",
          "[membership]")
{
  PauseDetector detector(1s);
  const TimePoint start(1h);
  CHECK_FALSE(detector.Tick(start));
  CHECK_FALSE(detector.Tick(start + 1s));
  CHECK(detector.Tick(start + 2500ms));
  detector.RecordAnswer(start + 1s);
  CHECK(detector.UnconfirmedSince().has_value());
  detector.RecordAnswer(start + 2500ms);
  CHECK_FALSE(detector.UnconfirmedSince().has_value());
}
