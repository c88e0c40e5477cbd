#pragma once

#include "platform.grpc.pb.h"

#include "standin/tablerows.h"

#include <mutex>

namespace papayaspindle::standin {

class FaultSwitches;

/** The platform's table service, under the fault switches. */
class TableServiceImpl : public v1::TableService::Service
{
public:
  explicit TableServiceImpl(FaultSwitches& aSwitches)
    : mSwitches(aSwitches)
  {
  }

  grpc::Status Read(grpc::ServerContext* aContext,
                    const v1::TableReadRequest* aRequest,
                    v1::TableReadReply* aReply) override;
  grpc::Status Scan(grpc::ServerContext* aContext,
                    const v1::TableScanRequest* aRequest,
                    v1::TableScanReply* aReply) override;
  grpc::Status Transact(grpc::ServerContext* aContext,
                        const v1::TransactRequest* aRequest,
                        v1::TransactReply* aReply) override;

private:
  FaultSwitches& mSwitches;
  std::mutex mMutex;
  TableRows mRows;
};

} // namespace papayaspindle::standin
