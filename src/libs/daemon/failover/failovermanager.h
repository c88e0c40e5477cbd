#pragma once

#include "core/hooks.h"
#include "core/ids.h"
#include "decision/failover/groupkeeper.h"
#include "operator.pb.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace papayaspindle {

class Groups;
class Homes;
class Instances;
class MemberControl;
class MemberMonitor;
class PeerCalls;
class PeerHandlers;
class TableStore;
class Tracer;

/** Thresholds, time limits and threads of failovers. */
struct FailoverManagerSettings
{
  KeeperSettings mKeeper;
  std::chrono::milliseconds mTick{ 50 };
  std::chrono::milliseconds mMemberTimeout{ 300 };
  std::chrono::milliseconds mPeerTimeout{ 300 };
  std::chrono::milliseconds mStoreTimeout{ 2000 };
  /** A zone's failure makes many calls wait for their time limit at once. */
  std::size_t mMemberThreads = 24;
  std::size_t mPeerThreads = 8;
  std::size_t mStoreThreads = 2;
};

/** Runs a task on another thread; returns false when it refuses the task. */
using RunHook = std::function<bool(std::function<void()>)>;

/** Sources of time and random numbers, and where calls run. */
struct FailoverHooks
{
  NowHook mNow;
  RandomHook mRandom;
  /** Empty for worker threads of its own. */
  RunHook mRun;
};

/**
 * Runs the failovers of the groups that this instance is a home of, and keeps their
 * members and their record in the table service in line with the view.
 *
 * Registers as a listener of the monitor, which must be stopped before this object ends,
 * and as the handler of ConfirmSuspicion and GroupViewUpdate. Makes no call while
 * Instances::MayActAsKeeper() is false.
 *
 * Thread-safe. Lock order: the table of groups, then one group's state; no interface but
 * the tracer is called with a lock held.
 */
class FailoverManager
{
public:
  struct References
  {
    Groups& mGroups;
    Homes& mHomes;
    Instances& mInstances;
    MemberControl& mMembers;
    MemberMonitor& mMonitor;
    PeerCalls& mPeers;
    PeerHandlers& mHandlers;
    TableStore& mStore;
    Tracer& mTracer;
  };

  FailoverManager(const References& aReferences,
                  const FailoverManagerSettings& aSettings,
                  FailoverHooks aHooks);
  /** Stops. */
  ~FailoverManager();

  void Start();
  /** Ends the ticks and waits for calls in flight; the monitor is stopped before. */
  void Stop();
  /** Lets each group's keeper decide; called by the timer. */
  void Tick();

  /** @return the last failover that fenced the group from here, or nothing */
  [[nodiscard]] std::optional<v1::FailoverReport> LastFailover(
    const GroupId& aGroup) const;
  /** @return time since the member's last answer; zero for an unknown member */
  [[nodiscard]] Duration Silence(const GroupId& aGroup, const MemberId& aMember) const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
