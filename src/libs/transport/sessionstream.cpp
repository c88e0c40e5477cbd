#include "transport/sessionstream.h"

#include "transport/callfailure.h"

#include <utility>

namespace papayaspindle {

std::shared_ptr<SessionStream>
SessionStream::Start(const std::shared_ptr<grpc::Channel>& aChannel,
                     const std::string& aInstance,
                     std::size_t aMaxMessageBytes)
{
  std::shared_ptr<SessionStream> stream(new SessionStream(aChannel, aMaxMessageBytes));
  stream->mSelf = stream;
  stream->mContext.AddMetadata(kFromMetadata, aInstance);
  stream->mStub.async()->Session(&stream->mContext, stream.get());
  // Without a hold gRPC could finish the stream while Run starts a write on it.
  stream->AddHold();
  stream->StartRead(&stream->mIncoming);
  stream->StartCall();
  return stream;
}

SessionStream::SessionStream(const std::shared_ptr<grpc::Channel>& aChannel,
                             std::size_t aMaxMessageBytes)
  : mStub(aChannel)
  , mMaxMessageBytes(aMaxMessageBytes)
{
}

Result<v1::SessionAnswer>
SessionStream::Run(v1::SessionRequest aRequest, TimePoint aDeadline)
{
  {
    const std::lock_guard lock(mMutex);
    if (mEnded) {
      return Error{ ErrorKind::MemberUnreachable, "the connection has ended" };
    }
    mOutgoing = std::move(aRequest);
    mWaiting = true;
    mAnswered = false;
    mStartingWrite = true;
  }
  StartWrite(&mOutgoing);
  std::unique_lock lock(mMutex);
  mStartingWrite = false;
  if (mEnded && TakeHold()) {
    lock.unlock();
    RemoveHold();
    lock.lock();
  }
  if (!mChanged.wait_until(lock, aDeadline, [this] { return mAnswered || mDone; })) {
    mEnded = true;
    lock.unlock();
    mContext.TryCancel();
    return Error{ ErrorKind::OutcomeUnknown, "no answer before the deadline" };
  }
  return TakeAnswer();
}

Result<v1::SessionAnswer>
SessionStream::TakeAnswer()
{
  mWaiting = false;
  if (mAnswered) {
    return std::move(mAnswer);
  }
  mEnded = true;
  if (IsAnswerTooLarge(mStatus, mMaxMessageBytes)) {
    return Error{ ErrorKind::AnswerTooLarge, mStatus.error_message() };
  }
  return Error{ ErrorKind::OutcomeUnknown,
                "the connection ended before the answer: " + mStatus.error_message() };
}

void
SessionStream::Cancel()
{
  {
    const std::lock_guard lock(mMutex);
    mEnded = true;
  }
  mContext.TryCancel();
}

bool
SessionStream::IsOpen() const
{
  const std::lock_guard lock(mMutex);
  return !mEnded;
}

bool
SessionStream::TakeHold()
{
  return !std::exchange(mHoldReleased, true);
}

void
SessionStream::OnReadDone(bool aOk)
{
  bool releaseHold = false;
  bool unexpected = false;
  {
    const std::lock_guard lock(mMutex);
    if (!aOk) {
      mEnded = true;
      releaseHold = !mStartingWrite && TakeHold();
    } else if (mWaiting && !mAnswered) {
      mAnswer.Swap(&mIncoming);
      mAnswered = true;
      mChanged.notify_all();
    } else {
      // An answer that nobody waits for would be taken for the next request's answer.
      mEnded = true;
      unexpected = true;
    }
  }
  if (unexpected) {
    mContext.TryCancel();
  }
  if (aOk) {
    StartRead(&mIncoming);
  }
  if (releaseHold) {
    RemoveHold();
  }
}

void
SessionStream::OnDone(const grpc::Status& aStatus)
{
  std::shared_ptr<SessionStream> self;
  {
    const std::lock_guard lock(mMutex);
    mDone = true;
    mStatus = aStatus;
    mChanged.notify_all();
    self = std::move(mSelf);
  }
}

} // namespace papayaspindle
