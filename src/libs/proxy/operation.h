#pragma once

#include "core/logposition.h"
#include "core/timetypes.h"
#include "proxy/proxyconfiguration.h"
#include "proxy/session.h"

#include <optional>
#include <set>
#include <string>

namespace papayaspindle::proxy {

/** What an operation needs of a member. */
enum class OperationPurpose : std::uint8_t
{
  /** One read outside a transaction. */
  SingleRead,
  /** One write outside a transaction. */
  SingleWrite,
  /** The first statement of a transaction. */
  TransactionFirst,
  /** A later statement of a transaction, or its COMMIT. */
  TransactionNext,
};

/** How far an operation has come. */
enum class OperationStage : std::uint8_t
{
  /** Waits for a connection. */
  Waiting,
  /** BEGIN was sent; the statement was not. */
  Beginning,
  /** The statement was sent. */
  Running,
  /** A home of the group has it. */
  Forwarded,
};

/** A client's statement on its way to a member and back. */
struct Operation
{
  SessionKey mSession = 0;
  Statement mStatement;
  OperationPurpose mPurpose = OperationPurpose::SingleRead;
  OperationStage mStage = OperationStage::Waiting;
  std::string mGroup;
  /** Copied at the arrival: a change of the route counts from the next operation on. */
  Route mRoute;
  /** Only the primary can run it. */
  bool mNeedsPrimary = false;
  /** Runs inside a transaction of the proxy, which proves that the primary still leads.
   */
  bool mIsWrapped = false;
  /** The statement changes data. */
  bool mWrites = false;
  TimePoint mArrivedAt;
  TimePoint mDeadline;
  TimePoint mSentAt;
  /** Home that has it, or had it last. */
  std::string mHome;
  /** Homes that refused it or could not be reached. */
  std::set<std::string> mRefusedHomes;
  /** Member of the current attempt. */
  std::string mMember;
  std::optional<ConnectionKey> mConnection;
  /** Members that refused it; not asked again before others. */
  std::set<std::string> mRefusedBy;
  std::uint32_t mAttempts = 0;
  /** Counted among the statements in flight at its member. */
  bool mIsInFlight = false;
  /** Can't be answered within the latency objective any more. */
  bool mIsLate = false;
  /** Not tried again before this time. */
  TimePoint mRetryAt;
};

} // namespace papayaspindle::proxy
