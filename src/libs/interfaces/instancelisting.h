#pragma once

#include "core/error.h"
#include "platform.pb.h"

#include <chrono>

namespace papayaspindle {

/** Reads the platform's list of live and leaving instances. The list lags behind the real
 * state. Errors: StoreUnavailable. */
class InstanceListing
{
public:
  virtual ~InstanceListing() = default;

  virtual Result<v1::ListInstancesReply> List(std::chrono::milliseconds aTimeout) = 0;
};

} // namespace papayaspindle
