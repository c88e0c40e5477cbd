#pragma once

#include "exploration/explorationcontext.h"
#include "exploration/simulatedgroup.h"
#include "exploration/simulatedinstance.h"
#include "exploration/storehistory.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle::exploration {

/** The shared store and the platform's promotion call. Answers can be lost or late, and
 * effects can be late. A store that announces its incarnation may return to an older
 * state, and then holds the operator's configuration, too. */
class SimulatedStore
{
public:
  using Instances = std::map<std::string, std::shared_ptr<SimulatedInstance>>;
  using Groups = std::map<std::string, std::unique_ptr<SimulatedGroup>>;

  SimulatedStore(ExplorationContext& aContext,
                 const Instances& aInstances,
                 const Groups& aGroups)
    : mContext(aContext)
    , mInstances(aInstances)
    , mGroups(aGroups)
  {
  }

  void Read(SimulatedInstance& aInstance,
            std::string_view aTable,
            StoreHook<proxy::ReadResult> aHook)
  {
    const auto process = aInstance.shared_from_this();
    std::string table(aTable);
    Duration delay = RandomDelay();
    if (!mContext.mNetwork.CanReach(aInstance.Name(), kStoreName)) {
      // Another instance reads the store on behalf of this one.
      if (!HasSubstitute(aInstance)) {
        AnswerLater(process, 900ms, aHook, proxy::StoreFailure::NoAnswer);
        return;
      }
      delay += mContext.mRandom.Between(5ms, 300ms);
    }
    if (mContext.mRandom.Chance(mContext.mLostAnswers)) {
      AnswerLater(process, 900ms, aHook, proxy::StoreFailure::NoAnswer);
      return;
    }
    mContext.mClock.After(delay, [this, process, table, aHook] {
      if (IsAway()) {
        AnswerLater(process, 900ms, aHook, proxy::StoreFailure::NoAnswer);
        return;
      }
      const proxy::ReadResult result = proxy::TableSnapshot{
        RowsOf(table), mState.mRevision, StoreTime(), {}, mIncarnation
      };
      AnswerLater(process, RandomDelay(), aHook, result);
    });
  }

  void Write(SimulatedInstance& aInstance,
             const proxy::ConditionalWrite& aWrite,
             StoreHook<proxy::WriteResult> aHook)
  {
    const auto process = aInstance.shared_from_this();
    if (!mContext.mNetwork.CanReach(aInstance.Name(), kStoreName)) {
      const bool isRefused = mContext.mRandom.Chance(500);
      AnswerLater(process,
                  isRefused ? 20ms : 900ms,
                  aHook,
                  isRefused ? proxy::StoreFailure::Refused
                            : proxy::StoreFailure::NoAnswer);
      return;
    }
    if (mContext.mRandom.Chance(mContext.mLostAnswers)) {
      const Duration delay = mContext.mRandom.Chance(300) ? 2500ms : 6ms;
      mContext.mClock.After(delay, [this, aWrite] { ApplyOnceBack(aWrite); });
      AnswerLater(process, 1500ms, aHook, proxy::StoreFailure::NoAnswer);
      return;
    }
    mContext.mClock.After(RandomDelay(), [this, process, aWrite, aHook] {
      if (IsAway()) {
        ApplyOnceBack(aWrite);
        AnswerLater(process, 1500ms, aHook, proxy::StoreFailure::NoAnswer);
        return;
      }
      AnswerLater(process, RandomDelay(), aHook, Apply(aWrite));
    });
  }

  /** Announces incarnations from now on, and holds the operator's configuration. */
  void AnnounceIncarnation() { mIncarnation = kFirstIncarnation; }
  [[nodiscard]] std::uint64_t Incarnation() const { return mIncarnation; }
  [[nodiscard]] bool IsAway() const { return mContext.mClock.Now() < mAwayUntil; }
  [[nodiscard]] const std::shared_ptr<const proxy::ProxyConfiguration>& Configuration()
    const
  {
    return mState.mConfiguration;
  }

