// Tables of the store read by some instances for others: what is passed on, what never
// goes back, and who reads when a reader dies, freezes, is behind or has lost the store.

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

StoredRow
Row(const std::string& aKey, std::uint64_t aRevision)
{
  StoredRow row;
  row.mKey = aKey;
  row.mValue = aKey + std::to_string(aRevision);
  row.mRevision = aRevision;
  return row;
}

/** A store with one table, two readers and an instance that asks them, on simulated time.
 */
class RelayWorld
{
public:
  struct Node
  {
    std::unique_ptr<TableFollower> mFollower;
    std::unique_ptr<TableRelay> mRelay;
    bool mHasStore = true;
    bool mIsFrozen = false;
    bool mIsDead = false;
    std::size_t mStoreCalls = 0;
    std::vector<bool> mContacts;
    /** When the newest revision became known. */
    std::map<std::uint64_t, TimePoint> mKnownAt;
    TimePoint mAsOf;
  };

  RelayWorld()
  {
    mRows["config"] = Row("config", 1);
    for (const char* name : { "reader-1", "reader-2", "asker" }) {
      Add(name);
    }
    mNodes["reader-1"].mChoice = { true, true, {} };
    mNodes["reader-2"].mChoice = { true, true, {} };
    mNodes["asker"].mChoice = { true, false, { "reader-1", "reader-2" } };
    for (auto& [name, node] : mNodes) {
      node.mNode.mFollower->SetActive(true, mNow);
    }
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += 5ms;
      while (!mDue.empty() && mDue.begin()->first <= mNow) {
        const auto task = std::move(mDue.begin()->second);
        mDue.erase(mDue.begin());
        task();
      }
      for (auto& [name, node] : mNodes) {
        if (!node.mNode.mIsFrozen && !node.mNode.mIsDead) {
          node.mNode.mFollower->OnTimer(mNow);
          node.mNode.mRelay->OnTimer(mNow);
        }
      }
    }
  }

  void Write(const std::string& aKey)
  {
    mRows[aKey] = Row(aKey, ++mRevision);
    WakeFeeds();
  }

  void Remove(const std::string& aKey)
  {
    mRows.erase(aKey);
    mRemoved[aKey] = ++mRevision;
    WakeFeeds();
  }

  Node& At(const std::string& aName) { return mNodes[aName].mNode; }

  /** @return how long after a revision was written the instance knew it */
  Duration Knew(const std::string& aName, std::uint64_t aRevision, TimePoint aWrittenAt)
  {
    for (const auto& [revision, at] : At(aName).mKnownAt) {
      if (revision >= aRevision) {
        return at - aWrittenAt;
      }
    }
    return Duration::max();
  }

  TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mRevision = 1;
  std::size_t mQuestions = 0;
  ReaderChoice& Choice(const std::string& aName) { return mNodes[aName].mChoice; }

