#pragma once

#include "observe/log.h"
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

/** What the data path asks of its surroundings. */
struct ProxyHooks
{
  /** Sends the answer to a session's oldest unanswered statement. */
  std::function<void(SessionKey, const ClientAnswer&)> mAnswer;
  /** Tells a client that its session has begun. */
  std::function<void(SessionKey)> mWelcome;
  /** Closes a session after what was sent to it. */
  std::function<void(SessionKey)> mCloseSession;
  /** Opens a connection; answered by OnConnectionReady, -Refused or -Failed. */
  std::function<void(ConnectionKey, const MemberEntry&)> mOpen;
  /** Sends commands, in order, in one write. */
  std::function<void(ConnectionKey, std::span<const MemberCommand>)> mSend;
  /** Closes a connection; no event of it follows. */
  std::function<void(ConnectionKey)> mCloseConnection;
  /** @return whether this instance holds connections to the group's members */
  std::function<bool(std::string_view aGroup)> mIsHome;
  /** @return instances that hold connections to the group's members */
  std::function<std::uint32_t(std::string_view aGroup)> mHomeCount;
  /** @return the home to send a statement to, or nothing */
  std::function<std::optional<std::string>(std::string_view aGroup,
                                           const std::set<std::string>& aExcluded,
                                           TimePoint aNow)>
    mPickHome;
  /** Sends a statement to a home; answered by OnForwardAnswer or OnForwardFailed, never
   * from within the call. */
  std::function<void(const std::string& aHome, OperationKey, const ForwardedStatement&)>
    mForward;
  /** Gives up a statement at a home; no event of it follows. */
  std::function<void(OperationKey)> mCancelForward;
  /** Tells a home that a session's transaction is over. */
  std::function<void(const std::string& aHome, SessionKey)> mForwardEnd;
  /** @return whether a member's answers at a time are those of the group's only leader */
  std::function<bool(std::string_view aGroup, std::string_view aMember, TimePoint)>
    mPermits;
  /** @return the member that leads by the shared decision of the instances; empty while
   * it changes; nothing where members alone tell */
  std::function<std::optional<std::string>(std::string_view aGroup)> mLeader;
  /** Records a decision. */
  std::function<void(LogLevel, std::string_view aEvent, std::initializer_list<LogField>)>
    mLog;
  /** Counts an event of the metric's name. */
  std::function<void(std::string_view)> mCount;
  /** Takes a latency for the histogram of the metric's name. */
  std::function<void(std::string_view, Duration)> mObserve;
};

} // namespace papayaspindle::proxy
