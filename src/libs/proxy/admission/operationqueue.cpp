#include "proxy/admission/operationqueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace papayaspindle::proxy {

void
OperationQueue::Add(QueuedOperation aEntry)
{
  mEntries.push_back(std::move(aEntry));
}

void
OperationQueue::AddByArrival(QueuedOperation aEntry)
{
  const auto place =
    std::find_if(mEntries.begin(), mEntries.end(), [&](const QueuedOperation& aOther) {
      return aOther.mArrivedAt > aEntry.mArrivedAt;
    });
  mEntries.insert(place, std::move(aEntry));
}

void
OperationQueue::Remove(OperationKey aKey)
{
  std::erase_if(mEntries,
                [&](const QueuedOperation& aEntry) { return aEntry.mKey == aKey; });
}

void
OperationQueue::MarkPastObjective(OperationKey aKey)
{
  for (QueuedOperation& entry : mEntries) {
    entry.mIsPastObjective = entry.mIsPastObjective || entry.mKey == aKey;
  }
}

std::vector<OperationKey>
OperationQueue::DispatchOrder(const WorkEstimates& aEstimates) const
{
  // Operations that can still meet their objective go first, then by priority, then by
  // usual time (more callers are answered in time if short ones go first), then by
  // arrival.
  using Rank = std::tuple<bool, int, Duration>;
  std::vector<std::pair<Rank, OperationKey>> ranked;
  ranked.reserve(mEntries.size());
  for (const QueuedOperation& entry : mEntries) {
    const Duration usual = aEstimates.Of(entry.mClass.mWork).LowerQuartile();
    ranked.emplace_back(Rank(entry.mIsPastObjective, entry.mClass.mPriority, usual),
                        entry.mKey);
  }
  std::stable_sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::vector<OperationKey> keys;
  keys.reserve(ranked.size());
  for (const auto& [rank, key] : ranked) {
    keys.push_back(key);
  }
  return keys;
}

std::vector<OperationKey>
OperationQueue::Keys() const
{
  std::vector<OperationKey> keys;
  keys.reserve(mEntries.size());
  for (const QueuedOperation& entry : mEntries) {
    keys.push_back(entry.mKey);
  }
  return keys;
}

std::size_t
OperationQueue::CountAhead(OperationKey aKey,
                           const OperationClass& aClass,
                           const WorkEstimates& aEstimates) const
{
  const auto urgency = [&](const OperationClass& aOther) {
    return std::pair(aOther.mPriority, aEstimates.Of(aOther.mWork).LowerQuartile());
  };
  const auto own = urgency(aClass);
  return static_cast<std::size_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [&](const QueuedOperation& aEntry) {
      return aEntry.mKey != aKey && aEntry.mClass.mNeedsPrimary == aClass.mNeedsPrimary &&
             !aEntry.mIsPastObjective && urgency(aEntry.mClass) <= own;
    }));
}

std::uint32_t
OperationQueue::CountOf(std::string_view aCustomer, bool aNeedsPrimary) const
{
  return static_cast<std::uint32_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [&](const QueuedOperation& aEntry) {
      return aEntry.mCustomer == aCustomer &&
             aEntry.mClass.mNeedsPrimary == aNeedsPrimary;
    }));
}

std::set<std::string_view>
OperationQueue::Customers() const
{
  std::set<std::string_view> customers;
  for (const QueuedOperation& entry : mEntries) {
    customers.insert(entry.mCustomer);
  }
  return customers;
}

} // namespace papayaspindle::proxy
