#pragma once

#include "proxy/samplerow.h"
#include "proxy/tables/tablefollower.h"
#include "proxy/tables/tablerelay.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/** Simulates a store with one table, and instances that follow the table and relay it, on
 * simulated time. */
class RelaySimulation
{
public:
  struct Node
  {
    std::unique_ptr<TableFollower> mFollower;
    std::unique_ptr<TableRelay> mRelay;
    bool mReachesStore = true;
    bool mIsFrozen = false;
    bool mIsDead = false;
    std::size_t mStoreCalls = 0;
    std::vector<bool> mContactChanges;
    /** When each revision was received. */
    std::map<std::uint64_t, TimePoint> mReceivedAt;
    TimePoint mAsOf;
    /** Newest incarnation of the store that the instance knows. */
    std::uint64_t mIncarnation = 0;
  };

  /** Instances at the start. */
  enum class Deployment : std::uint8_t
  {
    None,
    /** Two readers, and a follower that queries them. */
    OneZone,
  };

  explicit RelaySimulation(Deployment aDeployment = Deployment::OneZone)
  {
    mRows["config"] = Row("config", 1);
    mHistory[1] = mRows;
    if (aDeployment == Deployment::None) {
      return;
    }
    for (const char* name : { "reader-1", "reader-2", "follower" }) {
      AddNode(name);
    }
    mNodes["reader-1"].mChoice = { true, true, {}, {} };
    mNodes["reader-2"].mChoice = { true, true, {}, {} };
    mNodes["follower"].mChoice = { true, false, { "reader-1", "reader-2" }, {} };
    for (auto& [name, node] : mNodes) {
      node.mNode.mFollower->SetActive(true, mNow);
    }
  }

