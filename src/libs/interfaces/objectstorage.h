#pragma once

#include "core/error.h"
#include "platform.pb.h"

#include <chrono>

namespace papayaspindle {

/** Access to the platform's object store. Errors: StoreUnavailable. */
class ObjectStorage
{
public:
  virtual ~ObjectStorage() = default;

  virtual Result<v1::PutObjectReply> Put(const v1::PutObjectRequest& aRequest,
                                         std::chrono::milliseconds aTimeout) = 0;
  virtual Result<v1::FetchObjectReply> Fetch(const v1::FetchObjectRequest& aRequest,
                                             std::chrono::milliseconds aTimeout) = 0;
  virtual Result<v1::ListObjectsReply> List(const v1::ListObjectsRequest& aRequest,
                                            std::chrono::milliseconds aTimeout) = 0;
};

} // namespace papayaspindle
