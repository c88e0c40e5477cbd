#include "transport/sessionstream.h"

#include "transport/callfailure.h"
#include "transport/systemtime.h"

#include <utility>

namespace papayaspindle {

namespace {

// Tags of a stream's operations; at most one of each is outstanding.
enum class Operation : std::uintptr_t
{
  Start = 1,
  Write,
  Read,
  Finish,
};

void*
Tag(Operation aOperation)
{
  return reinterpret_cast<void*>(aOperation);
}

} // namespace

SessionStream::SessionStream(const std::shared_ptr<grpc::Channel>& aChannel,
                             const std::string& aInstance,
                             std::size_t aMaxMessageBytes)
  : mStub(v1::Backend::NewStub(aChannel))
  , mMaxMessageBytes(aMaxMessageBytes)
{
  mContext.AddMetadata(kFromMetadata, aInstance);
  mContext.set_wait_for_ready(false);
  mCall = mStub->PrepareAsyncSession(&mContext, &mQueue);
  mCall->StartCall(Tag(Operation::Start));
}

SessionStream::~SessionStream()
{
  mContext.TryCancel();
  const std::lock_guard lock(mMutex);
  if (!mFinishing) {
    mCall->Finish(&mStatus, Tag(Operation::Finish));
  }
  mQueue.Shutdown();
  void* tag = nullptr;
  bool ok = false;
  while (mQueue.Next(&tag, &ok)) {
  }
}

SessionStream::Opening
SessionStream::WaitUntilOpen(TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  if (!HandleNext(SystemTime(aDeadline))) {
    mEnded = true;
    return Opening::TimedOut;
  }
  if (!mStarted) {
    mEnded = true;
    return Opening::Failed;
  }
  mCall->Read(&mIncoming, Tag(Operation::Read));
  return Opening::Ready;
}

Result<v1::SessionAnswer>
SessionStream::Run(const v1::SessionRequest& aRequest, TimePoint aDeadline)
{
  const std::lock_guard lock(mMutex);
  HandleFinished();
  if (mEnded) {
    return Error{ ErrorKind::MemberUnreachable, "the connection has ended" };
  }
  mWaiting = true;
  mAnswered = false;
  mWriting = true;
  mCall->Write(aRequest, Tag(Operation::Write));
  const auto deadline = SystemTime(aDeadline);
  while (mWriting || !(mAnswered || mEnded)) {
    if (!HandleNext(deadline)) {
      mEnded = true;
      mContext.TryCancel();
      return Error{ ErrorKind::OutcomeUnknown, "no answer before the deadline" };
    }
  }
  mWaiting = false;
  if (mAnswered) {
    return std::move(mAnswer);
  }
  return FinishFailed();
}

Error
SessionStream::FinishFailed()
{
  mContext.TryCancel();
  if (!std::exchange(mFinishing, true)) {
    mCall->Finish(&mStatus, Tag(Operation::Finish));
  }
  while (!mFinished && HandleNext(std::chrono::system_clock::time_point::max())) {
  }
  if (IsAnswerTooLarge(mStatus, mMaxMessageBytes)) {
    return Error{ ErrorKind::AnswerTooLarge, mStatus.error_message() };
  }
  return Error{ ErrorKind::OutcomeUnknown,
                "the connection ended before the answer: " + mStatus.error_message() };
}

void
SessionStream::Cancel()
{
  mEnded = true;
  mContext.TryCancel();
}

bool
SessionStream::IsOpen()
{
  const std::unique_lock lock(mMutex, std::try_to_lock);
  if (lock.owns_lock()) {
    HandleFinished();
  }
  return !mEnded;
}

void
SessionStream::HandleFinished()
{
  while (!mEnded && HandleNext(std::chrono::system_clock::now())) {
  }
}

bool
SessionStream::HandleNext(std::chrono::system_clock::time_point aDeadline)
{
  void* tag = nullptr;
  bool ok = false;
  if (mQueue.AsyncNext(&tag, &ok, aDeadline) != grpc::CompletionQueue::GOT_EVENT) {
    return false;
  }
  switch (static_cast<Operation>(reinterpret_cast<std::uintptr_t>(tag))) {
    case Operation::Start:
      mStarted = ok;
      break;
    case Operation::Write:
      mWriting = false;
      break;
    case Operation::Read:
      HandleRead(ok);
      break;
    case Operation::Finish:
      mFinished = true;
      break;
  }
  return true;
}

void
SessionStream::HandleRead(bool aOk)
{
  if (!aOk) {
    mEnded = true;
    return;
  }
  if (!mWaiting || mAnswered) {
    // An answer that nobody waits for would be taken for the next request's answer.
    Cancel();
    return;
  }
  mAnswer.Swap(&mIncoming);
  mAnswered = true;
  mCall->Read(&mIncoming, Tag(Operation::Read));
}

} // namespace papayaspindle
