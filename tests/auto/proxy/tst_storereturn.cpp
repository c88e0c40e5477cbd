// Tests of a store that returns to an older state and gives out its revisions again:
// which copies and answers of other instances are still used, and how many calls the
// store gets.

#include "proxy/relaysimulation.h"
#include "proxy/tables/snapshotreader.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> kNodes{ "reader-1", "reader-2", "follower" };

/** Time within which a new configuration must be in force. */
constexpr Duration kConfigurationBound = 3s;

/** Simulation whose store has announced an incarnation and is at revision 21. */
void
Prepare(RelaySimulation& aSimulation)
{
  aSimulation.mIncarnation = 4;
  aSimulation.Run(6s);
  for (int change = 0; change < 20; change++) {
    aSimulation.Write("config");
    aSimulation.Run(100ms);
  }
}

} // namespace

// Guards against copies that keep the rows of a state that the store no longer has,
// because its revisions are lower than before, and against reads and feeds without a
// pause.
TEST_CASE("instances adopt the rows of a store that has returned to an older state")
{
  for (const std::uint64_t lost : { 1U, 5U, 19U }) {
    INFO(lost << " lost revisions");
    RelaySimulation simulation;
    Prepare(simulation);
    std::map<std::string, std::size_t> calls;
    for (const std::string& name : kNodes) {
      calls[name] = simulation.NodeOf(name).mStoreCalls;
    }
    simulation.ReturnTo(simulation.mRevision - lost);
    simulation.Run(500ms);
    simulation.Write("config");
    const StoredRow written = Row("config", simulation.mRevision);
    simulation.Run(kConfigurationBound);
    for (const std::string& name : kNodes) {
      INFO(name);
      const TableCopy& copy = simulation.NodeOf(name).mFollower->Copy();
      REQUIRE(copy.Version() == StoreRevision{ 5, simulation.mRevision });
      REQUIRE(copy.Rows().at("config").mValue == written.mValue);
      // A failed feed, a read and some feeds.
      REQUIRE(simulation.NodeOf(name).mStoreCalls - calls[name] < 10);
    }
    // Nobody depends on the store beyond the time of the return.
    const std::size_t after = simulation.NodeOf("follower").mStoreCalls;
    simulation.Run(10s);
    REQUIRE(simulation.NodeOf("follower").mStoreCalls == after);
  }
}

// Guards against changes that are missed when the store has given out the revision of a
// copy again before the copy asks for changes.
TEST_CASE("changes after a revision that was given out again are not applied to the copy")
{
  RelaySimulation simulation;
  Prepare(simulation);
  simulation.Write("dropped");
  simulation.Run(100ms);
  simulation.ReturnTo(simulation.mRevision - 3);
  for (int change = 0; change < 8; change++) {
    simulation.Write("other");
  }
  simulation.Run(kConfigurationBound);
  for (const std::string& name : kNodes) {
    INFO(name);
    const TableRows& rows = simulation.NodeOf(name).mFollower->Copy().Rows();
    REQUIRE_FALSE(rows.contains("dropped"));
    REQUIRE(rows.at("other").mRevision == simulation.mRevision);
  }
}

// Guards against an instance that is cut off from the store during its return and relays
// rows that the store no longer has.
TEST_CASE(
  "a reader that has missed a return of the store is not used by those that know it")
{
  RelaySimulation simulation;
  Prepare(simulation);
  simulation.NodeOf("reader-1").mReachesStore = false;
  simulation.ReturnTo(simulation.mRevision - 10);
  simulation.Run(500ms);
  simulation.Write("config");
  simulation.Run(kConfigurationBound);
  REQUIRE(simulation.NodeOf("follower").mFollower->Copy().Incarnation() == 5);
  for (int turn = 0; turn < 100; turn++) {
    simulation.Run(100ms);
    REQUIRE(simulation.NodeOf("follower").mFollower->Copy().Incarnation() == 5);
  }
  simulation.NodeOf("reader-1").mReachesStore = true;
  simulation.Run(kConfigurationBound);
  REQUIRE(simulation.NodeOf("reader-1").mFollower->Copy().Version() ==
          simulation.NodeOf("reader-2").mFollower->Copy().Version());
}

TEST_CASE("two returns of the store within seconds leave all copies at the newest state")
{
  RelaySimulation simulation;
  Prepare(simulation);
  simulation.ReturnTo(simulation.mRevision - 10);
  simulation.Run(300ms);
  simulation.Write("config");
  simulation.ReturnTo(simulation.mRevision - 5);
  simulation.Run(20ms);
  simulation.Write("config");
  simulation.Run(kConfigurationBound);
  for (const std::string& name : kNodes) {
    INFO(name);
    REQUIRE(simulation.NodeOf(name).mFollower->Copy().Version() ==
            StoreRevision{ 6, simulation.mRevision });
  }
}

