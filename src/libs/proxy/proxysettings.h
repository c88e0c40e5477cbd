#pragma once

#include "core/timetypes.h"
#include "proxy/customers/sessionaccess.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace papayaspindle::proxy {

/** Settings of the data path. */
struct ProxySettings
{
  /** Name of this instance. */
  std::string mInstance;
  /** Availability zone of this instance; reads prefer members in this zone. */
  std::string mZone;
  /** Time between the stop request and the moment when the process is killed. */
  Duration mGrace = std::chrono::seconds(6);
  /** Bytes of one session's values and prepared statements above which SET and PREPARE
   * are refused. */
  std::size_t mMaxSessionBytes = 2U << 20U;
  KeyPolicy mKeyPolicy = KeyPolicy::IfCustomersExist;
};

} // namespace papayaspindle::proxy
