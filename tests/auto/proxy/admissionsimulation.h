#pragma once

#include "admissionload.h"
#include "proxy/admission/admissionorder.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace papayaspindle::proxy {

enum class AdmissionRule : std::uint8_t
{
  /** By objective, priority, usual time and arrival, as without customers. */
  Urgency,
  ByCustomer,
};

/** Statements of a customer and what became of them. */
struct CustomerResult
{
  std::uint64_t mSent = 0;
  std::uint64_t mLate = 0;
  std::uint64_t mRefused = 0;

  CustomerResult& operator+=(const CustomerResult& aOther)
  {
    mSent += aOther.mSent;
    mLate += aOther.mLate;
    mRefused += aOther.mRefused;
    return *this;
  }
  [[nodiscard]] double PercentBad() const
  {
    return mSent == 0
             ? 0
             : 100 * static_cast<double>(mLate + mRefused) / static_cast<double>(mSent);
  }
};

/** One home that serves a load with a primary and two replicas. */
class AdmissionSimulation
{
public:
  AdmissionSimulation(const AdmissionLoad& aLoad, AdmissionRule aRule)
    : mLoad(aLoad)
    , mRule(aRule)
  {
    for (std::size_t customer = 0; customer < kCustomers; customer++) {
      mNames.push_back(std::to_string(customer));
    }
  }

  std::vector<CustomerResult> Run()
  {
    const auto& arrivals = mLoad.Arrivals();
    for (std::size_t key = 0; key < arrivals.size(); key++) {
      mEvents.push({ arrivals[key].mAt, EventKind::Arrival, key });
    }
    while (!mEvents.empty()) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      Handle(event);
    }
    return mResults;
  }

  std::size_t mMaxWaiting = 0;
  /** Time that the members have spent on statements. */
  Duration mServed{};

