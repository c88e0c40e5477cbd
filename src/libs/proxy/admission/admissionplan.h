#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace papayaspindle::proxy {

/** Why a waiting statement is refused. */
enum class RefusalReason : std::uint8_t
{
  /** The predicted wait exceeds the latency objective. */
  PredictedWait,
  /** The predicted wait exceeds the latency objective because the customer's own
   * statements exceed its weighted share. */
  ShareExceeded,
  /** The latency objective has passed while others can still be met. */
  ObjectivePassed,
  /** The wait limit has passed. */
  WaitLimitPassed,
};

/** A waiting statement in the order of dispatch. */
struct PlannedStatement
{
  std::uint64_t mKey = 0;
  /** Number of statements that compete for the same members, are dispatched earlier and
   * are not refused. */
  std::size_t mAhead = 0;
  /** Set if the statement is refused now. */
  std::optional<RefusalReason> mRefusal;
  /** Whether the statement can no longer meet its latency objective; it is then ordered
   * after those that can, until it is sent or refused. */
  bool mMissesObjective = false;
};

/** Order of dispatch, the next statement first. */
using AdmissionPlan = std::vector<PlannedStatement>;

} // namespace papayaspindle::proxy
