#include "transport/grpcinstancelisting.h"

#include "transport/unarycall.h"

namespace papayaspindle {

GrpcInstanceListing::GrpcInstanceListing(std::string aAddress, ChannelSettings aSettings)
  : mAddress(std::move(aAddress))
  , mChannels(std::move(aSettings))
{
}

Result<v1::ListInstancesReply>
GrpcInstanceListing::List(std::chrono::milliseconds aTimeout)
{
  return CallUnary<v1::ListInstancesReply>(mChannels,
                                           mAddress,
                                           aTimeout,
                                           "/papayaspindle.v1.InstanceList/ListInstances",
                                           v1::ListInstancesRequest(),
                                           ErrorKind::StoreUnavailable,
                                           ErrorKind::StoreUnavailable);
}

} // namespace papayaspindle
