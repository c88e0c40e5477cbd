#pragma once

#include "core/error.h"
#include "core/timetypes.h"
#include "interfaces/peercalls.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace papayaspindle {

class PeerLink;

/** One call between the thread that waits for it and the loop that carries it. */
class PendingCall
{
public:
  explicit PendingCall(PeerCall aCall);

  /** What is sent; the body is taken when the request is submitted. */
  PeerCall mCall;
  const TimePoint mDeadline;

  // Of the loop's thread only.
  std::weak_ptr<PeerLink> mLink;
  std::int32_t mStream = 0;
  TimePoint mSubmitted;

  /** Loop: @return false when the caller gave up; the request must not be written */
  bool MarkSent();
  /** Loop: ends the call; only the first end counts. */
  void Finish(Result<std::string> aReply);
  /** Loop: ends the call with a kind that is true whether or not it was sent. */
  void Fail(ErrorKind aNotSent, const std::string& aMessage);

  /** Caller: waits for the reply, at most until the deadline. */
  Result<std::string> Wait();
  /** Caller: @return whether the deadline ended the call */
  [[nodiscard]] bool IsAbandoned() const;

private:
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::optional<Result<std::string>> mReply;
  bool mSent = false;
  bool mAbandoned = false;
};

} // namespace papayaspindle
