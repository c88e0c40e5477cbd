#include "standin/faultsservice.h"

#include "standin/faultswitches.h"

#include <utility>

namespace papayaspindle::standin {

FaultsService::FaultsService(FaultSwitches& aSwitches, LogHook aReadLog)
  : mSwitches(aSwitches)
  , mReadLog(std::move(aReadLog))
{
}

grpc::Status
FaultsService::SetFaults(grpc::ServerContext* /*aContext*/,
                         const v1::FaultSettings* aRequest,
                         v1::FaultReply* /*aReply*/)
{
  mSwitches.Set(*aRequest);
  return grpc::Status::OK;
}

grpc::Status
FaultsService::ReadFaults(grpc::ServerContext* /*aContext*/,
                          const v1::ReadFaultsRequest* /*aRequest*/,
                          v1::FaultSettings* aReply)
{
  *aReply = mSwitches.Current();
  return grpc::Status::OK;
}

grpc::Status
FaultsService::ReadLog(grpc::ServerContext* /*aContext*/,
                       const v1::ReadLogRequest* aRequest,
                       v1::ReadLogReply* aReply)
{
  if (!mReadLog) {
    return { grpc::StatusCode::UNIMPLEMENTED, "this stand-in has no log" };
  }
  mReadLog(*aRequest, *aReply);
  return grpc::Status::OK;
}

} // namespace papayaspindle::standin
