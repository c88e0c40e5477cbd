#pragma once

#include "core/hooks.h"
#include "decision/membership/membershipsettings.h"
#include "interfaces/instances.h"
#include "runtime/taskgroup.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace papayaspindle {

class InstanceListing;
class MetricRegistry;
class PeerCalls;
class PeerHandlers;

/** Settings of membership. */
struct MembershipManagerSettings
{
  /** This instance; incarnation 0 means the wall clock in milliseconds, which is above
   * that of any earlier process under this name. */
  InstanceInfo mSelf;
  MembershipSettings mProtocol;
  std::chrono::milliseconds mTickInterval{ 200 };
  /** Of a delegate; also of an instance that knows no other of its zone. */
  std::chrono::milliseconds mListInterval{ 2000 };
  /** Of other instances, which learn changes from delegates: at full size the list has
   * half a megabyte. */
  std::chrono::milliseconds mFollowerListInterval{ std::chrono::minutes(5) };
  std::chrono::milliseconds mListTimeout{ 1000 };
};

/** What membership uses. */
struct MembershipReferences
{
  PeerCalls& mPeers;
  PeerHandlers& mHandlers;
  InstanceListing& mListing;
  MetricRegistry& mMetrics;
  /** A pool of control workers. */
  SubmitHook mSubmit;
  NowHook mNow;
  RandomHook mRandom;
};

/** How probes carry the configuration revision. */
struct RevisionHooks
{
  /** Returns the revision in force here. */
  std::function<std::uint64_t()> mOwn;
  /** Called with the revision that a peer's message showed. */
  std::function<void(const InstanceInfo&, std::uint64_t)> mSeen;
};

/**
 * Probes peers, merges the platform's list and says which instances are live.
 *
 * Lock order: its lock is a leaf; listeners and hooks run without it.
 */
class MembershipManager : public Instances
{
public:
  /** Called after an instance changed, on a worker or tick thread; must not block. */
  using ChangeListener = std::function<void(const InstanceInfo&)>;

  /** Registers the handler "Probe". */
  MembershipManager(const MembershipReferences& aReferences,
                    MembershipManagerSettings aSettings);
  ~MembershipManager() override;

  /** Adds a listener; before Start(). */
  void AddListener(ChangeListener aListener);
  /** Sets what runs when the platform marks this instance as leaving; before Start(). */
  void SetLeavingHook(std::function<void()> aHook);
  /** Sets how probes carry the configuration revision; before Start(). */
  void SetRevisionHooks(RevisionHooks aHooks);
  /** Begins to tick on a thread of its own. */
  void Start();
  /** Ends the ticks and waits for calls under way. */
  void Stop();
  /** One step; Start() calls it periodically. */
  void Tick();
  /** Tells peers at once that this instance gets no new work. */
  void AnnounceLeaving();
  /** @return whether this instance is a delegate of its zone */
  [[nodiscard]] bool IsZoneDelegate() const;

  [[nodiscard]] InstanceInfo Self() const override;
  [[nodiscard]] std::vector<InstanceInfo> Live() const override;
  [[nodiscard]] std::vector<InstanceInfo> All() const override;
  [[nodiscard]] std::optional<InstanceInfo> Find(
    const InstanceId& aInstance) const override;
  [[nodiscard]] bool MayActAsKeeper() const override;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
