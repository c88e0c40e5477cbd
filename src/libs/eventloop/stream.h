#pragma once

#include "eventloop/streamtable.h"

#include <optional>

namespace papayaspindle {

/** State of one stream; internal to the table. */
struct StreamTable::Stream
{
  Poco::Net::StreamSocket mSocket;
  StreamHooks mHooks;
  std::string mInput;
  std::string mOutput;
  bool mIsConnecting = false;
  /** The stream is being closed; input is discarded. */
  bool mIsClosing = false;
  /** The owner has closed the stream, so no hook is called any more. */
  bool mAreHooksDisabled = false;
  bool mIsQueuedForFlush = false;
  bool mWaitsForWritable = false;
  bool mIsPaused = false;
  /** Bytes that the owner holds outside of the buffers. */
  std::size_t mHeldBytes = 0;
  /** Bytes of the queued output that was queued at mUnreadSince and is not sent yet. */
  std::size_t mUnreadMark = 0;
  /** When the check for unread output began; nothing while there is none. */
  std::optional<TimePoint> mUnreadSince;
};

} // namespace papayaspindle
