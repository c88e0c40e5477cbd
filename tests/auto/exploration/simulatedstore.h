#pragma once

#include "exploration/explorationcontext.h"
#include "exploration/simulatedgroup.h"
#include "exploration/simulatedinstance.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle::exploration {

/** The shared store and the platform's promotion call. Answers can be lost or late, and
 * effects can be late. */
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
            std::function<void(const proxy::ReadResult&)> aHook)
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
      const proxy::ReadResult result =
        proxy::TableSnapshot{ RowsOf(table), mRevision, StoreTime() };
      AnswerLater(process, RandomDelay(), aHook, result);
    });
  }

  void Write(SimulatedInstance& aInstance,
             const proxy::ConditionalWrite& aWrite,
             std::function<void(const proxy::WriteResult&)> aHook)
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
      mContext.mClock.After(delay, [this, aWrite] { Apply(aWrite); });
      AnswerLater(process, 1500ms, aHook, proxy::StoreFailure::NoAnswer);
      return;
    }
    mContext.mClock.After(RandomDelay(), [this, process, aWrite, aHook] {
      AnswerLater(process, RandomDelay(), aHook, Apply(aWrite));
    });
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
    for (const auto& [name, group] : mGroups) {
      const auto listed = group->Entries();
      entries.insert(entries.end(), listed.begin(), listed.end());
    }
    for (const auto& [name, instance] : mInstances) {
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
                             rows = RowsOf(std::string(proxy::kCoordinationTable)),
                             asOf = mContext.mClock.Now()] {
                              process->Post([process, entries, rows, asOf] {
                                process->OnMembers(entries);
                                process->OnRowsFed(rows, asOf);
                              });
                            });
    }
  }

private:
  template<typename Result>
  void AnswerLater(const std::shared_ptr<SimulatedInstance>& aProcess,
                   Duration aDelay,
                   const std::function<void(const Result&)>& aHook,
                   const std::type_identity_t<Result>& aResult)
  {
    mContext.mClock.After(aDelay, [aProcess, aHook, aResult] {
      aProcess->Post([aHook, aResult] { aHook(aResult); });
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
    for (const auto& [key, row] : mRows) {
      if (key.first == aTable) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  proxy::WriteResult Apply(const proxy::ConditionalWrite& aWrite)
  {
    const std::pair key{ aWrite.mRow.mTable, aWrite.mRow.mKey };
    const auto found = mRows.find(key);
    if ((found == mRows.end() ? 0 : found->second.mRevision) != aWrite.mRow.mRevision) {
      return proxy::RowConflict{};
    }
    proxy::StoredRow& row = mRows[key];
    row = aWrite.mRow;
    row.mRevision = ++mRevision;
    if (const auto group = proxy::GroupOfLeadership(row.mKey)) {
      mContext.mJournal.Note(*group, row.mKey + " = " + row.mValue);
    }
    return proxy::Written{ row.mRevision, StoreTime() };
  }

  ExplorationContext& mContext;
  const Instances& mInstances;
  const Groups& mGroups;
  std::map<std::pair<std::string, std::string>, proxy::StoredRow> mRows;
  std::uint64_t mRevision = 0;
};

} // namespace papayaspindle::exploration
