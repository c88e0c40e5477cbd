#pragma once

#include "exploration/orderedchannel.h"
#include "exploration/simulatedinstance.h"
#include "proxy/membercommand.h"
#include "proxy/memberreply.h"

#include <compare>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::exploration {

/** Identifies a connection between a process of an instance and a member. */
struct ConnectionId
{
  std::string mInstance;
  std::uint64_t mProcess = 0;
  proxy::ConnectionKey mKey = 0;

  auto operator<=>(const ConnectionId&) const = default;
};

/** A member's connection: its session state and the commands that wait for execution. */
struct MemberConnection
{
  std::shared_ptr<SimulatedInstance> mInstance;
  std::string mMember;
  std::string mGroup;
  std::string mCustomer;
  std::shared_ptr<OrderedChannel> mToMember;
  std::shared_ptr<OrderedChannel> mToInstance;
  /** The member has accepted the connection, and counts it. */
  bool mIsAccepted = false;
  /** The instance has closed the connection, or its process has ended. */
  bool mIsClosedByInstance = false;
  /** Since when no message passes. */
  std::optional<TimePoint> mCutSince;
  std::deque<proxy::MemberCommand> mCommands;
  bool mIsExecuting = false;
  proxy::SessionValues mValues;
  std::map<std::string, std::string> mShapes;
  proxy::TransactionState mState = proxy::TransactionState::Idle;
  bool mMayWrite = false;
  /** Term in which the transaction began. */
  std::uint64_t mTerm = 0;
  /** Client session that owns the open transaction. */
  std::string mOwner;
  /** Writes of the open transaction. */
  std::vector<std::string> mPending;

  void EndTransaction()
  {
    mState = proxy::TransactionState::Idle;
    mMayWrite = false;
    mOwner.clear();
    mPending.clear();
  }
};

} // namespace papayaspindle::exploration
