#pragma once

#include "backend.grpc.pb.h"
#include "core/error.h"
#include "core/timetypes.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>

namespace papayaspindle {

/**
 * One Backend.Session stream with one request at a time. A read is always outstanding, so
 * the end of the stream is noticed at once. Keeps itself alive until gRPC has finished
 * with it.
 */
class SessionStream
  : private grpc::ClientBidiReactor<v1::SessionRequest, v1::SessionAnswer>
{
public:
  /** Starts a stream on a channel that is ready. */
  static std::shared_ptr<SessionStream> Start(
    const std::shared_ptr<grpc::Channel>& aChannel,
    const std::string& aInstance,
    std::size_t aMaxMessageBytes);

  /**
   * @param aRequest its sequence is already set
   * @return the next answer, MemberUnreachable when the stream had ended before, or
   * OutcomeUnknown or AnswerTooLarge when the request was sent
   */
  Result<v1::SessionAnswer> Run(v1::SessionRequest aRequest, TimePoint aDeadline);
  /** Ends the stream; the backend server rolls an open transaction back. */
  void Cancel();
  /** @return whether a request can still be sent */
  [[nodiscard]] bool IsOpen() const;

private:
  SessionStream(const std::shared_ptr<grpc::Channel>& aChannel,
                std::size_t aMaxMessageBytes);

  void OnReadDone(bool aOk) override;
  void OnDone(const grpc::Status& aStatus) override;
  /** Called with the lock held. @return whether the caller must release the hold */
  bool TakeHold();
  /** Called with the lock held, once an answer or the stream's end is there. */
  Result<v1::SessionAnswer> TakeAnswer();

  v1::Backend::Stub mStub;
  grpc::ClientContext mContext;
  const std::size_t mMaxMessageBytes;
  v1::SessionRequest mOutgoing;
  v1::SessionAnswer mIncoming;
  std::shared_ptr<SessionStream> mSelf;

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  v1::SessionAnswer mAnswer;
  grpc::Status mStatus;
  /** A request waits for its answer. */
  bool mWaiting = false;
  bool mAnswered = false;
  /** StartWrite is being called; the hold must stay. */
  bool mStartingWrite = false;
  bool mHoldReleased = false;
  /** No further answer can arrive, or one arrived that nobody asked for. */
  bool mEnded = false;
  bool mDone = false;
};

} // namespace papayaspindle
