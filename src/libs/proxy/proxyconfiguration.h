#pragma once

#include "core/timetypes.h"
#include "proxy/customers/customertable.h"

#include <cstdint>
#include <map>
#include <string>

namespace papayaspindle::proxy {

/** Consistency of a route's reads, which determines the members that may run them. */
enum class Consistency : std::uint8_t
{
  /** Every acknowledged commit is visible. */
  Primary,
  /** Every commit that was acknowledged longer ago than the route's maximum staleness is
   * visible. */
  Bounded,
  /** Same as Bounded; in addition, the session's own commits are visible. */
  ReadYourWrites,
};

/** Settings for the statements of one database. */
struct Route
{
  std::string mDatabase;
  std::string mGroup;
  Consistency mConsistency = Consistency::Primary;
  /** Time limit of one statement. */
  Duration mStatementTimeout{};
  /** Time within which an operation should be answered, including waits and retries. */
  Duration mLatencyObjective{};
  /** 0 is the highest. */
  int mPriority = 0;
  /** Maximum staleness of a read; zero on Primary routes. */
  Duration mMaxStaleness{};
  /** Whether clients need no key of a customer. */
  bool mIsPublic = false;
};

/** The operator's settings for a database group. */
struct GroupLimits
{
  std::string mName;
  /** Number of connections that each member accepts from all callers together. */
  std::uint32_t mMaxConnections = 1;
  /** Number of replicas that must have received a commit before it is acknowledged. */
  std::uint32_t mSynchronousReplicas = 0;
};

/** One version of the operator's configuration. */
struct ProxyConfiguration
{
  std::uint64_t mVersion = 0;
  /** By database name. */
  std::map<std::string, Route, std::less<>> mRoutes;
  /** By group name. */
  std::map<std::string, GroupLimits, std::less<>> mGroups;
  CustomerTable mCustomers;
  /** Idle time after which an open transaction may be rolled back. */
  Duration mTransactionIdleLimit = std::chrono::seconds(3);
};

} // namespace papayaspindle::proxy
