#pragma once

#include "core/error.h"
#include "core/hooks.h"
#include "core/ids.h"
#include "daemon/connections/connectionhooks.h"

#include <memory>
#include <string>

namespace papayaspindle {

class Groups;
class Homes;
class InstanceListing;
class Instances;
class MetricRegistry;
class PeerCalls;
class PeerHandlers;
class PoolShares;
class TableStore;

/** What the allowance manager works with; all outlive it. */
struct AllowanceServices
{
  TableStore& mTables;
  InstanceListing& mListing;
  PeerCalls& mPeers;
  const Groups& mGroups;
  const Homes& mHomes;
  const Instances& mInstances;
  PoolShares& mPools;
  MetricRegistry& mMetrics;
};

/**
 * Shares each group's connections among its homes: as a home it holds a floor and leases,
 * as a keeper it holds authority, plans floors and grants leases.
 *
 * Lock order: push lock, then state lock, then the pools' locks; no lock is held during a
 * call to the table service or a peer.
 */
class AllowanceManager
{
public:
  /**
   * @param aProcess unique for each process, also under the same instance name
   * @param aSubmit runs the calls to keepers, so that one that does not answer delays no
   * other group; the tasks must have ended before this object is destroyed
   * @param aNow monotonic clock
   */
  AllowanceManager(const AllowanceServices& aServices,
                   std::string aProcess,
                   SubmitHook aSubmit,
                   NowHook aNow);
  ~AllowanceManager();

  /** Registers the handler of LeaseConnections. */
  void Register(PeerHandlers& aHandlers);

  /** Asks the keeper of each group whose home this instance is for a lease; called once a
   * second. Needs no table service. */
  void RenewLeases();

  /** Renews the authority, claims and plans for the groups that this instance keeps, and
   * releases floors; called once a second on a thread of its own, because a slow table
   * service blocks it. */
  void SyncStore();

  /** Gives up claims and authority for an orderly shutdown, so that successors need not
   * wait. Called when SyncStore runs no more. */
  void GiveUp();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
