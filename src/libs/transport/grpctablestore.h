#pragma once

#include "interfaces/tablestore.h"
#include "transport/channeltable.h"

#include <string>

namespace papayaspindle {

/** The platform's table service by gRPC. Thread-safe. */
class GrpcTableStore : public TableStore
{
public:
  /** @param aAddress "ip:port" of the table service */
  GrpcTableStore(std::string aAddress, ChannelSettings aSettings);

  Result<v1::TableReadReply> Read(const v1::TableReadRequest& aRequest,
                                  std::chrono::milliseconds aTimeout) override;
  Result<v1::TableScanReply> Scan(const v1::TableScanRequest& aRequest,
                                  std::chrono::milliseconds aTimeout) override;
  Result<v1::TransactReply> Transact(const v1::TransactRequest& aRequest,
                                     std::chrono::milliseconds aTimeout) override;

private:
  std::string mAddress;
  ChannelTable mChannels;
};

} // namespace papayaspindle
