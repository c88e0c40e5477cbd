#include "standin/instanceservice.h"

#include "standin/guardedcall.h"

#include <utility>

namespace papayaspindle::standin {

InstanceServiceImpl::InstanceServiceImpl(FaultSwitches& aSwitches,
                                         v1::ListInstancesReply aInstances)
  : mSwitches(aSwitches)
  , mRows(std::move(aInstances), Clock::now())
{
  mSwitches.SetChangeHook([this](const v1::FaultSettings& aSettings) {
    const std::lock_guard lock(mMutex);
    mRows.SetFaults(aSettings, Clock::now());
  });
}

grpc::Status
InstanceServiceImpl::ListInstances(grpc::ServerContext* aContext,
                                   const v1::ListInstancesRequest* /*aRequest*/,
                                   v1::ListInstancesReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    const std::lock_guard lock(mMutex);
    *aReply = mRows.Shown(Clock::now());
    return false;
  });
}

} // namespace papayaspindle::standin
