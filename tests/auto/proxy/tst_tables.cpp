// Tests of tables that readers relay to other instances: which changes are relayed, that
// copies never go back to an older revision, and which source is used when a reader dies,
// freezes, lags behind or loses the store.

#include "proxy/relaysimulation.h"
#include "proxy/tables/fallbackreader.h"
#include "proxy/tables/readerchoice.h"
#include "proxy/tables/snapshotreader.h"
#include "proxy/tables/tablecopy.h"
#include "proxy/tables/tablefollower.h"
#include "proxy/tables/tablerelay.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

/** Maximum time until a configuration is in force where there are readers. */
constexpr Duration kConfigurationBound = 5s;

std::vector<RegisteredInstance>
Instances(std::size_t aCount)
{
  std::vector<RegisteredInstance> instances;
  for (std::size_t index = 0; index < aCount; index++) {
    RegisteredInstance instance;
    instance.mInstance = "instance-" + std::to_string(index);
    instance.mZone = "zone-" + std::to_string(index % 3);
    instance.mWeight = index < 9 ? 0.25 : 0.01;
    instances.push_back(instance);
  }
  return instances;
}

} // namespace

// Guards against a load on the store that grows with hundreds of instances.
TEST_CASE("an instance with readers receives changes without calls to the store")
{
  RelaySimulation simulation;
  simulation.Run(6s);
  const std::size_t calls = simulation.NodeOf("follower").mStoreCalls;
  const TimePoint written = simulation.mNow;
  simulation.Write("config");
  simulation.Run(10s);
  REQUIRE(simulation.PropagationDelay("follower", 2, written) < 100ms);
  REQUIRE(simulation.NodeOf("follower").mStoreCalls == calls);
  REQUIRE(simulation.mNow - simulation.NodeOf("follower").mAsOf < 8s);
}

TEST_CASE("a failed reader doesn't delay a change beyond the configuration bound")
{
  struct Case
  {
    const char* mName;
    std::function<void(RelaySimulation::Node&)> mFail;
  };
  const Case cases[] = {
    { "dies", [](RelaySimulation::Node& aNode) { aNode.mIsDead = true; } },
    { "freezes", [](RelaySimulation::Node& aNode) { aNode.mIsFrozen = true; } },
    { "loses the store",
      [](RelaySimulation::Node& aNode) { aNode.mReachesStore = false; } },
  };
  for (const Case& failure : cases) {
    for (const bool failBoth : { false, true }) {
      INFO(failure.mName << (failBoth ? ", both" : ", one"));
      RelaySimulation simulation;
      simulation.Run(6s);
      failure.mFail(simulation.NodeOf("reader-1"));
      if (failBoth) {
        failure.mFail(simulation.NodeOf("reader-2"));
      }
      simulation.Run(10ms);
      const TimePoint written = simulation.mNow;
      simulation.Write("config");
      simulation.Run(8s);
      REQUIRE(simulation.PropagationDelay("follower", 2, written) < kConfigurationBound);
    }
  }
}

// Guards against a reader that has missed a change, so that its copy is older than that
// of the requester.
TEST_CASE("an instance never goes back to the older copy of a reader")
{
  RelaySimulation simulation;
  simulation.Run(6s);
  simulation.NodeOf("reader-1").mReachesStore = false;
  simulation.Write("config");
  simulation.Run(6s);
  REQUIRE(simulation.NodeOf("follower").mFollower->Copy().Revision() == 2);
  REQUIRE(simulation.NodeOf("reader-1").mFollower->Copy().Revision() == 1);
  std::uint64_t newest = 0;
  for (int turn = 0; turn < 100; turn++) {
    simulation.Run(100ms);
    const std::uint64_t revision =
      simulation.NodeOf("follower").mFollower->Copy().Revision();
    REQUIRE(revision >= newest);
    newest = revision;
  }
}

