#include "standin/callername.h"

namespace papayaspindle::standin {

std::string
CallerName(const grpc::ServerContext& aContext)
{
  const auto found = aContext.client_metadata().find(kFromMetadataKey);
  if (found == aContext.client_metadata().end()) {
    return {};
  }
  return { found->second.data(), found->second.size() };
}

} // namespace papayaspindle::standin