private:
  struct Entry
  {
    Node mNode;
    ReaderChoice mChoice;
  };

  struct Feed
  {
    std::string mName;
    std::uint64_t mAfter = 0;
    std::function<void(const FeedResult&)> mHook;
  };

  void Later(Duration aDelay, std::function<void()> aTask)
  {
    mDue.emplace(mNow + aDelay, std::move(aTask));
  }

  /** Hands an answer to an instance, unless it can't take it. */
  void Deliver(const std::string& aName, Duration aDelay, std::function<void()> aTask)
  {
    Later(aDelay, [this, aName, task = std::move(aTask)] {
      if (At(aName).mIsFrozen) {
        Deliver(aName, 50ms, task);
      } else if (!At(aName).mIsDead) {
        task();
      }
    });
  }

  [[nodiscard]] std::uint64_t StoreTime() const
  {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(mNow.time_since_epoch())
        .count());
  }

  void WakeFeeds()
  {
    for (auto& [key, feed] : std::exchange(mFeeds, {})) {
      AnswerFeed(feed);
    }
  }

  void AnswerFeed(const Feed& aFeed)
  {
    if (!At(aFeed.mName).mHasStore) {
      return;
    }
    TableChanges changes;
    changes.mRevision = mRevision;
    changes.mStoreTimeMs = StoreTime();
    for (const auto& [key, row] : mRows) {
      if (row.mRevision > aFeed.mAfter) {
        changes.mRows.push_back({ row, false });
      }
    }
    for (const auto& [key, revision] : mRemoved) {
      if (revision > aFeed.mAfter && !mRows.contains(key)) {
        changes.mRows.push_back({ Row(key, revision), true });
      }
    }
    Deliver(aFeed.mName, 4ms, [hook = aFeed.mHook, changes] { hook(changes); });
  }

  FollowerHooks Hooks(const std::string& aName)
  {
    FollowerHooks hooks;
    hooks.mRead = [this, aName](TimePoint, std::function<void(const ReadResult&)> aHook) {
      At(aName).mStoreCalls++;
      if (!At(aName).mHasStore) {
        Deliver(aName, 900ms, [aHook] { aHook(StoreFailure::NoAnswer); });
        return;
      }
      TableSnapshot snapshot;
      snapshot.mRevision = mRevision;
      snapshot.mStoreTimeMs = StoreTime();
      for (const auto& [key, row] : mRows) {
        snapshot.mRows.push_back(row);
      }
      Deliver(aName, 4ms, [aHook, snapshot] { aHook(snapshot); });
    };
    hooks.mFeed = [this, aName](std::uint64_t aAfter,
                                Duration aWait,
                                TimePoint,
                                std::function<void(const FeedResult&)> aHook) {
      At(aName).mStoreCalls++;
      const std::uint64_t key = ++mNextFeed;
      if (!At(aName).mHasStore) {
        Deliver(aName, aWait + 800ms, [aHook] { aHook(StoreFailure::NoAnswer); });
        return;
      }
      const Feed feed{ aName, aAfter, aHook };
      if (aAfter < mRevision) {
        AnswerFeed(feed);
        return;
      }
      mFeeds[key] = feed;
      Later(aWait, [this, key] {
        const auto found = mFeeds.find(key);
        if (found != mFeeds.end()) {
          AnswerFeed(found->second);
          mFeeds.erase(key);
        }
      });
      // A path that was cut meanwhile swallows the answer.
      Later(aWait + 800ms, [this, aName, aHook] {
        if (!At(aName).mHasStore) {
          Deliver(aName, {}, [aHook] { aHook(StoreFailure::NoAnswer); });
        }
      });
    };
    hooks.mAsk = [this,
                  aName](const std::string& aReader,
                         const RelayRequest& aRequest,
                         Duration aTimeout,
                         TimePoint,
                         std::function<void(const std::optional<RelayAnswer>&)> aHook) {
      mQuestions++;
      const RelayKey key = ++mNextQuestion;
      mOpen[key] = { aName, aHook };
      Deliver(aReader, 2ms, [this, aReader, key, aRequest] {
        At(aReader).mRelay->Ask(key, aRequest, mNow);
      });
      Later(aTimeout, [this, aName, key] { Answer(key, std::nullopt); });
    };
    hooks.mReaders = [this, aName]() -> const ReaderChoice& {
      return mNodes[aName].mChoice;
    };
    hooks.mChanged = [this, aName](const TableRows&) {
      Node& node = At(aName);
      node.mKnownAt.try_emplace(node.mFollower->Copy().Revision(), mNow);
      node.mRelay->OnTable("op", mNow);
    };
    hooks.mConfirmed = [this, aName](TimePoint aAsOf) { At(aName).mAsOf = aAsOf; };
    hooks.mStoreTime = [](std::uint64_t aStoreTimeMs, TimePoint) {
      return std::optional(TimePoint(std::chrono::milliseconds(aStoreTimeMs)));
    };
    hooks.mContact = [this, aName](bool aIsInContact) {
      At(aName).mContacts.push_back(aIsInContact);
      At(aName).mRelay->OnTable("op", mNow);
    };
    hooks.mNow = [this] { return mNow; };
    return hooks;
  }

  void Answer(RelayKey aKey, const std::optional<RelayAnswer>& aAnswer)
  {
    const auto found = mOpen.find(aKey);
    if (found == mOpen.end()) {
      return;
    }
    const auto [name, hook] = found->second;
    mOpen.erase(found);
    Deliver(name, 2ms, [hook = hook, aAnswer] { hook(aAnswer); });
  }

  void Add(const std::string& aName)
  {
    Node& node = mNodes[aName].mNode;
    node.mFollower = std::make_unique<TableFollower>("op", 4500ms, Hooks(aName));
    node.mRelay = std::make_unique<TableRelay>(TableRelayHooks{
      [this](RelayKey aKey, const RelayAnswer& aAnswer) { Answer(aKey, aAnswer); },
      [] { return std::size_t{ 0 }; } });
    node.mRelay->AddTable(
      "op",
      { [this, aName]() -> const TableCopy& { return At(aName).mFollower->Copy(); },
        [this, aName] { return At(aName).mFollower->ReadAsOf(); } });
  }

  std::map<std::string, Entry> mNodes;
  std::map<std::string, StoredRow> mRows;
  std::map<std::string, std::uint64_t> mRemoved;
  std::map<std::uint64_t, Feed> mFeeds;
  std::uint64_t mNextFeed = 0;
  std::map<RelayKey,
           std::pair<std::string, std::function<void(const std::optional<RelayAnswer>&)>>>
    mOpen;
  RelayKey mNextQuestion = 0;
  std::multimap<TimePoint, std::function<void()>> mDue;
};

