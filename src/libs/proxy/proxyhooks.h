#pragma once

#include "proxy/membercommand.h"
#include "proxy/memberentry.h"
#include "proxy/memberreply.h"
#include "proxy/session.h"

#include <functional>
#include <initializer_list>
#include <span>
#include <string_view>

#include "observe/log.h"

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
  /** Records a decision. */
  std::function<void(LogLevel, std::string_view aEvent, std::initializer_list<LogField>)>
    mLog;
  /** Counts an event of the metric's name. */
  std::function<void(std::string_view)> mCount;
  /** Takes a latency for the histogram of the metric's name. */
  std::function<void(std::string_view, Duration)> mObserve;
};

} // namespace papayaspindle::proxy
