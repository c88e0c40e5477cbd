#pragma once

#include "standin.pb.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>

#include <grpcpp/server_context.h>

namespace papayaspindle::standin {

/** The fault switches of one stand-in, and the waits that they cause. Thread-safe. */
class FaultSwitches
{
public:
  /** Called after each change of the switches. */
  using ChangeHook = std::function<void(const v1::FaultSettings&)>;

  /** Sets the hook; called before the server starts. */
  void SetChangeHook(ChangeHook aHook) { mOnChange = std::move(aHook); }
  /** Replaces all switches; ends open calls when the stand-in goes down. */
  void Set(const v1::FaultSettings& aSettings);
  [[nodiscard]] v1::FaultSettings Current() const;
  /** Ends every wait, so that the program can stop. */
  void Stop();
  [[nodiscard]] bool IsStopping() const;

  /** @return whether calls from or to that name pass now */
  [[nodiscard]] bool Passes(const std::string& aPeer) const;
  /**
   * Waits while the stand-in is frozen or cut off from the caller. A call that waited
   * is served late, as a packet that is retransmitted after a partition is.
   *
   * @return false when the call must end: down, cancelled or stopping
   */
  bool AdmitCall(grpc::ServerContext& aContext) const;
  /** Waits before an answer: the delay, then as AdmitCall. @return as AdmitCall */
  bool AdmitAnswer(grpc::ServerContext& aContext) const;
  /** Waits until the caller gives up, as after a lost answer. */
  void HoldUntilEnded(grpc::ServerContext& aContext) const;
  /** Sleeps unless the call ends. @return as AdmitCall */
  bool Pause(grpc::ServerContext& aContext, std::chrono::microseconds aTime) const;

  /** @return whether the answer to a change just made is to be lost; counts it */
  bool TakeLostAnswer();
  /** @return the generation that a connection opened now belongs to */
  [[nodiscard]] std::uint64_t ConnectionGeneration() const;
  /** @return whether connections of that generation went silent */
  [[nodiscard]] bool IsSilent(std::uint64_t aGeneration) const;

  /** Keeps a call in the list of those that end when the stand-in goes down. */
  class OpenCall
  {
  public:
    OpenCall(FaultSwitches& aSwitches, grpc::ServerContext& aContext);
    ~OpenCall();
    OpenCall(const OpenCall&) = delete;
    OpenCall& operator=(const OpenCall&) = delete;

  private:
    FaultSwitches& mSwitches;
    grpc::ServerContext& mContext;
  };

private:
  using Lock = std::unique_lock<std::mutex>;

  [[nodiscard]] bool PassesLocked(const std::string& aPeer) const;
  bool WaitWhileHeld(Lock& aLock, grpc::ServerContext& aContext) const;

  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  ChangeHook mOnChange;
  v1::FaultSettings mSettings;
  std::uint64_t mGeneration = 0;
  bool mStopping = false;
  std::set<grpc::ServerContext*> mOpenCalls;
};

} // namespace papayaspindle::standin