  /** Starts an instance. */
  void StartInstance(const std::string& aName, const ReaderChoice& aChoice)
  {
    AddNode(aName);
    mNodes[aName].mChoice = aChoice;
    mNodes[aName].mNode.mFollower->SetActive(true, mNow);
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += 5ms;
      while (!mScheduledTasks.empty() && mScheduledTasks.begin()->first <= mNow) {
        const auto task = std::move(mScheduledTasks.begin()->second);
        mScheduledTasks.erase(mScheduledTasks.begin());
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

  void Write(const std::string& aKey, const std::string& aSuffix = {})
  {
    mRows[aKey] = Row(aKey, ++mRevision);
    mRows[aKey].mValue += aSuffix;
    mHistory[mRevision] = mRows;
    WakeFeeds();
  }

  void Remove(const std::string& aKey)
  {
    mRows.erase(aKey);
    mRemoved[aKey] = ++mRevision;
    mHistory[mRevision] = mRows;
    WakeFeeds();
  }

  /** Returns the store to its state at a revision, from which it gives out revisions
   * again, and lets it reject all calls for a time. */
  void ReturnTo(std::uint64_t aRevision, Duration aAway = {})
  {
    mIncarnation++;
    mAwayUntil = mNow + aAway;
    mRevision = aRevision;
    mRows = mHistory.at(aRevision);
    mHistory.erase(mHistory.upper_bound(aRevision), mHistory.end());
    std::erase_if(mRemoved,
                  [&](const auto& aEntry) { return aEntry.second > aRevision; });
    for (auto& [key, feed] : std::exchange(mFeeds, {})) {
      Deliver(feed.mName, 4ms, [hook = feed.mHook] { hook(StoreFailure::NoAnswer); });
    }
  }

  Node& NodeOf(const std::string& aName) { return mNodes[aName].mNode; }
  [[nodiscard]] const std::map<std::string, StoredRow>& Rows() const { return mRows; }
  [[nodiscard]] bool IsAway() const { return mNow < mAwayUntil; }

  /** @return how long after its write the instance received a revision */
  Duration PropagationDelay(const std::string& aName,
                            std::uint64_t aRevision,
                            TimePoint aWrittenAt)
  {
    for (const auto& [revision, at] : NodeOf(aName).mReceivedAt) {
      if (revision >= aRevision) {
        return at - aWrittenAt;
      }
    }
    return Duration::max();
  }

  TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mRevision = 1;
  /** Incarnation that the store announces; 0 for none. */
  std::uint64_t mIncarnation = 0;
  std::size_t mReaderQueries = 0;
  ReaderChoice& ReaderChoiceOf(const std::string& aName) { return mNodes[aName].mChoice; }

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

  void Schedule(Duration aDelay, std::function<void()> aTask)
  {
    mScheduledTasks.emplace(mNow + aDelay, std::move(aTask));
  }

  /** Delivers an answer to an instance after a delay: once it isn't frozen, and not at
   * all if it is dead. */
  void Deliver(const std::string& aName, Duration aDelay, std::function<void()> aTask)
  {
    Schedule(aDelay, [this, aName, task = std::move(aTask)] {
      if (NodeOf(aName).mIsFrozen) {
        Deliver(aName, 50ms, task);
      } else if (!NodeOf(aName).mIsDead) {
        task();
      }
    });
  }

  void LearnIncarnation(const std::string& aName, std::uint64_t aIncarnation)
  {
    Node& node = NodeOf(aName);
    if (aIncarnation > node.mIncarnation) {
      node.mIncarnation = aIncarnation;
      node.mFollower->OnIncarnation(aIncarnation, mNow);
    }
  }

  /** Delivers an answer of the store, which counts as lost if the instance knows a newer
   * incarnation then. */
  template<typename Result>
  void DeliverAnswer(const std::string& aName,
                     const std::function<void(const Result&)>& aHook,
                     const std::type_identity_t<Result>& aResult)
  {
    Deliver(aName, 4ms, [this, aName, aHook, aResult, incarnation = mIncarnation] {
      LearnIncarnation(aName, incarnation);
      const bool isOfNewest = incarnation == NodeOf(aName).mIncarnation;
      aHook(isOfNewest ? aResult : Result(StoreFailure::NoAnswer));
    });
  }

  /** Lets a call fail if the store is out of reach or away. @return whether it fails */
  template<typename Hook>
  bool Fails(const std::string& aName, Duration aTimeout, const Hook& aHook)
  {
    const bool isReached = NodeOf(aName).mReachesStore;
    if (isReached && !IsAway()) {
      return false;
    }
    const auto failure = isReached ? StoreFailure::Refused : StoreFailure::NoAnswer;
    Deliver(aName, isReached ? 4ms : aTimeout, [aHook, failure] { aHook(failure); });
    return true;
  }

  [[nodiscard]] StoredRow Stamped(StoredRow aRow) const
  {
    aRow.mIncarnation = mIncarnation;
    return aRow;
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
    if (!NodeOf(aFeed.mName).mReachesStore) {
      return;
    }
    if (aFeed.mAfter > mRevision) {
      DeliverAnswer(aFeed.mName, aFeed.mHook, HistoryLost());
      return;
    }
    TableChanges changes;
    changes.mRevision = mRevision;
    changes.mIncarnation = mIncarnation;
    changes.mStoreTimeMs = StoreTime();
    for (const auto& [key, row] : mRows) {
      if (row.mRevision > aFeed.mAfter) {
        changes.mRows.push_back({ Stamped(row), false });
      }
    }
    for (const auto& [key, revision] : mRemoved) {
      if (revision > aFeed.mAfter && !mRows.contains(key)) {
        changes.mRows.push_back({ Stamped(Row(key, revision)), true });
      }
    }
    DeliverAnswer(aFeed.mName, aFeed.mHook, changes);
  }

  void FeedStore(const std::string& aName,
                 std::uint64_t aAfter,
                 Duration aWait,
                 const std::function<void(const FeedResult&)>& aHook)
  {
    NodeOf(aName).mStoreCalls++;
    const std::uint64_t key = ++mNextFeed;
    if (Fails(aName, aWait + 800ms, aHook)) {
      return;
    }
    const auto isAnswered = std::make_shared<bool>(false);
    const Feed feed{ aName, aAfter, [isAnswered, aHook](const FeedResult& aResult) {
                      *isAnswered = true;
                      aHook(aResult);
                    } };
    if (aAfter != mRevision) {
      AnswerFeed(feed);
      return;
    }
    mFeeds[key] = feed;
    Schedule(aWait, [this, key] {
      const auto found = mFeeds.find(key);
      if (found != mFeeds.end()) {
        AnswerFeed(found->second);
        mFeeds.erase(key);
      }
    });
    // The call fails if the network path was cut in the meantime.
    Schedule(aWait + 800ms, [this, aName, isAnswered, aHook] {
      if (!*isAnswered) {
        Deliver(aName, {}, [aHook] { aHook(StoreFailure::NoAnswer); });
      }
    });
  }

  FollowerHooks Hooks(const std::string& aName)
  {
    FollowerHooks hooks;
    hooks.mRead = [this, aName](TimePoint, std::function<void(const ReadResult&)> aHook) {
      NodeOf(aName).mStoreCalls++;
      if (Fails(aName, 900ms, aHook)) {
        return;
      }
      TableSnapshot snapshot;
      snapshot.mRevision = mRevision;
      snapshot.mStoreTimeMs = StoreTime();
      snapshot.mIncarnation = mIncarnation;
      for (const auto& [key, row] : mRows) {
        snapshot.mRows.push_back(Stamped(row));
      }
      DeliverAnswer(aName, aHook, snapshot);
    };
    hooks.mFeed = [this, aName](std::uint64_t aAfter,
                                Duration aWait,
                                TimePoint,
                                std::function<void(const FeedResult&)> aHook) {
      FeedStore(aName, aAfter, aWait, aHook);
    };
    hooks.mQueryReader =
      [this, aName](const std::string& aReader,
                    const RelayRequest& aRequest,
                    Duration aTimeout,
                    TimePoint,
                    std::function<void(const std::optional<RelayAnswer>&)> aHook) {
        mReaderQueries++;
        const RelayKey key = ++mNextRequest;
        mOpenRequests[key] = { aName, aHook };
        Deliver(aReader, 2ms, [this, aReader, key, aRequest] {
          NodeOf(aReader).mRelay->AddRequest(key, aRequest, mNow);
        });
        Schedule(aTimeout, [this, aName, key] { Answer(key, std::nullopt); });
      };
    hooks.mReaders = [this, aName]() -> const ReaderChoice& {
      return mNodes[aName].mChoice;
    };
    hooks.mOnRowsChanged = [this, aName](const TableRows&) {
      Node& node = NodeOf(aName);
      node.mReceivedAt.try_emplace(node.mFollower->Copy().Revision(), mNow);
      node.mRelay->OnTableChanged("op", mNow);
    };
    hooks.mOnRowsConfirmed = [this, aName](TimePoint aAsOf) {
      NodeOf(aName).mAsOf = aAsOf;
    };
    hooks.mEarliestLocalTime = [](std::uint64_t aStoreTimeMs, TimePoint) {
      return std::optional(TimePoint(std::chrono::milliseconds(aStoreTimeMs)));
    };
    hooks.mOnContactChanged = [this, aName](bool aIsInContact) {
      NodeOf(aName).mContactChanges.push_back(aIsInContact);
      NodeOf(aName).mRelay->OnTableChanged("op", mNow);
    };
    hooks.mOnIncarnation =
      std::bind_front(&RelaySimulation::LearnIncarnation, this, aName);
    hooks.mNow = [this] { return mNow; };
    return hooks;
  }

  void Answer(RelayKey aKey, const std::optional<RelayAnswer>& aAnswer)
  {
    const auto found = mOpenRequests.find(aKey);
    if (found == mOpenRequests.end()) {
      return;
    }
    const auto [name, hook] = found->second;
    mOpenRequests.erase(found);
    Deliver(name, 2ms, [hook = hook, aAnswer] { hook(aAnswer); });
  }

  void AddNode(const std::string& aName)
  {
    Node& node = mNodes[aName].mNode;
    node.mFollower = std::make_unique<TableFollower>("op", 4500ms, Hooks(aName));
    node.mRelay = std::make_unique<TableRelay>(TableRelayHooks{
      [this](RelayKey aKey, const RelayAnswer& aAnswer) { Answer(aKey, aAnswer); },
      [] { return std::size_t{ 0 }; },
      std::bind_front(&RelaySimulation::LearnIncarnation, this, aName) });
    node.mRelay->AddTable(
      "op",
      { [this, aName]() -> const TableCopy& { return NodeOf(aName).mFollower->Copy(); },
        [this, aName] { return NodeOf(aName).mFollower->ReadAsOf(); },
        nullptr });
  }

  std::map<std::string, Entry> mNodes;
  std::map<std::string, StoredRow> mRows;
  std::map<std::string, std::uint64_t> mRemoved;
  /** Rows of the table after each revision. */
  std::map<std::uint64_t, std::map<std::string, StoredRow>> mHistory;
  std::map<std::uint64_t, Feed> mFeeds;
  std::uint64_t mNextFeed = 0;
  std::map<RelayKey,
           std::pair<std::string, std::function<void(const std::optional<RelayAnswer>&)>>>
    mOpenRequests;
  RelayKey mNextRequest = 0;
  TimePoint mAwayUntil;
  std::multimap<TimePoint, std::function<void()>> mScheduledTasks;
};

} // namespace papayaspindle::proxy
