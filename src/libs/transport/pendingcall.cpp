#include "transport/pendingcall.h"

#include <utility>

namespace papayaspindle {

PendingCall::PendingCall(PeerCall aCall)
  : mCall(std::move(aCall))
  , mDeadline(Clock::now() + mCall.mTimeout)
{
}

bool
PendingCall::MarkSent()
{
  const std::lock_guard lock(mMutex);
  if (mAbandoned) {
    return false;
  }
  mSent = true;
  return true;
}

void
PendingCall::Finish(Result<std::string> aReply)
{
  {
    const std::lock_guard lock(mMutex);
    if (mReply) {
      return;
    }
    mReply = std::move(aReply);
  }
  mChanged.notify_one();
}

void
PendingCall::Fail(ErrorKind aNotSent, const std::string& aMessage)
{
  bool sent = false;
  {
    const std::lock_guard lock(mMutex);
    sent = mSent;
  }
  Finish(Error{ sent ? ErrorKind::OutcomeUnknown : aNotSent,
                mCall.mAddress + ": " + aMessage });
}

Result<std::string>
PendingCall::Wait()
{
  std::unique_lock lock(mMutex);
  if (!mChanged.wait_until(lock, mDeadline, [this] { return mReply.has_value(); })) {
    mAbandoned = true;
    const ErrorKind kind = mSent ? ErrorKind::OutcomeUnknown : ErrorKind::PeerUnreachable;
    return Error{ kind, mCall.mAddress + ": no answer before the deadline" };
  }
  return std::move(*mReply);
}

bool
PendingCall::IsAbandoned() const
{
  const std::lock_guard lock(mMutex);
  return mAbandoned;
}

} // namespace papayaspindle
