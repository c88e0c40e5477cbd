#pragma once

#include "interfaces/connections.h"

#include <functional>
#include <mutex>
#include <unordered_map>

namespace papayaspindle {

/** Where data traffic is reported, so that a failing member is polled at once. */
struct TrafficHooks
{
  /** A statement is about to run on the group. */
  std::function<void(const GroupId&)> mStatement;
  /** The member did not answer a statement, or no connection to it could be had. */
  std::function<void(const GroupId&, const MemberId&)> mError;
};

/** Passes calls on and reports them. Thread-safe; its lock is a leaf. */
class ReportingConnections : public Connections
{
public:
  ReportingConnections(Connections& aConnections, TrafficHooks aHooks);

  Result<ConnectionId> Acquire(const AcquireRequest& aRequest) override;
  Result<v1::SessionAnswer> Run(ConnectionId aConnection,
                                v1::SessionRequest aRequest,
                                TimePoint aDeadline) override;
  void Release(ConnectionId aConnection, ConnectionState aState) override;

private:
  struct Owner
  {
    GroupId mGroup;
    MemberId mMember;
  };

  Connections& mConnections;
  TrafficHooks mHooks;
  std::mutex mMutex;
  std::unordered_map<ConnectionId, Owner> mOwners;
};

} // namespace papayaspindle
