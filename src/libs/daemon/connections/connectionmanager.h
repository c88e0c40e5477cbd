#pragma once

#include "daemon/connections/connectionhooks.h"
#include "daemon/connections/poolreport.h"
#include "daemon/connections/poolshares.h"
#include "interfaces/connections.h"

#include <memory>

namespace papayaspindle {

class Groups;
class MetricRegistry;
class Tracer;

/**
 * This instance's connections to backend servers.
 *
 * Lock order: one pool, then a leaf (connection table, metrics, drain count). Two pools
 * are never locked together, and no lock is held while a connection is opened, used or
 * closed.
 */
class ConnectionManager
  : public Connections
  , public PoolShares
{
public:
  /**
   * @param aHooks tasks given to mSubmit must have ended before this object is destroyed
   * @param aGroups members and slots of the groups
   */
  ConnectionManager(ConnectionHooks aHooks,
                    const Groups& aGroups,
                    MetricRegistry& aMetrics,
                    Tracer& aTracer);
  /** Closes all connections. */
  ~ConnectionManager() override;

  Result<ConnectionId> Acquire(const AcquireRequest& aRequest) override;
  Result<v1::SessionAnswer> Run(ConnectionId aConnection,
                                v1::SessionRequest aRequest,
                                TimePoint aDeadline) override;
  void Release(ConnectionId aConnection, ConnectionState aState) override;

  void SetAllowance(const GroupId& aGroup, const GroupAllowance& aAllowance) override;
  ShareUse TakeUse(const GroupId& aGroup) override;
  std::uint32_t Held(const GroupId& aGroup) override;
  /** @return the state of the group's pool */
  PoolReport Report(const GroupId& aGroup);

  /** Takes changed settings, ends waits whose deadline has passed, and opens and closes
   * connections; called every 100 ms. */
  void Tick();

  /**
   * Refuses new acquisitions as Draining, serves those that wait, and waits until every
   * owner has released its connection.
   *
   * @return whether that was so at the deadline
   */
  bool Drain(TimePoint aDeadline);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