TEST_CASE("a reader refuses requests during a store outage and serves them after it")
{
  RelaySimulation simulation;
  simulation.Run(6s);
  simulation.NodeOf("reader-1").mReachesStore = false;
  simulation.NodeOf("reader-2").mReachesStore = false;
  simulation.Run(8s);
  const std::size_t calls = simulation.NodeOf("follower").mStoreCalls;
  REQUIRE(calls > 1);
  simulation.NodeOf("reader-1").mReachesStore = true;
  simulation.NodeOf("reader-2").mReachesStore = true;
  simulation.Run(8s);
  const std::size_t after = simulation.NodeOf("follower").mStoreCalls;
  simulation.Run(20s);
  REQUIRE(simulation.NodeOf("follower").mStoreCalls == after);
}

// Guards against the removal of entries that only expired during an outage of the store:
// the outage must be reported before the rows that lack these entries.
TEST_CASE("the end of an outage is reported before the rows read after it")
{
  RelaySimulation simulation;
  simulation.Run(6s);
  for (const char* name : { "reader-1", "reader-2", "follower" }) {
    simulation.NodeOf(name).mReachesStore = false;
  }
  simulation.Run(8s);
  REQUIRE(simulation.NodeOf("follower").mContactChanges == std::vector<bool>{ false });
  std::vector<bool> contactsAtChange;
  simulation.Remove("config");
  for (const char* name : { "reader-1", "reader-2", "follower" }) {
    simulation.NodeOf(name).mReachesStore = true;
  }
  simulation.Run(4s);
  REQUIRE(simulation.NodeOf("follower").mContactChanges ==
          std::vector<bool>{ false, true });
  REQUIRE(simulation.NodeOf("follower").mFollower->Copy().Rows().empty());
}

TEST_CASE("a starting instance opens no feed before the list of instances is known")
{
  RelaySimulation simulation;
  simulation.ReaderChoiceOf("follower") = {};
  simulation.Run(3s);
  REQUIRE(simulation.NodeOf("follower").mStoreCalls <= 2);
  simulation.ReaderChoiceOf("follower") = { true, false, { "reader-1", "reader-2" }, {} };
  const TimePoint written = simulation.mNow;
  simulation.Write("config");
  simulation.Run(1s);
  REQUIRE(simulation.PropagationDelay("follower", 2, written) < 500ms);
}

// Guards against a store that rejects single instances: until it answers them again, they
// would not notice a new leader, and refuse statements that need it.
TEST_CASE("an instance that the store rejects receives changes through another instance")
{
  RelaySimulation simulation;
  // A small deployment, in which every instance reads the store itself.
  simulation.ReaderChoiceOf("follower") = { true, false, {}, { "reader-1", "reader-2" } };
  simulation.Run(6s);
  simulation.NodeOf("follower").mReachesStore = false;
  simulation.NodeOf("reader-1").mReachesStore = false;
  simulation.Run(6s);
  const TimePoint written = simulation.mNow;
  simulation.Write("config");
  simulation.Run(1s);
  REQUIRE(simulation.PropagationDelay("follower", 2, written) < 100ms);
  // The copy is current, so the loss of the store isn't reported as a loss of contact.
  REQUIRE(simulation.NodeOf("follower").mContactChanges.empty());
  // It must not be passed on as if it had been read from the store.
  REQUIRE_FALSE(simulation.NodeOf("follower").mFollower->ReadAsOf());

  simulation.NodeOf("follower").mReachesStore = true;
  simulation.Run(4s);
  REQUIRE_FALSE(simulation.NodeOf("follower").mFollower->IsStoreLost());
  const std::size_t queries = simulation.mReaderQueries;
  simulation.Run(10s);
  REQUIRE(simulation.mReaderQueries == queries);
}

TEST_CASE("an instance that has found the store again uses it within a second of a hint")
{
  RelaySimulation simulation;
  for (const char* name : { "reader-1", "reader-2", "follower" }) {
    simulation.ReaderChoiceOf(name) = { true, false, {}, {} };
  }
  simulation.ReaderChoiceOf("follower").mSubstitutes = { "reader-1", "reader-2" };
  simulation.Run(6s);
  for (const char* name : { "reader-1", "reader-2", "follower" }) {
    simulation.NodeOf(name).mReachesStore = false;
  }
  simulation.Run(10s);
  TableFollower& follower = *simulation.NodeOf("follower").mFollower;
  REQUIRE(follower.IsStoreLost());
  simulation.NodeOf("follower").mReachesStore = true;
  follower.OnStoreAnswered(simulation.mNow);
  simulation.Run(1s);
  REQUIRE_FALSE(follower.IsStoreLost());
}