  /** Writes the operator's configuration, once the store is there. */
  void WriteConfiguration(const std::shared_ptr<const proxy::ProxyConfiguration>& aNew)
  {
    if (IsAway()) {
      mContext.mClock.At(mAwayUntil, [this, aNew] { WriteConfiguration(aNew); });
      return;
    }
    const auto& stored = mState.mConfiguration;
    if (stored == nullptr || stored->mVersion < aNew->mVersion) {
      mState.mConfiguration = aNew;
      mState.mRevision++;
    }
  }

  /** Returns the store to a state of the past, after it was away for a time.
   *
   * @return the directory of that state */
  std::map<std::string, std::vector<proxy::MemberEntry>> ReturnTo(TimePoint aTime,
                                                                  Duration aAway)
  {
    const std::uint64_t lost = mState.mRevision;
    mState = mHistory.ReturnTo(aTime);
    mIncarnation++;
    mAwayUntil = mContext.mClock.Now() + aAway;
    mContext.mJournal.Note(kStoreName,
                           fmt::format("returns from revision {} to {} in incarnation {}",
                                       lost,
                                       mState.mRevision,
                                       mIncarnation));
    for (const auto& [name, group] : mGroups) {
      mContext.mJournal.Note(name,
                             fmt::format("the store returns from revision {} to {} in "
                                         "incarnation {}, and is away for {} ms",
                                         lost,
                                         mState.mRevision,
                                         mIncarnation,
                                         aAway / 1ms));
    }
    return mState.mDirectory;
  }

  void Promote(SimulatedInstance& aInstance,
               const proxy::PromotionCall& aCall,
               std::function<void(proxy::PromotionAnswer)> aHook)
  {
    const auto process = aInstance.shared_from_this();
    const auto group = mGroups.find(aCall.mGroup);
    if (group == mGroups.end()) {
      AnswerLater(process, RandomDelay(), aHook, proxy::PromotionAnswer::Refused);
      return;
    }
    SimulatedGroup& called = *group->second;
    if (mContext.mRandom.Chance(mContext.mLostAnswers)) {
      mContext.mClock.After(mContext.mRandom.Between(5ms, 1200ms),
                            [&called, aCall] { called.Promote(aCall); });
      AnswerLater(process, 1200ms, aHook, proxy::PromotionAnswer::NoAnswer);
      return;
    }
    mContext.mClock.After(RandomDelay(), [this, process, &called, aCall, aHook] {
      AnswerLater(process, RandomDelay(), aHook, called.Promote(aCall));
    });
  }

  /** Feeds the coordination rows and the directory to the instances; called every 100 ms.
   */
  void Feed()
  {
    std::vector<proxy::MemberEntry> entries;
    mState.mDirectory.clear();
    for (const auto& [name, group] : mGroups) {
      const auto listed = group->Entries();
      entries.insert(entries.end(), listed.begin(), listed.end());
      mState.mDirectory[name] = listed;
    }
    for (proxy::MemberEntry& entry : entries) {
      entry.mIncarnation = mIncarnation;
    }
    if (mIncarnation != 0 && !IsAway()) {
      mState.mAt = mContext.mClock.Now();
      mHistory.Keep(mState);
    }
    for (const auto& [name, instance] : mInstances) {
      if (IsAway()) {
        instance->Post([process = instance] { process->OnStoreLost(); });
        continue;
      }
      const bool isReached = mContext.mNetwork.CanReach(name, kStoreName);
      if (!isReached && !HasSubstitute(*instance)) {
        instance->Post([process = instance] { process->OnStoreLost(); });
        continue;
      }
      const Duration delay =
        isReached ? RandomDelay() + 10ms : mContext.mRandom.Between(20ms, 400ms);
      mContext.mClock.After(delay,
                            [process = instance,
                             entries,
                             configuration = mState.mConfiguration,
                             rows = RowsOf(std::string(proxy::kCoordinationTable)),
                             incarnation = mIncarnation,
                             asOf = mContext.mClock.Now()] {
                              process->Post([=] {
                                if (!process->AcceptsFeedOf(incarnation)) {
                                  return;
                                }
                                if (configuration != nullptr) {
                                  process->OnConfiguration(*configuration);
                                }
                                process->OnMembers(entries);
                                process->OnRowsFed(rows, asOf);
                              });
                            });
    }
  }

private:
  static constexpr std::uint64_t kFirstIncarnation = 3;