/** Time within which a configuration has to be in force where there are readers. */
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

// Pattern: hundreds of instances that each follow the tables of the store.
TEST_CASE("an instance with readers learns changes without calls to the store")
{
  RelayWorld world;
  world.Run(6s);
  const std::size_t calls = world.At("asker").mStoreCalls;
  const TimePoint written = world.mNow;
  world.Write("config");
  world.Run(10s);
  REQUIRE(world.Knew("asker", 2, written) < 100ms);
  REQUIRE(world.At("asker").mStoreCalls == calls);
  REQUIRE(world.mNow - world.At("asker").mAsOf < 8s);
}

TEST_CASE("no reader that fails holds a change back past the bound")
{
  struct Case
  {
    const char* mName;
    std::function<void(RelayWorld::Node&)> mFail;
  };
  const Case cases[] = {
    { "dies", [](RelayWorld::Node& aNode) { aNode.mIsDead = true; } },
    { "freezes", [](RelayWorld::Node& aNode) { aNode.mIsFrozen = true; } },
    { "loses the store", [](RelayWorld::Node& aNode) { aNode.mHasStore = false; } },
  };
  for (const Case& failure : cases) {
    for (const bool areBoth : { false, true }) {
      INFO(failure.mName << (areBoth ? ", both" : ", one"));
      RelayWorld world;
      world.Run(6s);
      failure.mFail(world.At("reader-1"));
      if (areBoth) {
        failure.mFail(world.At("reader-2"));
      }
      world.Run(10ms);
      const TimePoint written = world.mNow;
      world.Write("config");
      world.Run(8s);
      REQUIRE(world.Knew("asker", 2, written) < kConfigurationBound);
    }
  }
}

// Guards against a reader that was frozen through a change: its word is older than what
// the asker knows.
TEST_CASE("what an instance knows never goes back to an older reader's word")
{
  RelayWorld world;
  world.Run(6s);
  world.At("reader-1").mHasStore = false;
  world.Write("config");
  world.Run(6s);
  REQUIRE(world.At("asker").mFollower->Copy().Revision() == 2);
  REQUIRE(world.At("reader-1").mFollower->Copy().Revision() == 1);
  std::uint64_t newest = 0;
  for (int turn = 0; turn < 100; turn++) {
    world.Run(100ms);
    const std::uint64_t revision = world.At("asker").mFollower->Copy().Revision();
    REQUIRE(revision >= newest);
    newest = revision;
  }
}

TEST_CASE("a reader that has lost the store refuses, and serves again when it is back")
{
  RelayWorld world;
  world.Run(6s);
  world.At("reader-1").mHasStore = false;
  world.At("reader-2").mHasStore = false;
  world.Run(8s);
  const std::size_t calls = world.At("asker").mStoreCalls;
  REQUIRE(calls > 1);
  world.At("reader-1").mHasStore = true;
  world.At("reader-2").mHasStore = true;
  world.Run(8s);
  const std::size_t after = world.At("asker").mStoreCalls;
  world.Run(20s);
  REQUIRE(world.At("asker").mStoreCalls == after);
}

// Guards against entries that lapse while the store is away: the reader of the entries
// must know of the outage before it sees them gone.
TEST_CASE("the end of an outage is told before the rows that come after it")
{
  RelayWorld world;
  world.Run(6s);
  for (const char* name : { "reader-1", "reader-2", "asker" }) {
    world.At(name).mHasStore = false;
  }
  world.Run(8s);
  REQUIRE(world.At("asker").mContacts == std::vector<bool>{ false });
  std::vector<bool> contactsAtChange;
  world.Remove("config");
  for (const char* name : { "reader-1", "reader-2", "asker" }) {
    world.At(name).mHasStore = true;
  }
  world.Run(4s);
  REQUIRE(world.At("asker").mContacts == std::vector<bool>{ false, true });
  REQUIRE(world.At("asker").mFollower->Copy().Rows().empty());
}

TEST_CASE("after the start no instance feeds before it knows who reads")
{
  RelayWorld world;
  world.Choice("asker") = {};
  world.Run(3s);
  REQUIRE(world.At("asker").mStoreCalls <= 2);
  world.Choice("asker") = { true, false, { "reader-1", "reader-2" } };
  const TimePoint written = world.mNow;
  world.Write("config");
  world.Run(1s);
  REQUIRE(world.Knew("asker", 2, written) < 500ms);
}

