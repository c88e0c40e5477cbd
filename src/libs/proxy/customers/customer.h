#pragma once

#include "decision/allowance/ratelimit.h"

#include <optional>
#include <string>

namespace papayaspindle::proxy {

/** A customer in the operator's configuration. */
struct Customer
{
  /** Name under which members know the customer. */
  std::string mName;
  /** Nothing for a customer without a limit. */
  std::optional<RateLimit> mLimit;
  /** 0 is the highest. */
  int mPriority = 0;
};

} // namespace papayaspindle::proxy