namespace {

/** Runs one read of a fallback reader with a store that answers or not, and substitutes
 * with the given answers. */
struct FallbackRead
{
  FallbackRead(bool aIsStoreLost, std::map<std::string, RelayAnswer> aAnswers)
  {
    FallbackReaderHooks hooks;
    hooks.mRead = [this](TimePoint, std::function<void(const ReadResult&)> aHook) {
      mDirectReads++;
      mNow += 900ms;
      aHook(StoreFailure::NoAnswer);
    };
    hooks.mQueryReader =
      [this, aAnswers](const std::string& aInstance,
                       const RelayRequest& aRequest,
                       Duration,
                       TimePoint,
                       std::function<void(const std::optional<RelayAnswer>&)> aHook) {
        mRequestedReads += aRequest.mNeedsRead ? 1 : 0;
        mNow += 10ms;
        aHook(aAnswers.at(aInstance));
      };
    hooks.mSubstitutes = [] { return std::vector<std::string>{ "first", "second" }; };
    hooks.mIsStoreLost = [aIsStoreLost] { return aIsStoreLost; };
    hooks.mNow = [this] { return mNow; };
    FallbackReader reader("leadership", hooks);
    reader.Read(mNow,
                [this](const ReadResult& aResult, TimePoint aSentAt, bool aIsDirect) {
                  mResult = aResult;
                  mSentAt = aSentAt;
                  mIsDirect = aIsDirect;
                });
  }

  TimePoint mNow{ std::chrono::hours(1) };
  std::size_t mDirectReads = 0;
  std::size_t mRequestedReads = 0;
  ReadResult mResult = StoreFailure::Refused;
  TimePoint mSentAt;
  bool mIsDirect = false;
};

RelayAnswer
AnswerOfRead(std::uint64_t aRevision, bool aIsRead)
{
  RelayAnswer answer;
  answer.mIsFull = true;
  answer.mIsRead = aIsRead;
  answer.mRevision = aRevision;
  answer.mRows.push_back({ Row("leader", aRevision), false });
  return answer;
}

} // namespace

// Guards against a lease that is based on the copy of another instance, which may be
// older than a claim.
TEST_CASE("a read through another instance requires a read of the store by that instance")
{
  const TimePoint start{ std::chrono::hours(1) };
  SECTION("a copy isn't accepted, and the next instance is queried")
  {
    const FallbackRead read(
      true, { { "first", AnswerOfRead(9, false) }, { "second", AnswerOfRead(7, true) } });
    REQUIRE(read.mDirectReads == 0);
    REQUIRE(read.mRequestedReads == 2);
    REQUIRE(std::get<TableSnapshot>(read.mResult).mRevision == 7);
    // The rows were read after the request to the second instance was sent.
    REQUIRE(read.mSentAt == start + 10ms);
    REQUIRE_FALSE(read.mIsDirect);
  }
  SECTION("a failed read of the store doesn't count as the time of the later one")
  {
    const FallbackRead read(
      false, { { "first", AnswerOfRead(7, true) }, { "second", AnswerOfRead(7, true) } });
    REQUIRE(read.mDirectReads == 1);
    REQUIRE(read.mSentAt == start + 900ms);
  }
  SECTION("no instance can read the store")
  {
    RelayAnswer refusal;
    refusal.mIsRefused = true;
    const FallbackRead read(true, { { "first", refusal }, { "second", refusal } });
    REQUIRE(std::holds_alternative<StoreFailure>(read.mResult));
  }
}

