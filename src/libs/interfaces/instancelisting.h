#pragma once

#include "core/error.h"
#include "platform.pb.h"

#include <chrono>

namespace papayaspindle {

/** The platform's lagging list of live and leaving instances. Errors: StoreUnavailable.
 */
class InstanceListing
{
public:
  virtual ~InstanceListing() = default;

  virtual Result<v1::ListInstancesReply> List(std::chrono::milliseconds aTimeout) = 0;
};

} // namespace papayaspindle
