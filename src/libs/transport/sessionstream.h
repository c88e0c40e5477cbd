#pragma once

#include "backend.grpc.pb.h"
#include "core/error.h"
#include "core/timetypes.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>

namespace papayaspindle {

/**
 * One Backend.Session stream with one request at a time, driven by the thread that runs
 * the request. A read is always outstanding, so that the end of the stream is noticed
 * before the next request is sent.
 *
 * It uses a completion queue and not gRPC's callback API: gRPC 1.51 aborts now and then
 * in its callback queue's thread when the last channel of a process that uses it closes.
 */
class SessionStream
{
public:
  SessionStream(const std::shared_ptr<grpc::Channel>& aChannel,
                const std::string& aInstance,
                std::size_t aMaxMessageBytes);
  /** Cancels the stream and waits until gRPC has finished with it. */
  ~SessionStream();

  /** What became of an attempt to open the stream. */
  enum class Opening
  {
    Ready,
    Failed,
    TimedOut,
  };
  /** Waits until the stream is on a connection, or until the attempt failed. */
  Opening WaitUntilOpen(TimePoint aDeadline);

  /**
   * @param aRequest its sequence is already set
   * @return the next answer, MemberUnreachable when the stream had ended before, or
   * OutcomeUnknown or AnswerTooLarge when the request was sent
   */
  Result<v1::SessionAnswer> Run(const v1::SessionRequest& aRequest, TimePoint aDeadline);
  /** Ends the stream; the backend server rolls an open transaction back. Thread-safe. */
  void Cancel();
  /** @return whether a request can still be sent. Thread-safe. */
  [[nodiscard]] bool IsOpen();

private:
  /** Waits for one operation. @return false at the deadline */
  bool HandleNext(std::chrono::system_clock::time_point aDeadline);
  void HandleRead(bool aOk);
  /** Handles what has finished, without waiting. */
  void HandleFinished();
  Error FinishFailed();

  std::unique_ptr<v1::Backend::Stub> mStub;
  grpc::ClientContext mContext;
  const std::size_t mMaxMessageBytes;
  grpc::CompletionQueue mQueue;
  std::unique_ptr<grpc::ClientAsyncReaderWriter<v1::SessionRequest, v1::SessionAnswer>>
    mCall;
  v1::SessionAnswer mIncoming;
  v1::SessionAnswer mAnswer;
  grpc::Status mStatus;
  /** Held while operations are started or handled. */
  std::mutex mMutex;
  bool mStarted = false;
  bool mWriting = false;
  bool mWaiting = false;
  bool mAnswered = false;
  bool mFinishing = false;
  bool mFinished = false;
  /** No further request may be sent. */
  std::atomic<bool> mEnded = false;
};

} // namespace papayaspindle
