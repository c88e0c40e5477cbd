#pragma once

#include "core/timetypes.h"
#include "proxy/admission/workestimates.h"
#include "proxy/keys.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** Properties of an operation that determine its place in the queue. */
struct OperationClass
{
  /** Priority of the route; 0 is the highest. */
  int mPriority = 0;
  WorkKind mWork;
  /** Whether only the primary can run the operation. */
  bool mNeedsPrimary = false;
};

/** An operation that waits for a connection. */
struct QueuedOperation
{
  OperationKey mKey = 0;
  OperationClass mClass;
  /** Empty without customers. */
  std::string mCustomer;
  TimePoint mArrivedAt;
  /** Whether the operation can no longer be answered within its latency objective. */
  bool mIsPastObjective = false;
};

/** Operations of a group that wait for a connection to a member. The usual times of
 * statements are passed to each call, because they change while operations wait. */
class OperationQueue
{
public:
  /** Adds an operation behind all others. */
  void Add(QueuedOperation aEntry);
  /** Adds an operation that was in the queue before, ahead of the first one that arrived
   * later. */
  void AddByArrival(QueuedOperation aEntry);
  void Remove(OperationKey aKey);
  void MarkPastObjective(OperationKey aKey);

  [[nodiscard]] bool IsEmpty() const { return mEntries.empty(); }
  [[nodiscard]] std::size_t Size() const { return mEntries.size(); }
  /** @return keys of all operations in the order in which they were added */
  [[nodiscard]] std::vector<OperationKey> Keys() const;
  /** @return keys of all operations in the order in which they are dispatched */
  [[nodiscard]] std::vector<OperationKey> DispatchOrder(
    const WorkEstimates& aEstimates) const;
  /**
   * @param aKey operation that is not counted itself; it need not be in the queue
   * @return number of operations that compete for the same members as one of aClass and
   * are dispatched before it
   */
  [[nodiscard]] std::size_t CountAhead(OperationKey aKey,
                                       const OperationClass& aClass,
                                       const WorkEstimates& aEstimates) const;
  /** @return number of the customer's operations that compete for the same members */
  [[nodiscard]] std::uint32_t CountOf(std::string_view aCustomer,
                                      bool aNeedsPrimary) const;
  /** @return customers of all operations; valid until the queue changes */
  [[nodiscard]] std::set<std::string_view> Customers() const;

private:
  std::vector<QueuedOperation> mEntries;
};

} // namespace papayaspindle::proxy
