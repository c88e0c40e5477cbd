#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace papayaspindle::proxy {

/** Which members may run a route's reads. */
enum class Consistency : std::uint8_t
{
  /** Every acknowledged commit is visible. */
  Primary,
  /** Commits acknowledged longer ago than the route's staleness are visible. */
  Bounded,
  /** As Bounded, and the session's own commits are visible. */
  ReadYourWrites,
};

/** How statements for one database are handled. */
struct Route
{
  std::string mDatabase;
  std::string mGroup;
  Consistency mConsistency = Consistency::Primary;
  /** Limit of one statement. */
  Duration mStatementTimeout{};
  /** Time within which a whole operation should be answered. */
  Duration mLatencyObjective{};
  /** 0 is the highest. */
  int mPriority = 0;
  /** Greatest age of a read; zero on Primary routes. */
  Duration mMaxStaleness{};
};

/** What the operator says of a database group. */
struct GroupLimits
{
  std::string mName;
  /** Connections that a member accepts from all callers together. */
  std::uint32_t mMaxConnections = 1;
  /** Replicas that must have received a commit before it is acknowledged. */
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
  /** A transaction that rests longer may be rolled back. */
  Duration mTransactionIdle = std::chrono::seconds(3);
};

} // namespace papayaspindle::proxy
