#pragma once

#include "standin.pb.h"
#include "standin/memberjournal.h"
#include "standin/memberstate.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace papayaspindle::standin {

/** Whom a replica pulls from, and in which term. */
struct ReplicationSource
{
  std::uint64_t mTerm = 0;
  v1::MemberAddress mPrimary;
  std::vector<LogPosition> mTermEnds;
};

/**
 * A member shared by the calls to it, with the thread that applies lagging entries.
 *
 * Thread-safe; its lock is a leaf.
 */
class Member
{
public:
  /** Asked now and then by waiting calls; true ends the wait. */
  using EndedHook = std::function<bool()>;

  Member(std::string aMember, std::string aAvailabilityZone);
  ~Member();

  /**
   * Reads the journal of an earlier process and appends every change to it from now on;
   * called before any other call.
   *
   * @return false when the file cannot be read or written
   */
  bool OpenJournal(const std::string& aPath);
  void SetReplicationLag(std::chrono::milliseconds aLag);

  [[nodiscard]] v1::StatusReply Status() const;
  v1::RaiseTermReply Raise(const v1::RaiseTermRequest& aRequest);
  v1::PromoteReply Promote(const v1::PromoteRequest& aRequest);
  v1::FollowReply Follow(const v1::FollowRequest& aRequest);
  [[nodiscard]] v1::FindRequestReply FindRequest(const std::string& aRequestId) const;
  v1::SessionAnswer Run(SessionState& aSession, const v1::SessionRequest& aRequest);
  /** Waits until the member reached the position, the time is over or the call ended. */
  void WaitForPosition(const v1::WaitForPositionRequest& aRequest,
                       const EndedHook& aEnded);

  /** @return the first batch for a follower, or nothing unless it is of this member's own
   * term and this member is the primary */
  std::optional<v1::ReplicateBatch> FirstBatch(const v1::ReplicateRequest& aRequest);
  /**
   * Waits up to aTime for entries.
   *
   * @return a batch, without entries when none arrived; nothing once this member is no
   * longer the primary of the term
   */
  std::optional<v1::ReplicateBatch> NextBatch(std::uint64_t aTerm,
                                              std::uint64_t aAfterIndex,
                                              std::chrono::milliseconds aTime);

  /** @return whom to pull from; nothing unless this member is a replica */
  std::optional<ReplicationSource> Source() const;
  /** @return whether a pull from that source is still wanted */
  [[nodiscard]] bool IsSource(const ReplicationSource& aSource) const;
  /** @copydoc MemberState::Receive */
  bool Receive(const v1::ReplicateBatch& aBatch);

  /** Adds entries to the reply. */
  void ReadLog(const v1::ReadLogRequest& aRequest, v1::ReadLogReply& aReply) const;

private:
  void ApplyLoop();
  [[nodiscard]] bool HasReached(const v1::WaitForPositionRequest& aRequest) const;

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  MemberJournal mJournal;
  MemberState mState;
  Duration mLag{};
  bool mStopping = false;
  std::thread mApplier;
};

} // namespace papayaspindle::standin
