#pragma once

#include "exploration/orderedchannel.h"
#include "exploration/simulatedinstance.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace papayaspindle::exploration {

/** Number of a forwarded statement on its link. */
using RequestNumber = std::uint64_t;

/** The connection on which an entry instance forwards statements to a home. */
struct PeerLink
{
  std::shared_ptr<SimulatedInstance> mEntry;
  std::shared_ptr<SimulatedInstance> mHome;
  std::shared_ptr<OrderedChannel> mToHome;
  std::shared_ptr<OrderedChannel> mToEntry;
  bool mIsConnected = false;
  bool mIsBroken = false;
  std::optional<TimePoint> mCutSince;
  /** Unanswered statements at the entry instance. */
  std::map<RequestNumber, proxy::OperationKey> mPending;
  /** Statements whose cancellation has reached the home's host. */
  std::set<RequestNumber> mCancelled;
  /** Keys of sessions at the home, by their keys at the entry instance. */
  std::map<proxy::SessionKey, proxy::SessionKey> mSessions;
  /** Sessions at the home by their unanswered statements. */
  std::map<RequestNumber, proxy::SessionKey> mUnanswered;
};

} // namespace papayaspindle::exploration
