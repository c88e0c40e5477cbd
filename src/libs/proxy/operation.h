#pragma once

#include "core/logposition.h"
#include "core/timetypes.h"
#include "proxy/admission/operationqueue.h"
#include "proxy/proxyconfiguration.h"
#include "proxy/session.h"

#include <optional>
#include <set>
#include <string>

namespace papayaspindle::proxy {

/** Relation of an operation to transactions. */
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

/** Progress of an operation. */
enum class OperationStage : std::uint8_t
{
  /** The operation waits for the decision whether its customer's rate limit permits it.
   */
  AwaitingToken,
  /** The operation waits for a connection. */
  Waiting,
  /** BEGIN was sent, but the statement was not. */
  Beginning,
  /** The statement was sent. */
  Running,
  /** The operation was forwarded to a home instance of the group. */
  Forwarded,
};

/** A client's statement on its way to a member and back. */
struct Operation
{
  /** Key in the table of operations; 0 for an operation that is only explained. */
  OperationKey mKey = 0;
  SessionKey mSession = 0;
  Statement mStatement;
  OperationPurpose mPurpose = OperationPurpose::SingleRead;
  OperationStage mStage = OperationStage::Waiting;
  /** When the token of the customer's rate limit lapses; nothing for an operation that
   * needs none. */
  std::optional<TimePoint> mTokenExpiresAt;
  std::string mGroup;
  /** Customer whose connections run the operation; empty without customers. */
  std::string mCustomer;
  /** Copied on arrival: a change of the route applies to later operations only. */
  Route mRoute;
  /** Whether only the primary can run the operation. */
  bool mNeedsPrimary = false;
  /** Whether the proxy wraps the statement in a transaction of its own, whose BEGIN
   * proves that the primary still leads. */
  bool mNeedsLeadershipProof = false;
  /** Whether the statement changes data. */
  bool mWrites = false;
  TimePoint mArrivedAt;
  TimePoint mDeadline;
  TimePoint mSentAt;
  /** Home instance that the operation was last forwarded to. */
  std::string mHome;
  /** Home instances that refused the operation or could not be reached. */
  std::set<std::string> mRefusedHomes;
  /** Member of the current attempt. */
  std::string mMember;
  std::optional<ConnectionKey> mConnection;
  /** Members that refused the operation; other members are tried first. */
  std::set<std::string> mRefusingMembers;
  std::uint32_t mAttempts = 0;
  /** Whether the operation counts towards Member::mInFlight. */
  bool mIsInFlight = false;
  /** Whether the operation can no longer be answered within its latency objective. */
  bool mIsPastObjective = false;
  /** Earliest time of the next attempt. */
  TimePoint mRetryAt;

  /** @return properties that determine the operation's place in the queue */
  [[nodiscard]] OperationClass Class() const
  {
    return { mRoute.mPriority,
             { mRoute.mConsistency, mStatement.mKind == StatementKind::Commit },
             mNeedsPrimary };
  }
  /** @return the operation as it waits in its group's queue */
  [[nodiscard]] QueuedOperation QueueEntry() const
  {
    return { mKey, Class(), mCustomer, mArrivedAt, mIsPastObjective };
  }
};

} // namespace papayaspindle::proxy
