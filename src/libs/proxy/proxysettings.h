#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <string>

namespace papayaspindle::proxy {

/** Settings of the data path. */
struct ProxySettings
{
  /** Name of this instance. */
  std::string mInstance;
  /** Availability zone of this instance; its members are preferred. */
  std::string mZone;
  /** Time from the request to stop until the process is killed. */
  Duration mGrace = std::chrono::seconds(6);
};

} // namespace papayaspindle::proxy
