#pragma once

#include "core/timetypes.h"
#include "eventloop/memoryaccount.h"

#include <cstdint>
#include <functional>
#include <string>

namespace papayaspindle {

/** Identifier of a stream in its table; never reused. */
using StreamKey = std::uint64_t;

/** Time limits after which a stream's peer counts as lost. */
struct StreamLiveness
{
  /** The stream ends when sent data stays unacknowledged for this time. */
  Duration mUnacknowledged = std::chrono::seconds(5);
  /** Keep-alive probes start after this time without traffic. */
  Duration mProbeAfter = std::chrono::seconds(5);
  /** Time between probes; the stream ends after three unanswered probes. */
  Duration mProbeInterval = std::chrono::seconds(1);
};

/** Hooks for the events of a stream. Each hook may be empty. */
struct StreamHooks
{
  /** A connection that Connect started is open. */
  std::function<void(StreamKey)> mConnected;
  /** Input has arrived; the hook erases the part that it has processed from the front. */
  std::function<void(StreamKey, std::string& aInput)> mInput;
  /** The stream has ended and was removed from the table. Not called after Close or
   * CloseAfterFlush. */
  std::function<void(StreamKey)> mEnded;
  /** Queued output was sent, in part or as a whole. */
  std::function<void(StreamKey)> mSent;
  /** Uses under which the stream's buffers are accounted. */
  MemoryUse mInputUse = MemoryUse::Other;
  MemoryUse mOutputUse = MemoryUse::Other;
};

} // namespace papayaspindle
