#pragma once

#include "core/error.h"
#include "daemon/failover/failovermanager.h"
#include "daemon/failover/groupstate.h"
#include "runtime/workerpool.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace papayaspindle {

/** Carries out the actions of keepers, and hands the answers back to them. */
class ActionRunner
{
public:
  using State = std::shared_ptr<GroupState>;
  /** An event for a keeper; returns the actions that follow. */
  using Event = std::function<KeeperActions(GroupKeeper&, TimePoint)>;

  ActionRunner(const FailoverManager::References& aReferences,
               const FailoverManagerSettings& aSettings,
               FailoverHooks aHooks);

  /** Hands an event to the keeper and carries out what follows. */
  void Feed(const State& aState, const Event& aEvent);
  /** Begins no further call; those in flight are waited for by the destructor. */
  void Stop();

private:
  /** Tells the keeper that its calls to the table service are not made. */
  void Drop(const State& aState, const KeeperActions& aActions);
  void CarryOut(const State& aState, const KeeperAction& aAction);
  void Do(const State& aState, const SendRaiseTerm& aAction);
  void Do(const State& aState, const SendPromote& aAction);
  void Do(const State& aState, const SendFollow& aAction);
  void Do(const State& aState, const SendStatus& aAction);
  void Do(const State& aState, const RequestConfirmation& aAction);
  void Do(const State& aState, const AnnounceView& aAction);
  void Do(const State& aState, const ReadRecord& aAction);
  void Do(const State& aState, const WriteRecord& aAction);
  void ExchangeViews(const GroupId& aGroup, const std::string& aAddress);
  void NoAnswer(const State& aState, const MemberId& aMember, const Error& aError);
  [[nodiscard]] std::string AddressOf(const GroupId& aGroup,
                                      const MemberId& aMember) const;
  bool Submit(const std::unique_ptr<WorkerPool>& aPool, std::function<void()> aTask);
  FailoverManager::References mReferences;
  FailoverManagerSettings mSettings;
  FailoverHooks mHooks;
  std::atomic<bool> mStopping{ false };
  std::unique_ptr<WorkerPool> mMemberPool;
  std::unique_ptr<WorkerPool> mPeerPool;
  std::unique_ptr<WorkerPool> mStorePool;
};

} // namespace papayaspindle
