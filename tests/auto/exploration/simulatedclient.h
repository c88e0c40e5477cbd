#pragma once

#include "proxy/proxyconfiguration.h"
#include "proxy/session.h"
#include "proxy/statement.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle::exploration {

/** A client's session as the client knows it. */
struct SimulatedClient
{
  struct Sent
  {
    proxy::Statement mStatement;
    TimePoint mAt;
  };

  std::string mName;
  std::string mCustomer;
  proxy::Route mRoute;
  /** The client has received the greeting. */
  bool mIsAccepted = false;
  proxy::SessionValues mValues;
  std::map<std::string, std::pair<std::string, proxy::PreparedKind>> mPrepared;
  proxy::TransactionState mState = proxy::TransactionState::Idle;
  /** Writes of the open transaction. */
  std::vector<std::string> mWrites;
  /** Statements without an answer. */
  std::deque<Sent> mSent;
  std::uint64_t mOwnCommit = 0;
  /** What reads of the open transaction must see. */
  TimePoint mVisibleBefore;
  TimePoint mIdleUntil;
};

} // namespace papayaspindle::exploration
