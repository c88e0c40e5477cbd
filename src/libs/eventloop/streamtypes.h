#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <functional>
#include <string>

namespace papayaspindle {

/** Id of a stream in its table; never used again. */
using StreamKey = std::uint64_t;

/** How fast the death of a stream's peer is noticed. */
struct StreamLiveness
{
  /** Sent data that stays unacknowledged this long ends the stream. */
  Duration mUnacknowledged = std::chrono::seconds(5);
  /** A silent stream is probed after this time. */
  Duration mProbeAfter = std::chrono::seconds(5);
  /** Time between probes; the stream ends after three without an answer. */
  Duration mProbeInterval = std::chrono::seconds(1);
};

/** What happens on a stream. Each hook may be empty. */
struct StreamHooks
{
  /** The connection that was asked for is open. */
  std::function<void(StreamKey)> mConnected;
  /** Input has arrived; the hook erases from the front what it has taken. */
  std::function<void(StreamKey, std::string& aInput)> mInput;
  /** The stream has ended and is gone from the table. Not called after Close. */
  std::function<void(StreamKey)> mEnded;
};

} // namespace papayaspindle
