#pragma once

#include "interfaces/objectstorage.h"
#include "transport/channeltable.h"

#include <string>

namespace papayaspindle {

/**
 * The platform's object store by gRPC. Thread-safe. A Put whose answer is lost ends with
 * OutcomeUnknown; putting the same content again is safe.
 */
class GrpcObjectStorage : public ObjectStorage
{
public:
  /** @param aAddress "ip:port" of the object store */
  GrpcObjectStorage(std::string aAddress, ChannelSettings aSettings);

  Result<v1::PutObjectReply> Put(const v1::PutObjectRequest& aRequest,
                                 std::chrono::milliseconds aTimeout) override;
  Result<v1::FetchObjectReply> Fetch(const v1::FetchObjectRequest& aRequest,
                                     std::chrono::milliseconds aTimeout) override;
  Result<v1::ListObjectsReply> List(const v1::ListObjectsRequest& aRequest,
                                    std::chrono::milliseconds aTimeout) override;

private:
  std::string mAddress;
  ChannelTable mChannels;
};

} // namespace papayaspindle
