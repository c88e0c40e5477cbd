#include "proxy/admission/admissionorder.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <numeric>
#include <tuple>

namespace papayaspindle::proxy {

namespace {

/** A waiting statement with the round in which its customer's share covers it. */
struct RankedStatement
{
  const WaitingStatement* mStatement;
  std::uint64_t mRound;
};

bool
IsPastObjective(const WaitingStatement& aStatement, TimePoint aNow)
{
  return aStatement.mMissesObjective || aNow >= aStatement.mObjectiveLimit;
}

/** @return indices of the waiting statements, ordered without regard to customers */
std::vector<std::size_t>
OrderByUrgency(const AdmissionInput& aInput)
{
  std::vector<std::size_t> order(aInput.mWaiting.size());
  std::iota(order.begin(), order.end(), 0);
  const auto urgency = [&](std::size_t aIndex) {
    const WaitingStatement& statement = aInput.mWaiting[aIndex];
    return std::tuple(IsPastObjective(statement, aInput.mNow),
                      statement.mPriority,
                      statement.mUsualTime,
                      statement.mArrivedAt,
                      aIndex);
  };
  std::sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return urgency(aLeft) < urgency(aRight);
  });
  return order;
}

/** Refuses statements that can't be served in time, in the order of dispatch. */
class RefusalRule
{
public:
  explicit RefusalRule(const AdmissionInput& aInput)
    : mInput(aInput)
    , mIsKept(aInput.mCustomers.size())
  {
    std::vector<std::size_t> counts;
    for (const CustomerLoad& customer : aInput.mCustomers) {
      counts.push_back(customer.mRunning);
    }
    std::vector<bool> isWaiting(counts.size());
    for (const WaitingStatement& statement : aInput.mWaiting) {
      counts[statement.mCustomer]++;
      isWaiting[statement.mCustomer] = true;
    }
    // With a single customer, there is no other load that a place could be kept from.
    if (counts.size() < 2) {
      return;
    }
    std::size_t fewest = std::numeric_limits<std::size_t>::max();
    for (std::size_t index = 0; index < counts.size(); index++) {
      fewest = isWaiting[index] ? std::min(fewest, counts[index]) : fewest;
    }
    for (std::size_t index = 0; index < counts.size(); index++) {
      mIsKept[index] = aInput.mCustomers[index].mRunning == 0 || counts[index] == fewest;
    }
  }

