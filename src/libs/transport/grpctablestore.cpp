#include "transport/grpctablestore.h"

#include "transport/unarycall.h"

namespace papayaspindle {

GrpcTableStore::GrpcTableStore(std::string aAddress, ChannelSettings aSettings)
  : mAddress(std::move(aAddress))
  , mChannels(std::move(aSettings))
{
}

Result<v1::TableReadReply>
GrpcTableStore::Read(const v1::TableReadRequest& aRequest,
                     std::chrono::milliseconds aTimeout)
{
  return CallUnary<v1::TableReadReply>(mChannels,
                                       mAddress,
                                       aTimeout,
                                       "/papayaspindle.v1.TableService/Read",
                                       aRequest,
                                       ErrorKind::StoreUnavailable,
                                       ErrorKind::StoreUnavailable);
}

Result<v1::TableScanReply>
GrpcTableStore::Scan(const v1::TableScanRequest& aRequest,
                     std::chrono::milliseconds aTimeout)
{
  return CallUnary<v1::TableScanReply>(mChannels,
                                       mAddress,
                                       aTimeout,
                                       "/papayaspindle.v1.TableService/Scan",
                                       aRequest,
                                       ErrorKind::StoreUnavailable,
                                       ErrorKind::StoreUnavailable);
}

Result<v1::TransactReply>
GrpcTableStore::Transact(const v1::TransactRequest& aRequest,
                         std::chrono::milliseconds aTimeout)
{
  return CallUnary<v1::TransactReply>(mChannels,
                                      mAddress,
                                      aTimeout,
                                      "/papayaspindle.v1.TableService/Transact",
                                      aRequest,
                                      ErrorKind::StoreUnavailable,
                                      ErrorKind::OutcomeUnknown);
}

} // namespace papayaspindle
