#pragma once

#include "core/timetypes.h"
#include "decision/allowance/ratelimit.h"
#include "proxy/customers/sessionaccess.h"
#include "proxy/memberentry.h"
#include "proxy/proxyconfiguration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle::proxy {

/** Whether statements may be sent to a group's primary. */
enum class PrimaryUse : std::uint8_t
{
  Usable,
  /** No primary is known that can be reached. */
  Unknown,
  /** This instance holds no lease on the primary. */
  NoLease,
  /** The primary leaves, and a successor is awaited. */
  Draining,
};

/** A single statement whose way is asked for. */
struct StatementInquiry
{
  std::string mDatabase;
  bool mWrites = false;
  /** Name of a customer; empty for a client without a known key. */
  std::string mCustomer;
};

/** State of a member for a statement, as this instance knows it. */
struct MemberExplanation
{
  MemberEntry mEntry;
  bool mIsPrimary = false;
  bool mIsUsable = false;
  bool mIsUnreachable = false;
  bool mIsLagging = false;
  /** Position in the order in which members are tried, from 1; 0 if it isn't tried. */
  std::size_t mRank = 0;
  std::uint32_t mConnections = 0;
  /** Idle connections that the statement could use. */
  std::uint32_t mIdle = 0;
  std::uint32_t mInFlight = 0;
  std::uint32_t mWindow = 0;
  Duration mServiceTime{};
};

/** Where a statement would go, and why. */
struct Explanation
{
  std::uint64_t mVersion = 0;
  AccessDecision mAccess = AccessDecision::Granted;
  bool mIsCustomerKnown = false;
  /** Nothing for a customer without a limit. */
  std::optional<RateLimit> mLimit;
  /** Nothing for an unknown database. */
  std::optional<Route> mRoute;
  std::uint32_t mMaxConnections = 0;
  bool mNeedsPrimary = false;
  /** For reads of replicas: whether a recent enough sample proves what is fresh. Without
   * one, the primary runs the read. */
  bool mHasFreshnessProof = false;
  bool mIsServedHere = false;
  /** Instance that runs the statement; nothing if none can be reached. */
  std::optional<std::string> mHome;
  /** Only of a statement that this instance runs and that the primary must run. */
  std::optional<PrimaryUse> mPrimaryUse;
  /** Members of the group, if this instance runs the statement. */
  std::vector<MemberExplanation> mMembers;
  std::size_t mWaiting = 0;
  std::optional<Duration> mPredictedWait;
  /** Code and reason of each refusal that the statement would meet. */
  std::vector<std::pair<std::string, std::string>> mRefusals;
};

} // namespace papayaspindle::proxy