TEST_CASE("a copy passes on what changed, removals included, or everything")
{
  TableCopy copy;
  copy.Replace(std::vector{ Row("a", 3), Row("b", 4) }, 10);
  REQUIRE(copy.ChangesAfter(0).mIsFull);
  REQUIRE(copy.ChangesAfter(9).mIsFull);
  REQUIRE(copy.ChangesAfter(10).mRows.empty());
  const std::vector<ChangedRow> changes{ { Row("c", 11), false },
                                         { Row("a", 12), true } };
  REQUIRE(copy.Apply(changes, 12));
  const RelayAnswer after = copy.ChangesAfter(10);
  REQUIRE_FALSE(after.mIsFull);
  REQUIRE(after.mRows.size() == 2);
  REQUIRE(after.mRows[1].mIsRemoved);
  TableCopy other;
  other.Replace(std::vector{ Row("a", 3), Row("b", 4) }, 10);
  REQUIRE(other.Take(after));
  REQUIRE(other.Rows().contains("c"));
  REQUIRE_FALSE(other.Rows().contains("a"));
  // An older snapshot or change changes nothing.
  REQUIRE_FALSE(other.Replace(std::vector{ Row("a", 3) }, 9));
  REQUIRE_FALSE(other.Apply(std::vector<ChangedRow>{ { Row("a", 3), false } }, 11));
  REQUIRE(other.Revision() == 12);
}

// Pattern: a configuration of hundreds of kilobytes changes, and all instances of a zone
// ask their two readers for it at once.
TEST_CASE("a reader answers no more large tables than its memory holds")
{
  constexpr std::size_t kLimit = 8U << 20U;
  TableCopy copy;
  StoredRow row = Row("config", 2);
  row.mValue = std::string(500'000, 'x');
  copy.Replace(std::vector{ row }, 2);
  std::size_t queued = 0;
  std::size_t refused = 0;
  TableRelay relay({ [&](RelayKey, const RelayAnswer& aAnswer) {
                      refused += aAnswer.mIsRefused ? 1 : 0;
                      for (const ChangedRow& change : aAnswer.mRows) {
                        queued += change.mRow.mValue.size();
                      }
                    },
                     [&] { return queued; } });
  const TimePoint now{ std::chrono::hours(1) };
  relay.AddTable(
    "op",
    { [&]() -> const TableCopy& { return copy; }, [&] { return std::optional(now); } });
  for (RelayKey asker = 1; asker <= 100; asker++) {
    relay.Ask(asker, { "op", 0, {} }, now);
  }
  REQUIRE(queued <= kLimit);
  REQUIRE(refused > 80);
  // Askers that know the table are answered all the same.
  refused = 0;
  relay.Ask(101, { "op", 2, {} }, now);
  REQUIRE(refused == 0);
}

TEST_CASE("every instance of a zone names the same two readers, which read themselves")
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

TEST_CASE("few instances, and one that isn't in the list, read for themselves")
{
  REQUIRE(ChooseReaders("instance-1", Instances(12)).mReaders.empty());
  REQUIRE_FALSE(ChooseReaders("instance-1", Instances(12)).mIsReader);
  REQUIRE(ChooseReaders("stranger", Instances(30)).mReaders.empty());
  REQUIRE_FALSE(ChooseReaders("stranger", {}).mIsReader);
}

TEST_CASE("a table is read from the store where no reader gives it")
{
  std::size_t reads = 0;
  std::vector<std::string> asked;
  std::optional<RelayAnswer> given;
  SnapshotReaderHooks hooks;
  hooks.mRead = [&](TimePoint, const std::function<void(const ReadResult&)>& aHook) {
    reads++;
    aHook(TableSnapshot{ { Row("a", 5) }, 5, 0 });
  };
  hooks.mAsk = [&](const std::string& aReader,
                   const RelayRequest&,
                   Duration,
                   TimePoint,
                   const std::function<void(const std::optional<RelayAnswer>&)>& aHook) {
    asked.push_back(aReader);
    aHook(given);
  };
  hooks.mReaders = [] { return std::vector<std::string>{ "reader-1", "reader-2" }; };
  SnapshotReader reader("instances", hooks);
  std::size_t rows = 0;
  const auto take = [&](const ReadResult& aResult) {
    rows = std::get<TableSnapshot>(aResult).mRows.size();
  };
  reader.Read({}, take);
  REQUIRE(asked.size() == 2);
  REQUIRE(reads == 1);
  REQUIRE(rows == 1);
  REQUIRE(reader.ReadAsOf());
  given = RelayAnswer{ false, false, { { Row("b", 6), false } }, 6, {}, {} };
  reader.Read({}, take);
  REQUIRE(reads == 1);
  REQUIRE(rows == 2);
  // What came from a reader is not passed on as read from the store.
  REQUIRE_FALSE(reader.ReadAsOf());
  // A reader that is behind is of no use.
  given->mRevision = 3;
  reader.Read({}, take);
  REQUIRE(reads == 2);
  // Nor is one that was frozen for longer than instances take to leave.
  given->mRevision = 9;
  given->mAge = 10min;
  reader.Read({}, take);
  REQUIRE(reads == 3);
}