// Guards against a home that keeps the rows of an earlier state until a call ends that
// waits for changes.
TEST_CASE("a follower leaves an earlier incarnation at once, or once it is needed again")
{
  const bool isNeeded = GENERATE(false, true);
  std::size_t reads = 0;
  TimePoint now{ std::chrono::hours(1) };
  const ReaderChoice choice{ true, false, {}, {} };
  FollowerHooks hooks;
  hooks.mRead = [&](TimePoint, const std::function<void(const ReadResult&)>& aHook) {
    reads++;
    TableSnapshot snapshot{ { Row("config", 10) }, 10, 0 };
    snapshot.mIncarnation = reads == 1 ? 4 : 5;
    aHook(snapshot);
  };
  // No feed is answered.
  hooks.mFeed = [](std::uint64_t,
                   Duration,
                   TimePoint,
                   const std::function<void(const FeedResult&)>&) {};
  hooks.mReaders = [&]() -> const ReaderChoice& { return choice; };
  hooks.mOnRowsChanged = [](const TableRows&) {};
  hooks.mEarliestLocalTime = [](std::uint64_t, TimePoint) { return std::nullopt; };
  hooks.mOnContactChanged = [](bool) {};
  hooks.mNow = [&] { return now; };
  TableFollower follower("op", 4500ms, hooks);
  follower.OnIncarnation(4, now);
  follower.SetActive(true, now);
  follower.OnTimer(now);
  REQUIRE(follower.Copy().Incarnation() == 4);
  follower.SetActive(isNeeded, now);
  follower.OnIncarnation(5, now);
  now += 10ms;
  follower.OnTimer(now);
  REQUIRE(reads == (isNeeded ? 2 : 1));
  follower.SetActive(true, now);
  now += 10ms;
  follower.OnTimer(now);
  REQUIRE(follower.Copy().Incarnation() == 5);
}

// Guards against a store that drops its history all the time: reads and feeds by turns
// would exceed its rates.
TEST_CASE("a follower pauses between reads while the store has no history")
{
  std::size_t calls = 0;
  TimePoint now{ std::chrono::hours(1) };
  const ReaderChoice choice{ true, false, {}, {} };
  FollowerHooks hooks;
  hooks.mRead = [&](TimePoint, const std::function<void(const ReadResult&)>& aHook) {
    calls++;
    aHook(TableSnapshot{ { Row("config", calls) }, calls, 0 });
  };
  hooks.mFeed = [&](std::uint64_t,
                    Duration,
                    TimePoint,
                    const std::function<void(const FeedResult&)>& aHook) {
    calls++;
    aHook(HistoryLost());
  };
  hooks.mReaders = [&]() -> const ReaderChoice& { return choice; };
  hooks.mOnRowsChanged = [](const TableRows&) {};
  hooks.mEarliestLocalTime = [](std::uint64_t, TimePoint) { return std::nullopt; };
  hooks.mOnContactChanged = [](bool) {};
  hooks.mNow = [&] { return now; };
  TableFollower follower("op", 4500ms, hooks);
  follower.SetActive(true, now);
  for (int turn = 0; turn < 1000; turn++) {
    now += 10ms;
    follower.OnTimer(now);
  }
  // Two calls in each 400 ms, and some more at the start.
  REQUIRE(calls < 60);
  REQUIRE(follower.Copy().Revision() > 40);
}

TEST_CASE(
  "a snapshot reader accepts rows of a newer incarnation with lower revisions only")
{
  std::uint64_t incarnation = 4;
  RelayAnswer answer;
  answer.mIsFull = true;
  SnapshotReaderHooks hooks;
  hooks.mRead = [](TimePoint, const std::function<void(const ReadResult&)>& aHook) {
    aHook(StoreFailure::NoAnswer);
  };
  hooks.mQueryReader =
    [&](const std::string&,
        const RelayRequest&,
        Duration,
        TimePoint,
        const std::function<void(const std::optional<RelayAnswer>&)>& aHook) {
      aHook(answer);
    };
  hooks.mReaders = [] { return std::vector<std::string>{ "reader" }; };
  hooks.mIncarnation = [&] { return incarnation; };
  hooks.mOnIncarnation = [&](std::uint64_t aIncarnation) { incarnation = aIncarnation; };
  SnapshotReader reader("instances", hooks);
  const auto read = [&](std::uint64_t aIncarnation, std::uint64_t aRevision) {
    answer.mIncarnation = aIncarnation;
    answer.mRevision = aRevision;
    answer.mRows = { { Row("instance", aRevision), false } };
    bool isRead = false;
    reader.Read(TimePoint(std::chrono::hours(1)), [&](const ReadResult& aResult) {
      isRead = std::holds_alternative<TableSnapshot>(aResult);
    });
    return isRead;
  };
  REQUIRE(read(4, 100));
  REQUIRE_FALSE(read(4, 99));
  REQUIRE(read(5, 50));
  REQUIRE(incarnation == 5);
  REQUIRE(reader.Copy().Rows().at("instance").mRevision == 50);
  REQUIRE_FALSE(read(4, 101));
}