TEST_CASE("a relay reads the store for a request that needs it, or refuses")
{
  TableCopy copy;
  copy.Replace(std::vector{ Row("leader", 3) }, { 0, 3 });
  std::optional<TimePoint> readAsOf{ std::chrono::hours(1) };
  std::vector<std::function<void(const ReadResult&)>> reads;
  std::vector<RelayAnswer> answers;
  TableRelay relay(
    { [&](RelayKey, const RelayAnswer& aAnswer) { answers.push_back(aAnswer); },
      [] { return std::size_t{ 0 }; } });
  relay.AddTable("leadership",
                 { [&]() -> const TableCopy& { return copy; },
                   [&] { return readAsOf; },
                   [&](TimePoint, std::function<void(const ReadResult&)> aHook) {
                     reads.push_back(std::move(aHook));
                   } });
  RelayRequest request;
  request.mTable = "leadership";
  request.mNeedsRead = true;
  relay.AddRequest(1, request, *readAsOf);
  REQUIRE(answers.empty());
  reads.at(0)(TableSnapshot{ std::vector{ Row("leader", 8) }, 8, 0 });
  REQUIRE(answers.at(0).mIsRead);
  REQUIRE(answers.at(0).mRevision == 8);
  relay.AddRequest(2, request, *readAsOf);
  reads.at(1)(StoreFailure::NoAnswer);
  REQUIRE(answers.at(1).mIsRefused);
  relay.AddRequest(3, request, *readAsOf);
  relay.Cancel(3);
  reads.at(2)(TableSnapshot{ std::vector{ Row("leader", 9) }, 9, 0 });
  REQUIRE(answers.size() == 2);
  readAsOf.reset();
  relay.AddRequest(4, request, TimePoint(std::chrono::hours(1)));
  REQUIRE(answers.at(2).mIsRefused);
}

TEST_CASE("a copy returns the changes after a revision, including removals, or all rows")
{
  TableCopy copy;
  copy.Replace(std::vector{ Row("a", 3), Row("b", 4) }, { 0, 10 });
  REQUIRE(copy.ChangesAfter({ 0, 0 }).mIsFull);
  REQUIRE(copy.ChangesAfter({ 0, 9 }).mIsFull);
  REQUIRE(copy.ChangesAfter({ 0, 10 }).mRows.empty());
  const std::vector<ChangedRow> changes{ { Row("c", 11), false },
                                         { Row("a", 12), true } };
  REQUIRE(copy.Apply(changes, 12));
  const RelayAnswer after = copy.ChangesAfter({ 0, 10 });
  REQUIRE_FALSE(after.mIsFull);
  REQUIRE(after.mRows.size() == 2);
  REQUIRE(after.mRows[1].mIsRemoved);
  TableCopy other;
  other.Replace(std::vector{ Row("a", 3), Row("b", 4) }, { 0, 10 });
  REQUIRE(other.ApplyAnswer(after));
  REQUIRE(other.Rows().contains("c"));
  REQUIRE_FALSE(other.Rows().contains("a"));
  // An older snapshot or change is ignored.
  REQUIRE_FALSE(other.Replace(std::vector{ Row("a", 3) }, { 0, 9 }));
  REQUIRE_FALSE(other.Apply(std::vector<ChangedRow>{ { Row("a", 3), false } }, 11));
  REQUIRE(other.Revision() == 12);
}