  PlannedStatement Next(const RankedStatement& aRanked)
  {
    const WaitingStatement& statement = *aRanked.mStatement;
    std::size_t& ahead = mAhead[statement.mNeedsPrimary ? 1 : 0];
    const bool isPast = IsPastObjective(statement, mInput.mNow);
    PlannedStatement planned{ statement.mKey, ahead, ReasonFor(aRanked, ahead), isPast };
    // The first statement of a customer is the kept one, also if it is served in time.
    const bool isKept = mIsKept[statement.mCustomer];
    mIsKept[statement.mCustomer] = false;
    if (isKept && planned.mRefusal && CanBeKept(statement)) {
      planned.mRefusal.reset();
      planned.mMissesObjective = true;
    }
    // Kept statements are served after those that can meet their objectives, so that they
    // cause no refusals.
    ahead += planned.mRefusal || planned.mMissesObjective ? 0 : 1;
    return planned;
  }

private:
  [[nodiscard]] TimePoint StartAfter(const WaitingStatement& aStatement,
                                     std::size_t aAhead) const
  {
    const double perSecond =
      aStatement.mNeedsPrimary ? mInput.mRates.mPrimaryPerS : mInput.mRates.mReadsPerS;
    // Without a known member, nothing is predicted.
    if (perSecond <= 0) {
      return mInput.mNow;
    }
    return mInput.mNow +
           std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(static_cast<double>(aAhead + 1) / perSecond));
  }

  /** @return whether only the load of other customers prevents a start in time */
  [[nodiscard]] bool CanBeKept(const WaitingStatement& aStatement) const
  {
    if (mInput.mNow >= aStatement.mWaitLimit) {
      return false;
    }
    return IsPastObjective(aStatement, mInput.mNow) ||
           StartAfter(aStatement, 0) <= aStatement.mObjectiveLimit;
  }

  [[nodiscard]] std::optional<RefusalReason> ReasonFor(const RankedStatement& aRanked,
                                                       std::size_t aAhead) const
  {
    const WaitingStatement& statement = *aRanked.mStatement;
    if (mInput.mNow >= statement.mWaitLimit) {
      return RefusalReason::WaitLimitPassed;
    }
    const TimePoint start = StartAfter(statement, aAhead);
    if (IsPastObjective(statement, mInput.mNow)) {
      return aAhead > 0 && start > mInput.mNow
               ? std::optional(RefusalReason::ObjectivePassed)
               : std::nullopt;
    }
    const bool isExcess = aRanked.mRound > 0;
    // Predictions vary. An accepted statement within its customer's share therefore waits
    // until its objective has passed.
    if (start <= statement.mObjectiveLimit || (!statement.mIsNew && !isExcess)) {
      return std::nullopt;
    }
    return isExcess ? RefusalReason::ShareExceeded : RefusalReason::PredictedWait;
  }

  const AdmissionInput& mInput;
  /** Whether the next statement of a customer is not refused because of others' load. */
  std::vector<bool> mIsKept;
  /** Numbers of accepted reads and of accepted statements for the primary. */
  std::array<std::size_t, 2> mAhead{};
};

} // namespace

AdmissionPlan
AdmissionOrder::Plan(const AdmissionInput& aInput)
{
  std::vector<CustomerBacklog> reads;
  for (const CustomerLoad& customer : aInput.mCustomers) {
    reads.push_back({ customer, 0 });
  }
  std::vector<CustomerBacklog> writes = reads;
  for (const WaitingStatement& statement : aInput.mWaiting) {
    (statement.mNeedsPrimary ? writes : reads)[statement.mCustomer].mWaiting++;
  }
  const std::array turns{ mReadRounds.Update(reads, aInput.mNow),
                          mPrimaryRounds.Update(writes, aInput.mNow) };
  std::array positions{ std::vector<std::size_t>(reads.size()),
                        std::vector<std::size_t>(reads.size()) };
  std::vector<RankedStatement> ranked;
  ranked.reserve(aInput.mWaiting.size());
  for (const std::size_t index : OrderByUrgency(aInput)) {
    const WaitingStatement& statement = aInput.mWaiting[index];
    const std::size_t kind = statement.mNeedsPrimary ? 1 : 0;
    const std::size_t position = positions[kind][statement.mCustomer]++;
    ranked.push_back({ &statement, turns[kind][statement.mCustomer].RoundOf(position) });
  }
  // Stable: within a round, the order by usual time and arrival remains.
  std::stable_sort(ranked.begin(),
                   ranked.end(),
                   [&](const RankedStatement& aLeft, const RankedStatement& aRight) {
                     const auto rank = [&](const RankedStatement& aRanked) {
                       return std::tuple(
                         IsPastObjective(*aRanked.mStatement, aInput.mNow),
                         aRanked.mStatement->mPriority,
                         aRanked.mRound);
                     };
                     return rank(aLeft) < rank(aRight);
                   });
  AdmissionPlan plan;
  plan.reserve(ranked.size());
  RefusalRule refusals(aInput);
  for (const RankedStatement& statement : ranked) {
    plan.push_back(refusals.Next(statement));
  }
  return plan;
}

void
AdmissionOrder::OnStarted(std::string_view aCustomer, bool aNeedsPrimary, TimePoint aNow)
{
  (aNeedsPrimary ? mPrimaryRounds : mReadRounds).OnStarted(aCustomer, aNow);
}

} // namespace papayaspindle::proxy
