#pragma once

#include "core/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace papayaspindle::proxy {

/** A statement that waits for a connection. */
struct WaitingStatement
{
  std::uint64_t mKey = 0;
  /** Index of its customer in AdmissionInput::mCustomers. */
  std::size_t mCustomer = 0;
  /** Priority of the route; 0 is the highest. */
  int mPriority = 0;
  /** Whether only the primary can run the statement. */
  bool mNeedsPrimary = false;
  /** Whether the statement has arrived just now and can be refused before it waits. */
  bool mIsNew = false;
  /** Whether PlannedStatement::mMissesObjective was set by an earlier plan. */
  bool mMissesObjective = false;
  TimePoint mArrivedAt;
  /** Latest start at which the statement meets its latency objective. */
  TimePoint mObjectiveLimit;
  /** Time at which the statement is refused in any case. */
  TimePoint mWaitLimit;
  /** Usual time of statements of its kind at a member. */
  Duration mUsualTime{};
};

/** A customer with waiting or running statements. */
struct CustomerLoad
{
  std::string_view mName;
  /** Configured rate; 0 for a customer without a limit, which weighs as much as the
   * largest customer of the input. */
  double mWeight = 0;
  /** Number of the customer's running statements in the group. */
  std::uint32_t mRunning = 0;
};

/** Numbers of statements per second that this instance can complete; 0 if unknown. */
struct CompletionRates
{
  double mPrimaryPerS = 0;
  double mReadsPerS = 0;
};

/** State of one group at one home. */
struct AdmissionInput
{
  /** Statements that arrived at the same time keep their order. */
  std::span<const WaitingStatement> mWaiting;
  /** All customers with waiting or running statements, each once. */
  std::span<const CustomerLoad> mCustomers;
  CompletionRates mRates;
  TimePoint mNow;
};

} // namespace papayaspindle::proxy
