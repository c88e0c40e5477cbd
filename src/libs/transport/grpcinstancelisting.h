#pragma once

#include "interfaces/instancelisting.h"
#include "transport/channeltable.h"

#include <string>

namespace papayaspindle {

/** The platform's instance list by gRPC. Thread-safe. */
class GrpcInstanceListing : public InstanceListing
{
public:
  /** @param aAddress "ip:port" of the instance list */
  GrpcInstanceListing(std::string aAddress, ChannelSettings aSettings);

  Result<v1::ListInstancesReply> List(std::chrono::milliseconds aTimeout) override;

private:
  std::string mAddress;
  ChannelTable mChannels;
};

} // namespace papayaspindle
