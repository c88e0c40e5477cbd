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

// Guards against an instance that comes back, or dies again, through a late report.
TEST_CASE("the higher incarnation and liveness wins in either order", "[membership]")
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
      // An earlier incarnation, since deaths of unknown instances are not taken.
      table.Apply(Report("b", Liveness::Alive, 0), kZone, {});
      table.Apply(swapped ? second : first, kZone, {});
      table.Apply(swapped ? first : second, kZone, {});
      CHECK(table.Find(InstanceId("b"))->mInfo.mLiveness == row.mResult);
    }
  }
}

// Guards against a live instance that stays suspected, and against a drain that an
// earlier process under the same name asked for.
TEST_CASE("an instance answers reports about itself", "[membership]")
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

// Guards against the verdicts of the other side of a partition.
TEST_CASE("a verdict counts by the zone that it comes from", "[membership]")
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

TEST_CASE("silence turns to death after the suspicion and is forgotten later",
          "[membership]")
{
  InstanceTable table(Report("self", Liveness::Alive, 1), {});
  const TimePoint start(1h);
  const InstanceId id("b");
  table.NoteHeard(Report("b", Liveness::Alive, 1), start);
  table.NoteSilent(id, start);
  CHECK(table.IsLivePeer(id));
  CHECK(table.Expire(start + 1999ms).empty());
  CHECK(table.Expire(start + 2s).size() == 1);
  CHECK_FALSE(table.IsLivePeer(id));
  table.NoteHeard(Report("b", Liveness::Alive, 1), start + 3s);
  CHECK_FALSE(table.IsLivePeer(id));
  table.Expire(start + 2s + 5min);
  CHECK(table.Find(id) == nullptr);
}

// Guards against a lagging list that overrules what probes show.
TEST_CASE("the list adds, marks and ends, and probes decide on life", "[membership]")
{
  InstanceTable table(Report("self", Liveness::Alive, 1), {});
  const InstanceId id("b");
  const std::vector<ListedCandidate> listed{ { Report("b", Liveness::Alive, 0), false } };
  const std::vector<ListedCandidate> leaving{ { Report("b", Liveness::Alive, 0), true } };
  table.MergeListing(listed, {});
  CHECK_FALSE(table.IsLivePeer(id));
  table.MergeListing({}, {});
  CHECK(table.Find(id) == nullptr);
  table.NoteHeard(Report("b", Liveness::Alive, 3), {});
  table.MergeListing({}, {});
  CHECK(table.IsLivePeer(id));
  CHECK(table.MergeListing(leaving, {}).size() == 1);
  CHECK_FALSE(table.IsLivePeer(id));
  // A restart under the same name while the list still shows the old mark.
  table.NoteHeard(Report("b", Liveness::Alive, 4), {});
  CHECK(table.MergeListing(leaving, {}).empty());
  CHECK(table.IsLivePeer(id));
}

TEST_CASE("an update is sent about 3 log n times, fresh ones first", "[membership]")
{
  UpdateQueue queue;
  for (int i = 0; i < 20; ++i) {
    queue.Add(Report(std::to_string(i).c_str(), Liveness::Alive, 1));
  }
  std::size_t sends = 0;
  for (auto taken = queue.Take(12, 100); !taken.empty(); taken = queue.Take(12, 100)) {
    CHECK(taken.size() <= 12);
    sends += taken.size();
  }
  constexpr std::size_t kSends = 20UL * 3 * 7;
  CHECK(sends == kSends);
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

// Guards against a keeper that acts on what it believed before it was paused.
TEST_CASE("a pause ends with an answer to a probe sent after it", "[membership]")
{
  PauseDetector detector(1s);
  const TimePoint start(1h);
  CHECK_FALSE(detector.Tick(start));
  CHECK_FALSE(detector.Tick(start + 1s));
  CHECK(detector.Tick(start + 2500ms));
  detector.NoteAnswer(start + 1s);
  CHECK(detector.UnconfirmedSince().has_value());
  detector.NoteAnswer(start + 2500ms);
  CHECK_FALSE(detector.UnconfirmedSince().has_value());
}