private:
  enum class EventKind : std::uint8_t
  {
    Arrival,
    Timer,
    Answer,
    Release,
  };
  struct Event
  {
    TimePoint mAt;
    EventKind mKind;
    std::size_t mKey;

    bool operator<(const Event& aOther) const
    {
      return std::tie(mAt, mKey, mKind) > std::tie(aOther.mAt, aOther.mKey, aOther.mKind);
    }
  };
  /** Member 0 is the primary. */
  struct SimulatedMember
  {
    std::uint32_t mRunning = 0;
    std::uint32_t mConnections = 0;
    double mServiceSeconds = 0.015;
  };

  static constexpr std::uint32_t kSlots = 2;
  static constexpr std::uint32_t kConnections = 10;

  void Handle(const Event& aEvent)
  {
    const AdmissionLoad::Arrival& arrival = mLoad.Arrivals()[aEvent.mKey];
    const StatementKindSetup& kind = kKinds[arrival.mKind];
    switch (aEvent.mKind) {
      case EventKind::Arrival:
        mResults[arrival.mCustomer].mSent++;
        mWaiting.push_back({ aEvent.mKey,
                             arrival.mCustomer,
                             kind.mPriority,
                             kind.mNeedsPrimary,
                             true,
                             false,
                             mNow,
                             mNow + kind.mObjective * 4 / 5,
                             mNow + kind.mTimeout * 9 / 10,
                             kind.mMean / 2 });
        mEvents.push({ mWaiting.back().mObjectiveLimit, EventKind::Timer, aEvent.mKey });
        mEvents.push({ mWaiting.back().mWaitLimit, EventKind::Timer, aEvent.mKey });
        Dispatch();
        Refuse(aEvent);
        break;
      case EventKind::Timer:
        Refuse(aEvent);
        break;
      case EventKind::Answer:
        OnAnswer(aEvent.mKey, arrival);
        Dispatch();
        break;
      case EventKind::Release:
        mMembers[mMemberOf[aEvent.mKey]].mConnections--;
        Dispatch();
        break;
    }
    mMaxWaiting = std::max(mMaxWaiting, mWaiting.size());
  }

  void OnAnswer(std::size_t aKey, const AdmissionLoad::Arrival& aArrival)
  {
    SimulatedMember& member = mMembers[mMemberOf[aKey]];
    member.mRunning--;
    mRunningOf[aArrival.mCustomer]--;
    mServed += aArrival.mTime;
    const double took = std::chrono::duration<double>(aArrival.mTime).count();
    member.mServiceSeconds += (took - member.mServiceSeconds) / 8;
    const bool isLate = mNow > aArrival.mAt + kKinds[aArrival.mKind].mObjective;
    mResults[aArrival.mCustomer].mLate += isLate ? 1 : 0;
    mEvents.push({ mNow + aArrival.mRest, EventKind::Release, aKey });
  }

  [[nodiscard]] CompletionRates Rates() const
  {
    CompletionRates rates;
    rates.mPrimaryPerS = kSlots / mMembers[0].mServiceSeconds;
    for (const SimulatedMember& member : mMembers) {
      rates.mReadsPerS += kSlots / member.mServiceSeconds;
    }
    return rates;
  }

  AdmissionPlan Plan()
  {
    if (mRule == AdmissionRule::Urgency) {
      return PlanByUrgency();
    }
    std::map<std::size_t, std::size_t> indices;
    std::vector<CustomerLoad> loads;
    const auto indexOf = [&](std::size_t aCustomer) {
      const auto [found, isNew] = indices.emplace(aCustomer, loads.size());
      if (isNew) {
        loads.push_back({ mNames[aCustomer],
                          AdmissionLoad::ShareOf(aCustomer),
                          mRunningOf[aCustomer] });
      }
      return found->second;
    };
    std::vector<WaitingStatement> waiting = mWaiting;
    for (WaitingStatement& statement : waiting) {
      statement.mCustomer = indexOf(statement.mCustomer);
    }
    for (std::size_t customer = 0; customer < kCustomers; customer++) {
      if (mRunningOf[customer] > 0) {
        indexOf(customer);
      }
    }
    return mOrder.Plan({ waiting, loads, Rates(), mNow });
  }

  /** The rule without customers: ProxyCore's WaitingAhead, PredictedWait,
   * RefuseIfOverloaded and OnWaitingTimer. */
  [[nodiscard]] AdmissionPlan PlanByUrgency() const
  {
    std::vector<const WaitingStatement*> order;
    for (const WaitingStatement& statement : mWaiting) {
      order.push_back(&statement);
    }
    const auto urgency = [&](const WaitingStatement* aStatement) {
      return std::tuple(mNow >= aStatement->mObjectiveLimit,
                        aStatement->mPriority,
                        aStatement->mUsualTime);
    };
    std::stable_sort(
      order.begin(), order.end(), [&](const auto* aLeft, const auto* aRight) {
        return urgency(aLeft) < urgency(aRight);
      });
    AdmissionPlan plan;
    std::array<std::size_t, 2> ahead{};
    for (const WaitingStatement* statement : order) {
      std::size_t& before = ahead[statement->mNeedsPrimary ? 1 : 0];
      PlannedStatement planned{ statement->mKey, before, std::nullopt };
      const double perSecond =
        statement->mNeedsPrimary ? Rates().mPrimaryPerS : Rates().mReadsPerS;
      const std::chrono::duration<double> wait{ static_cast<double>(before + 1) /
                                                perSecond };
      if (mNow >= statement->mWaitLimit) {
        planned.mRefusal = RefusalReason::WaitLimitPassed;
      } else if (mNow == statement->mObjectiveLimit && before > 0) {
        planned.mRefusal = RefusalReason::ObjectivePassed;
      } else if (statement->mIsNew && mNow + wait > statement->mObjectiveLimit) {
        planned.mRefusal = RefusalReason::PredictedWait;
      }
      before += mNow >= statement->mObjectiveLimit ? 0 : 1;
      plan.push_back(planned);
    }
    return plan;
  }

  void Dispatch()
  {
    if (mWaiting.empty()) {
      return;
    }
    for (const PlannedStatement& planned : Plan()) {
      const AdmissionLoad::Arrival& arrival = mLoad.Arrivals()[planned.mKey];
      const bool needsPrimary = kKinds[arrival.mKind].mNeedsPrimary;
      // Reads prefer replicas.
      std::optional<std::size_t> chosen;
      for (std::size_t member = needsPrimary ? 1 : mMembers.size(); member-- > 0;) {
        const bool isFree = mMembers[member].mRunning < kSlots &&
                            mMembers[member].mConnections < kConnections;
        if (isFree && (!chosen || (member > 0 && mMembers[member].mRunning <
                                                   mMembers[*chosen].mRunning))) {
          chosen = member;
        }
      }
      if (!chosen) {
        continue;
      }
      mMembers[*chosen].mRunning++;
      mMembers[*chosen].mConnections++;
      mRunningOf[arrival.mCustomer]++;
      mMemberOf[planned.mKey] = *chosen;
      mOrder.OnStarted(mNames[arrival.mCustomer], needsPrimary, mNow);
      Remove(planned.mKey);
      mEvents.push({ mNow + arrival.mTime, EventKind::Answer, planned.mKey });
    }
  }

  void Refuse(const Event& aEvent)
  {
    const auto waits = [&](const WaitingStatement& aStatement) {
      return aStatement.mKey == aEvent.mKey;
    };
    if (std::none_of(mWaiting.begin(), mWaiting.end(), waits)) {
      return;
    }
    for (const PlannedStatement& planned : Plan()) {
      const auto found = std::find_if(
        mWaiting.begin(), mWaiting.end(), [&](const WaitingStatement& aStatement) {
          return aStatement.mKey == planned.mKey;
        });
      found->mMissesObjective = planned.mMissesObjective;
      if (planned.mRefusal) {
        mResults[mLoad.Arrivals()[planned.mKey].mCustomer].mRefused++;
        mWaiting.erase(found);
      }
    }
    for (WaitingStatement& statement : mWaiting) {
      statement.mIsNew = false;
    }
  }

  void Remove(std::uint64_t aKey)
  {
    std::erase_if(mWaiting, [&](const WaitingStatement& aStatement) {
      return aStatement.mKey == aKey;
    });
  }

  const AdmissionLoad& mLoad;
  AdmissionRule mRule;
  AdmissionOrder mOrder;
  TimePoint mNow;
  std::vector<std::string> mNames;
  std::vector<WaitingStatement> mWaiting;
  std::array<SimulatedMember, 3> mMembers;
  std::array<std::uint32_t, kCustomers> mRunningOf{};
  std::map<std::size_t, std::size_t> mMemberOf;
  std::vector<CustomerResult> mResults = std::vector<CustomerResult>(kCustomers);
  std::priority_queue<Event> mEvents;
};

} // namespace papayaspindle::proxy