  template<typename Result>
  void AnswerLater(const std::shared_ptr<SimulatedInstance>& aProcess,
                   Duration aDelay,
                   const StoreHook<Result>& aHook,
                   const std::type_identity_t<Result>& aResult)
  {
    const bool isAnswer = !std::holds_alternative<proxy::StoreFailure>(aResult);
    const std::uint64_t incarnation = isAnswer ? mIncarnation : 0;
    mContext.mClock.After(aDelay, [aProcess, aHook, aResult, incarnation] {
      aProcess->Post([aHook, aResult, incarnation] { aHook(incarnation, aResult); });
    });
  }
  void AnswerLater(const std::shared_ptr<SimulatedInstance>& aProcess,
                   Duration aDelay,
                   const std::function<void(proxy::PromotionAnswer)>& aHook,
                   proxy::PromotionAnswer aResult)
  {
    mContext.mClock.After(aDelay, [aProcess, aHook, aResult] {
      aProcess->Post([aHook, aResult] { aHook(aResult); });
    });
  }

  Duration RandomDelay()
  {
    return mContext.mRandom.Chance(mContext.mLateAnswers)
             ? mContext.mRandom.Between(50ms, 800ms)
             : mContext.mRandom.Between(1ms, 6ms);
  }

  /** @return whether another instance can read the store for this one */
  bool HasSubstitute(const SimulatedInstance& aInstance) const
  {
    return std::any_of(mInstances.begin(), mInstances.end(), [&](const auto& aOther) {
      return aOther.first != aInstance.Name() && aOther.second->IsRunning() &&
             !aOther.second->IsSuspended() &&
             mContext.mNetwork.CanReach(aOther.first, kStoreName) &&
             mContext.mNetwork.CanReach(aOther.first, aInstance.Name());
    });
  }

  std::uint64_t StoreTime() const
  {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
        mContext.mClock.Now().time_since_epoch())
        .count());
  }

  std::vector<proxy::StoredRow> RowsOf(const std::string& aTable) const
  {
    std::vector<proxy::StoredRow> rows;
    for (const auto& [key, row] : mState.mRows) {
      if (key.first == aTable) {
        rows.push_back(row);
        rows.back().mIncarnation = mIncarnation;
      }
    }
    return rows;
  }

  /** Carries out a write late if the store is away: in the incarnation that it comes back
   * in, where the row may have the expected revision by accident. */
  void ApplyOnceBack(const proxy::ConditionalWrite& aWrite)
  {
    if (!IsAway()) {
      Apply(aWrite);
      return;
    }
    mContext.mClock.At(mAwayUntil + mContext.mRandom.Between(0ms, 2s),
                       [this, aWrite] { ApplyOnceBack(aWrite); });
  }

  proxy::WriteResult Apply(const proxy::ConditionalWrite& aWrite)
  {
    const std::pair key{ aWrite.mRow.mTable, aWrite.mRow.mKey };
    const auto found = mState.mRows.find(key);
    if ((found == mState.mRows.end() ? 0 : found->second.mRevision) !=
        aWrite.mRow.mRevision) {
      return proxy::RowConflict{};
    }
    proxy::StoredRow& row = mState.mRows[key];
    row = aWrite.mRow;
    row.mRevision = ++mState.mRevision;
    if (const auto group = proxy::GroupOfLeadership(row.mKey)) {
      mContext.mJournal.Note(*group, row.mKey + " = " + row.mValue);
    }
    return proxy::Written{ row.mRevision, StoreTime(), mIncarnation };
  }

  ExplorationContext& mContext;
  const Instances& mInstances;
  const Groups& mGroups;
  StoreState mState;
  StoreHistory mHistory;
  /** Incarnation that the store announces; 0 for none. */
  std::uint64_t mIncarnation = 0;
  TimePoint mAwayUntil;
};

} // namespace papayaspindle::exploration
