#include "transport/grpcobjectstorage.h"

#include "transport/unarycall.h"

namespace papayaspindle {

GrpcObjectStorage::GrpcObjectStorage(std::string aAddress, ChannelSettings aSettings)
  : mAddress(std::move(aAddress))
  , mChannels(std::move(aSettings))
{
}

Result<v1::PutObjectReply>
GrpcObjectStorage::Put(const v1::PutObjectRequest& aRequest,
                       std::chrono::milliseconds aTimeout)
{
  return CallUnary<v1::PutObjectReply>(mChannels,
                                       mAddress,
                                       aTimeout,
                                       "/papayaspindle.v1.ObjectStore/PutObject",
                                       aRequest,
                                       ErrorKind::StoreUnavailable,
                                       ErrorKind::OutcomeUnknown);
}

Result<v1::FetchObjectReply>
GrpcObjectStorage::Fetch(const v1::FetchObjectRequest& aRequest,
                         std::chrono::milliseconds aTimeout)
{
  return CallUnary<v1::FetchObjectReply>(mChannels,
                                         mAddress,
                                         aTimeout,
                                         "/papayaspindle.v1.ObjectStore/FetchObject",
                                         aRequest,
                                         ErrorKind::StoreUnavailable,
                                         ErrorKind::StoreUnavailable);
}

Result<v1::ListObjectsReply>
GrpcObjectStorage::List(const v1::ListObjectsRequest& aRequest,
                        std::chrono::milliseconds aTimeout)
{
  return CallUnary<v1::ListObjectsReply>(mChannels,
                                         mAddress,
                                         aTimeout,
                                         "/papayaspindle.v1.ObjectStore/ListObjects",
                                         aRequest,
                                         ErrorKind::StoreUnavailable,
                                         ErrorKind::StoreUnavailable);
}

} // namespace papayaspindle