// Guards against a reader that runs out of memory when a configuration of hundreds of
// kilobytes changes and all instances of a zone request it at once from their two
// readers.
TEST_CASE("a reader refuses requests for large tables beyond its memory limit")
{
  constexpr std::size_t kLimit = 8U << 20U;
  TableCopy copy;
  StoredRow row = Row("config", 2);
  row.mValue = std::string(500'000, 'x');
  copy.Replace(std::vector{ row }, { 0, 2 });
  std::size_t queuedBytes = 0;
  std::size_t refused = 0;
  TableRelay relay({ [&](RelayKey, const RelayAnswer& aAnswer) {
                      refused += aAnswer.mIsRefused ? 1 : 0;
                      for (const ChangedRow& change : aAnswer.mRows) {
                        queuedBytes += change.mRow.mValue.size();
                      }
                    },
                     [&] { return queuedBytes; } });
  const TimePoint now{ std::chrono::hours(1) };
  relay.AddTable("op",
                 { [&]() -> const TableCopy& { return copy; },
                   [&] { return std::optional(now); },
                   nullptr });
  for (RelayKey requester = 1; requester <= 100; requester++) {
    relay.AddRequest(requester, { "op", 0, {}, false }, now);
  }
  REQUIRE(queuedBytes <= kLimit);
  REQUIRE(refused > 80);
  // Requesters with a current copy are still answered.
  refused = 0;
  relay.AddRequest(101, { "op", 2, {}, false }, now);
  REQUIRE(refused == 0);
}

TEST_CASE("all instances of a zone choose the same two readers, which read the store")
{
  const auto instances = Instances(30);
  std::map<std::string, std::set<std::string>> readers;
  for (const RegisteredInstance& instance : instances) {
    const ReaderChoice choice = ChooseReaders(instance.mInstance, instances);
    REQUIRE(choice.mIsKnown);
    REQUIRE(choice.mIsReader == choice.mReaders.empty());
    for (const std::string& reader : choice.mReaders) {
      readers[instance.mZone].insert(reader);
    }
  }
  REQUIRE(readers.size() == 3);
  for (const auto& [zone, names] : readers) {
    REQUIRE(names.size() == 2);
    for (const std::string& name : names) {
      REQUIRE(ChooseReaders(name, instances).mIsReader);
    }
  }
}

TEST_CASE("a small number of instances and an unlisted instance need no readers")
{
  REQUIRE(ChooseReaders("instance-1", Instances(12)).mReaders.empty());
  REQUIRE_FALSE(ChooseReaders("instance-1", Instances(12)).mIsReader);
  REQUIRE(ChooseReaders("stranger", Instances(30)).mReaders.empty());
  REQUIRE_FALSE(ChooseReaders("stranger", {}).mIsReader);
}

TEST_CASE("a table is read from the store if no reader provides it")
{
  std::size_t reads = 0;
  std::vector<std::string> queriedReaders;
  std::optional<RelayAnswer> relayAnswer;
  SnapshotReaderHooks hooks;
  hooks.mRead = [&](TimePoint, const std::function<void(const ReadResult&)>& aHook) {
    reads++;
    aHook(TableSnapshot{ { Row("a", 5) }, 5, 0 });
  };
  hooks.mQueryReader =
    [&](const std::string& aReader,
        const RelayRequest&,
        Duration,
        TimePoint,
        const std::function<void(const std::optional<RelayAnswer>&)>& aHook) {
      queriedReaders.push_back(aReader);
      aHook(relayAnswer);
    };
  hooks.mReaders = [] { return std::vector<std::string>{ "reader-1", "reader-2" }; };
  SnapshotReader reader("instances", hooks);
  std::size_t rows = 0;
  const auto countRows = [&](const ReadResult& aResult) {
    rows = std::get<TableSnapshot>(aResult).mRows.size();
  };
  reader.Read({}, countRows);
  REQUIRE(queriedReaders.size() == 2);
  REQUIRE(reads == 1);
  REQUIRE(rows == 1);
  REQUIRE(reader.ReadAsOf());
  relayAnswer = RelayAnswer{ false, false, false, { { Row("b", 6), false } }, 6, {}, {} };
  reader.Read({}, countRows);
  REQUIRE(reads == 1);
  REQUIRE(rows == 2);
  // Rows that came from a reader don't count as read from the store.
  REQUIRE_FALSE(reader.ReadAsOf());
  // The answer of a reader with an older copy is not used.
  relayAnswer->mRevision = 3;
  reader.Read({}, countRows);
  REQUIRE(reads == 2);
  // The answer of a reader that was frozen for 10 minutes is not used either.
  relayAnswer->mRevision = 9;
  relayAnswer->mAge = 10min;
  reader.Read({}, countRows);
  REQUIRE(reads == 3);
}

TEST_CASE("instances that read the store stand in for one that can't reach it")
{
  SECTION("in a small deployment, any other instance")
  {
    const auto instances = Instances(9);
    const ReaderChoice choice = ChooseReaders("instance-0", instances);
    REQUIRE_FALSE(choice.mSubstitutes.empty());
    REQUIRE(std::find(choice.mSubstitutes.begin(),
                      choice.mSubstitutes.end(),
                      "instance-0") == choice.mSubstitutes.end());
  }
  SECTION("in a large one, readers of other zones")
  {
    const auto instances = Instances(30);
    const ReaderChoice choice = ChooseReaders("instance-0", instances);
    REQUIRE_FALSE(choice.mSubstitutes.empty());
    for (const std::string& substitute : choice.mSubstitutes) {
      REQUIRE(ChooseReaders(substitute, instances).mIsReader);
    }
  }
}
