#include "serve/reportingconnections.h"

#include <utility>

namespace papayaspindle {

namespace {

/** @return whether the error may mean that the member is gone */
bool
IsMemberFault(ErrorKind aKind)
{
  return aKind == ErrorKind::MemberUnreachable || aKind == ErrorKind::OutcomeUnknown;
}

} // namespace

ReportingConnections::ReportingConnections(Connections& aConnections, TrafficHooks aHooks)
  : mConnections(aConnections)
  , mHooks(std::move(aHooks))
{
}

Result<ConnectionId>
ReportingConnections::Acquire(const AcquireRequest& aRequest)
{
  mHooks.mStatement(aRequest.mGroup);
  auto acquired = mConnections.Acquire(aRequest);
  if (IsOk(acquired)) {
    const std::lock_guard lock(mMutex);
    mOwners[ValueOf(acquired)] = { aRequest.mGroup, aRequest.mMember };
  } else if (IsMemberFault(ErrorOf(acquired).mKind)) {
    mHooks.mError(aRequest.mGroup, aRequest.mMember);
  }
  return acquired;
}

Result<v1::SessionAnswer>
ReportingConnections::Run(ConnectionId aConnection,
                          v1::SessionRequest aRequest,
                          TimePoint aDeadline)
{
  auto answer = mConnections.Run(aConnection, std::move(aRequest), aDeadline);
  if (!IsOk(answer) && IsMemberFault(ErrorOf(answer).mKind)) {
    Owner owner;
    {
      const std::lock_guard lock(mMutex);
      owner = mOwners[aConnection];
    }
    mHooks.mError(owner.mGroup, owner.mMember);
  }
  return answer;
}

void
ReportingConnections::Release(ConnectionId aConnection, ConnectionState aState)
{
  {
    const std::lock_guard lock(mMutex);
    mOwners.erase(aConnection);
  }
  mConnections.Release(aConnection, aState);
}

} // namespace papayaspindle
