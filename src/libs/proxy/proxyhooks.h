#pragma once

#include "decision/allowance/rateholder.h"
#include "observe/log.h"
#include "proxy/capacityreport.h"
#include "proxy/forwardedstatement.h"
#include "proxy/membercommand.h"
#include "proxy/memberentry.h"
#include "proxy/memberreply.h"
#include "proxy/session.h"

#include <functional>
#include <initializer_list>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Actions and queries that ProxyCore delegates to its owner. */
struct ProxyHooks
{
  /** Sends the answer to a session's oldest unanswered statement. */
  std::function<void(SessionKey, const ClientAnswer&)> mAnswer;
  /** Notifies a client that its session is accepted. */
  std::function<void(SessionKey)> mAcceptSession;
  /** Closes a session after all pending output has been sent to its client. */
  std::function<void(SessionKey)> mCloseSession;
  /** Opens a connection to a member in a customer's name, or in the proxy's own if the
   * name is empty; the result is reported by OnConnectionReady,
   * OnConnectionRefused or OnConnectionFailed. */
  std::function<void(ConnectionKey, const MemberEntry&, std::string_view aCustomer)>
    mOpen;
  /** Sends commands in the given order with a single write. */
  std::function<void(ConnectionKey, std::span<const MemberCommand>)> mSend;
  /** Closes a connection to a member; no further event of the connection is reported. */
  std::function<void(ConnectionKey)> mCloseConnection;
  /** @return whether this instance holds connections to the group's members */
  std::function<bool(std::string_view aGroup)> mIsHome;
  /** @return number of instances that hold connections to the group's members */
  std::function<std::uint32_t(std::string_view aGroup)> mHomeCount;
  /** @return the home instance that receives a forwarded statement, or nothing when none
   * is left
   */
  std::function<std::optional<std::string>(std::string_view aGroup,
                                           const std::set<std::string>& aExcluded,
                                           TimePoint aNow)>
    mPickHome;
  /**
   * @param aSpread number of homes that serve the customer
   * @return the home instance, possibly this one, that runs the customer's statements for
   * the group, or nothing when none is left; may be empty where all homes serve all
   * customers
   */
  std::function<std::optional<std::string>(std::string_view aGroup,
                                           std::string_view aCustomer,
                                           std::uint32_t aSpread,
                                           const std::set<std::string>& aExcluded,
                                           TimePoint aNow)>
    mPickCustomerHome;
  /** Takes a token of the customer's rate limit for an operation; if the outcome is
   * Pending, OnTokenDecision follows. Empty where rates are not limited. */
  std::function<TokenDecision(std::string_view aCustomer, OperationKey, TimePoint)>
    mTakeToken;
  /** Returns the token of an operation that no member has run. */
  std::function<void(std::string_view aCustomer, TimePoint aExpiresAt, TimePoint aNow)>
    mReturnToken;
  /** Cancels the pending decision on an operation. */
  std::function<void(std::string_view aCustomer, OperationKey)> mCancelToken;
  /** Sends a statement to a home instance. The result is reported by OnForwardAnswer or
   * OnForwardFailed, never from within the call. */
  std::function<void(const std::string& aHome, OperationKey, const ForwardedStatement&)>
    mForward;
  /** Cancels a forwarded statement; no further event of the statement is reported. */
  std::function<void(OperationKey)> mCancelForward;
  /** Notifies a home instance that a session's transaction has ended. */
  std::function<void(const std::string& aHome, SessionKey)> mEndForwardedTransaction;
  /** @return whether this instance holds a valid lease on the member as the group's
   * leader at the given time, so that no other member leads the group then */
  std::function<bool(std::string_view aGroup, std::string_view aMember, TimePoint)>
    mHasLeaderLease;
  /** @return the leader that the instances have agreed on; an empty string while
   * leadership changes; nothing when only the members' own reports determine the leader
   */
  std::function<std::optional<std::string>(std::string_view aGroup)> mLeader;
  /** Sends a report to the other homes of its group; may be empty where this instance is
   * the only home. */
  std::function<void(const CapacityReport&)> mReportCapacity;
  /** Writes a log event with its fields. */
  std::function<void(LogLevel, std::string_view aEvent, std::initializer_list<LogField>)>
    mLog;
  /** Increments the counter of the given metric. */
  std::function<void(std::string_view)> mCount;
  /** Adds a latency to the histogram of the given metric. */
  std::function<void(std::string_view, Duration)> mRecordLatency;
};

} // namespace papayaspindle::proxy
