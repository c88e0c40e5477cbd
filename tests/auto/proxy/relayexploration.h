#pragma once

#include "proxy/relaysimulation.h"
#include "proxy/seedednumbers.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** A sequence of returns of the store, faults and changes of a table that many instances
 * follow, each from the source that it chooses itself.
 *
 * Checks that the version of a copy never decreases, that a copy holds the rows that the
 * store had at its version and is no older than it claims, that the newest rows arrive in
 * time, and that no instance sends more calls to the store than its part. */
class RelayExploration
{
public:
  explicit RelayExploration(std::uint64_t aSeed)
    : mSeed(aSeed)
    , mRandom(aSeed)
    , mHasOnlyReturns(mRandom.Happens(300'000))
  {
    mSimulation.mIncarnation = 4;
    const std::uint64_t count = 3 + mRandom.Below(18);
    for (std::uint64_t index = 0; index < count; index++) {
      Start();
    }
    Record();
  }

  /** @return what a check has found; empty if all passed */
  std::string Run()
  {
    RunFor(4s);
    ScheduleReturns();
    mEnd = mSimulation.mNow + kFaults;
    while (mSimulation.mNow < mEnd && mViolation.empty()) {
      if (!mHasOnlyReturns) {
        InjectFault();
      }
      RunFor(mRandom.Between(100ms, 900ms));
    }
    EndFaults();
    RunFor(mSimulation.IsAway() ? kMaxAway : 0ms);
    ChangeRow();
    RunFor(mHasOnlyReturns ? kConfigurationBound : kStabilityWindow);
    for (const std::string& name : Running()) {
      const TableCopy& copy = mSimulation.NodeOf(name).mFollower->Copy();
      const bool isNewest = copy.Version() == Newest();
      if (!isNewest) {
        Report(fmt::format("{} has version {}, the store has {}",
                           name,
                           Text(copy.Version()),
                           Text(Newest())));
      }
    }
    return mViolation;
  }

private:
  using Rows = std::map<std::string, StoredRow>;

  struct Observed
  {
    StoreRevision mVersion;
    TimePoint mAsOf;
    /** Times of the calls to the store in the last second. */
    std::deque<TimePoint> mCalls;
    std::size_t mCallCount = 0;
  };

  static constexpr Duration kFaults = 12s;
  static constexpr Duration kMaxAway = 1500ms;
  // Followers wait for 4.5 s for a change, and a lost call is repeated 1.5 s later.
  static constexpr Duration kStabilityWindow = 6s;
  // Time until a configuration is in force where there are readers.
  static constexpr Duration kConfigurationBound = 5s;
  // The smallest store of a deployment allows 2,000 reads a second for three tables.
  static constexpr std::size_t kReadsPerSecond = 2000;
  static constexpr std::size_t kTables = 3;
  static constexpr std::size_t kMaxInstancesWithoutReaders = 12;

  static std::string Text(StoreRevision aVersion)
  {
    return fmt::format("{}/{}", aVersion.mIncarnation, aVersion.mRevision);
  }
  [[nodiscard]] StoreRevision Newest() const
  {
    return { mSimulation.mIncarnation, mSimulation.mRevision };
  }

  void Note(const std::string& aText)
  {
    mNotes.push_back(fmt::format("\n  {} ms: {}", Milliseconds(), aText));
  }
  [[nodiscard]] std::int64_t Milliseconds() const
  {
    return (mSimulation.mNow.time_since_epoch() - std::chrono::hours(1)) / 1ms;
  }
  void Report(const std::string& aText)
  {
    if (mViolation.empty()) {
      mViolation = fmt::format("seed {}, {} ms: {}", mSeed, Milliseconds(), aText);
      const std::size_t first = mNotes.size() - std::min<std::size_t>(mNotes.size(), 30);
      for (std::size_t index = first; index < mNotes.size(); index++) {
        mViolation += mNotes[index];
      }
    }
  }

  /** Records the state of the store, of which copies may have any later. */
  void Record()
  {
    mStates[Newest()] = mSimulation.Rows();
    mVersions.emplace_back(mSimulation.mNow, Newest());
  }

  void ChangeRow()
  {
    const std::string key = fmt::format("row-{}", mRandom.Below(6));
    if (mSimulation.Rows().contains(key) && mRandom.Happens(300'000)) {
      mSimulation.Remove(key);
    } else {
      mSimulation.Write(key, fmt::format(" change {}", ++mChanges));
    }
    Record();
  }

  void ScheduleReturns()
  {
    const std::uint64_t count = 1 + mRandom.Below(3);
    for (std::uint64_t index = 0; index < count; index++) {
      mReturns.insert(mSimulation.mNow + mRandom.Between(0ms, kFaults - 10ms));
    }
    if (count > 1 && mRandom.Happens(500'000)) {
      const TimePoint second = *mReturns.begin() + mRandom.Between(10ms, 2s);
      mReturns.insert(std::min(second, mSimulation.mNow + kFaults - 10ms));
    }
  }

  /** Returns the store to a state of 1 to 20 s ago, as far as the sequence reaches. */
  void Return()
  {
    const TimePoint copiedAt = mSimulation.mNow - mRandom.Between(1s, 20s);
    const auto isOlder = [&](const auto& aEntry) { return aEntry.first <= copiedAt; };
    const auto found = std::find_if(mVersions.rbegin(), mVersions.rend(), isOlder);
    const StoreRevision copied =
      found == mVersions.rend() ? mVersions.front().second : found->second;
    // States that a later return has dropped are not in the history any more.
    const std::uint64_t revision = std::min(copied.mRevision, mSimulation.mRevision);
    const Duration away =
      mRandom.Happens(300'000) ? Duration() : mRandom.Between(5ms, kMaxAway);
    Note(fmt::format("the store returns from {} to revision {}, away for {} ms",
                     Text(Newest()),
                     revision,
                     away / 1ms));
    mSimulation.ReturnTo(revision, away);
    Record();
  }

  void Start()
  {
    const std::string name = fmt::format("instance-{}", mZones.size());
    mZones[name] = fmt::format("zone-{}", mZones.size() % 3);
    mSimulation.StartInstance(name, {});
    At(mRandom.Between(10ms, 2s), [this] { UpdateChoices(); });
  }

  [[nodiscard]] std::vector<std::string> Running()
  {
    std::vector<std::string> names;
    for (const auto& [name, zone] : mZones) {
      if (!mSimulation.NodeOf(name).mIsDead) {
        names.push_back(name);
      }
    }
    return names;
  }

  /** Gives all instances a new list of instances. */
  void UpdateChoices()
  {
    std::vector<RegisteredInstance> instances;
    for (const std::string& name : Running()) {
      instances.push_back({ name, mZones.at(name), {}, 1, false });
    }
    for (const RegisteredInstance& instance : instances) {
      mSimulation.ReaderChoiceOf(instance.mInstance) =
        ChooseReaders(instance.mInstance, instances);
    }
  }

  void At(Duration aDelay, std::function<void()> aTask)
  {
    mTasks.emplace(mSimulation.mNow + aDelay, std::move(aTask));
  }

  std::string AnyRunning()
  {
    const std::vector<std::string> names = Running();
    return names[mRandom.Below(names.size())];
  }

  void InjectFault()
  {
    const std::string name = AnyRunning();
    RelaySimulation::Node& node = mSimulation.NodeOf(name);
    switch (mRandom.Below(7)) {
      case 0:
      case 1:
        Note(name + " is cut off from the store");
        node.mReachesStore = false;
        return At(mRandom.Between(100ms, 8s), [this, name] { Heal(name); });
      case 2:
        Note("all instances are cut off from the store");
        for (const std::string& other : Running()) {
          mSimulation.NodeOf(other).mReachesStore = false;
          At(mRandom.Between(100ms, 4s), [this, other] { Heal(other); });
        }
        return;
      case 3:
      case 4:
        Note(name + " is frozen");
        node.mIsFrozen = true;
        return At(mRandom.Between(100ms, 6s),
                  [this, name] { mSimulation.NodeOf(name).mIsFrozen = false; });
      case 5:
        if (Running().size() < 3) {
          return;
        }
        Note(name + " dies");
        node.mIsDead = true;
        return At(mRandom.Between(100ms, 10s), [this] { UpdateChoices(); });
      default:
        if (mZones.size() < 24) {
          Start();
        }
    }
  }

  void Heal(const std::string& aName) { mSimulation.NodeOf(aName).mReachesStore = true; }

  void EndFaults()
  {
    Note("all faults end");
    for (const std::string& name : Running()) {
      mSimulation.NodeOf(name).mIsFrozen = false;
      Heal(name);
    }
    UpdateChoices();
  }

  void RunFor(Duration aTime)
  {
    const TimePoint end = mSimulation.mNow + aTime;
    while (mSimulation.mNow < end && mViolation.empty()) {
      mSimulation.Run(5ms);
      while (!mTasks.empty() && mTasks.begin()->first <= mSimulation.mNow) {
        const auto task = std::move(mTasks.begin()->second);
        mTasks.erase(mTasks.begin());
        task();
      }
      while (!mReturns.empty() && *mReturns.begin() <= mSimulation.mNow) {
        mReturns.erase(mReturns.begin());
        Return();
      }
      const bool isQuiet = mEnd != TimePoint() && mSimulation.mNow >= mEnd;
      if (!isQuiet && !mSimulation.IsAway() && mSimulation.mNow >= mNextChange) {
        ChangeRow();
        mNextChange = mSimulation.mNow + mRandom.Between(20ms, 1500ms);
      }
      for (const auto& [name, zone] : mZones) {
        Check(name);
      }
    }
  }

  void Check(const std::string& aName)
  {
    RelaySimulation::Node& node = mSimulation.NodeOf(aName);
    const TableCopy& copy = node.mFollower->Copy();
    Observed& observed = mObserved[aName];
    CheckCalls(aName, node, observed);
    if (copy.Version() < observed.mVersion) {
      Report(fmt::format("{} goes back from version {} to {}",
                         aName,
                         Text(observed.mVersion),
                         Text(copy.Version())));
    }
    if (copy.Version() != observed.mVersion) {
      observed.mVersion = copy.Version();
      CheckRows(aName, copy);
    }
    if (node.mFollower->AsOf() != observed.mAsOf) {
      observed.mAsOf = node.mFollower->AsOf();
      CheckAge(aName, observed);
    }
  }

  void CheckRows(const std::string& aName, const TableCopy& aCopy)
  {
    const auto state = mStates.find(aCopy.Version());
    const auto isSame = [](const auto& aLeft, const auto& aRight) {
      return aLeft.first == aRight.first && aLeft.second.mValue == aRight.second.mValue &&
             aLeft.second.mRevision == aRight.second.mRevision;
    };
    const bool isEqual = state != mStates.end() && std::equal(aCopy.Rows().begin(),
                                                              aCopy.Rows().end(),
                                                              state->second.begin(),
                                                              state->second.end(),
                                                              isSame);
    if (!isEqual) {
      Report(fmt::format("{} has other rows than the store had at version {}",
                         aName,
                         Text(aCopy.Version())));
    }
  }

  /** Checks that a copy isn't older than the state of the store at the time for which it
   * claims to be the newest. */
  void CheckAge(const std::string& aName, const Observed& aObserved)
  {
    const auto isBefore = [&](const auto& aEntry) {
      return aEntry.first < aObserved.mAsOf;
    };
    const auto stored = std::find_if(mVersions.rbegin(), mVersions.rend(), isBefore);
    if (stored != mVersions.rend() && aObserved.mVersion < stored->second) {
      Report(fmt::format("{} claims that version {} was the newest one after {}",
                         aName,
                         Text(aObserved.mVersion),
                         Text(stored->second)));
    }
  }

  void CheckCalls(const std::string& aName,
                  const RelaySimulation::Node& aNode,
                  Observed& aObserved)
  {
    while (aObserved.mCallCount < aNode.mStoreCalls) {
      aObserved.mCallCount++;
      aObserved.mCalls.push_back(mSimulation.mNow);
    }
    while (!aObserved.mCalls.empty() &&
           mSimulation.mNow - aObserved.mCalls.front() > 1s) {
      aObserved.mCalls.pop_front();
    }
    const std::size_t instances = std::max(mZones.size(), kMaxInstancesWithoutReaders);
    const std::size_t limit = kReadsPerSecond / (instances * kTables);
    if (aObserved.mCalls.size() > limit) {
      Report(fmt::format("{} sends {} calls to the store in a second, of {} allowed",
                         aName,
                         aObserved.mCalls.size(),
                         limit));
    }
  }

  std::uint64_t mSeed;
  SeededNumbers mRandom;
  /** The store returns, and nothing else fails. */
  bool mHasOnlyReturns;
  RelaySimulation mSimulation{ RelaySimulation::Deployment::None };
  /** Zone of each instance, also of dead ones. */
  std::map<std::string, std::string> mZones;
  std::map<StoreRevision, Rows> mStates;
  /** Version of the store since each time. */
  std::vector<std::pair<TimePoint, StoreRevision>> mVersions;
  std::map<std::string, Observed> mObserved;
  std::multimap<TimePoint, std::function<void()>> mTasks;
  std::multiset<TimePoint> mReturns;
  TimePoint mNextChange;
  TimePoint mEnd;
  std::uint64_t mChanges = 0;
  std::vector<std::string> mNotes;
  std::string mViolation;
};

} // namespace papayaspindle::proxy
