#pragma once

#include <string>

#include <grpcpp/server_context.h>

namespace papayaspindle::standin {

/** gRPC metadata key in which callers of the stand-ins name themselves. */
inline constexpr const char* kFromMetadataKey = "x-papayaspindle-from";

/** @return the name that the caller gave; empty for none */
std::string CallerName(const grpc::ServerContext& aContext);

} // namespace papayaspindle::standin
