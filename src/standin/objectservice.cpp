#include "standin/objectservice.h"

#include "standin/guardedcall.h"

namespace papayaspindle::standin {

grpc::Status
ObjectServiceImpl::PutObject(grpc::ServerContext* aContext,
                             const v1::PutObjectRequest* aRequest,
                             v1::PutObjectReply* /*aReply*/)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    const std::lock_guard lock(mMutex);
    mObjects[aRequest->name()] = aRequest->content();
    return true;
  });
}

grpc::Status
ObjectServiceImpl::FetchObject(grpc::ServerContext* aContext,
                               const v1::FetchObjectRequest* aRequest,
                               v1::FetchObjectReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    const std::lock_guard lock(mMutex);
    const auto found = mObjects.find(aRequest->name());
    aReply->set_found(found != mObjects.end());
    if (aReply->found()) {
      aReply->set_content(found->second);
    }
    return false;
  });
}

grpc::Status
ObjectServiceImpl::ListObjects(grpc::ServerContext* aContext,
                               const v1::ListObjectsRequest* aRequest,
                               v1::ListObjectsReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    const std::lock_guard lock(mMutex);
    for (auto at = mObjects.lower_bound(aRequest->prefix());
         at != mObjects.end() && at->first.starts_with(aRequest->prefix());
         ++at) {
      aReply->add_names(at->first);
    }
    return false;
  });
}

} // namespace papayaspindle::standin
