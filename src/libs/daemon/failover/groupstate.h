#pragma once

#include "decision/failover/groupkeeper.h"
#include "observe/span.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace papayaspindle {

class Tracer;

/** One group's keeper, shared by the threads that carry out its actions. */
struct GroupState
{
  GroupState(const GroupId& aGroup, GroupKeeper aKeeper)
    : mGroup(aGroup)
    , mKeeper(std::move(aKeeper))
  {
  }

  /** Updates spans and writes log lines after an event; called with mMutex held. */
  void Observe(const KeeperActions& aActions, Tracer& aTracer);

  const GroupId mGroup;

  std::mutex mMutex;
  // The rest is used with mMutex held.
  GroupKeeper mKeeper;
  /** Calls in flight: member or home, and index of the action's kind. */
  std::set<std::pair<std::string, std::size_t>> mInFlight;
  bool mWasRunning = false;
  std::uint64_t mSpanTerm = 0;
  std::optional<Span> mFence;
  std::optional<Span> mPromote;
};

} // namespace papayaspindle
