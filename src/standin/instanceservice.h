#pragma once

#include "platform.grpc.pb.h"

#include "standin/instancerows.h"

#include <mutex>

namespace papayaspindle::standin {

class FaultSwitches;

/** The platform's lagging list of instances, under the fault switches. */
class InstanceServiceImpl : public v1::InstanceList::Service
{
public:
  /** Takes over the switches' change hook. */
  InstanceServiceImpl(FaultSwitches& aSwitches, v1::ListInstancesReply aInstances);

  grpc::Status ListInstances(grpc::ServerContext* aContext,
                             const v1::ListInstancesRequest* aRequest,
                             v1::ListInstancesReply* aReply) override;

private:
  FaultSwitches& mSwitches;
  std::mutex mMutex;
  InstanceRows mRows;
};

} // namespace papayaspindle::standin
