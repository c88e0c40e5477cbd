#include "standin/tableservice.h"

#include "standin/guardedcall.h"

namespace papayaspindle::standin {

grpc::Status
TableServiceImpl::Read(grpc::ServerContext* aContext,
                       const v1::TableReadRequest* aRequest,
                       v1::TableReadReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    const std::lock_guard lock(mMutex);
    *aReply->mutable_row() = mRows.Read(*aRequest);
    return false;
  });
}

grpc::Status
TableServiceImpl::Scan(grpc::ServerContext* aContext,
                       const v1::TableScanRequest* aRequest,
                       v1::TableScanReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    const std::lock_guard lock(mMutex);
    *aReply = mRows.Scan(*aRequest);
    return false;
  });
}

grpc::Status
TableServiceImpl::Transact(grpc::ServerContext* aContext,
                           const v1::TransactRequest* aRequest,
                           v1::TransactReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    const std::lock_guard lock(mMutex);
    *aReply = mRows.Transact(*aRequest);
    return aReply->committed() && aRequest->changes_size() > 0;
  });
}

} // namespace papayaspindle::standin
