#pragma once

#include "platform.grpc.pb.h"

#include <map>
#include <mutex>
#include <string>

namespace papayaspindle::standin {

class FaultSwitches;

/** The platform's object store, under the fault switches. */
class ObjectServiceImpl : public v1::ObjectStore::Service
{
public:
  explicit ObjectServiceImpl(FaultSwitches& aSwitches)
    : mSwitches(aSwitches)
  {
  }

  grpc::Status PutObject(grpc::ServerContext* aContext,
                         const v1::PutObjectRequest* aRequest,
                         v1::PutObjectReply* aReply) override;
  grpc::Status FetchObject(grpc::ServerContext* aContext,
                           const v1::FetchObjectRequest* aRequest,
                           v1::FetchObjectReply* aReply) override;
  grpc::Status ListObjects(grpc::ServerContext* aContext,
                           const v1::ListObjectsRequest* aRequest,
                           v1::ListObjectsReply* aReply) override;

private:
  FaultSwitches& mSwitches;
  std::mutex mMutex;
  std::map<std::string, std::string> mObjects;
};

} // namespace papayaspindle::standin
