#pragma once

#include "core/timetypes.h"
#include "interfaces/connections.h"
#include "interfaces/membercontrol.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::test {

/** A manual clock that several threads may advance. */
class ManualClock
{
public:
  [[nodiscard]] TimePoint Now() const { return TimePoint(Duration(mNow.load())); }
  void Advance(Duration aBy)
  {
    mNow += aBy.count();
    if (mAfterAdvance) {
      mAfterAdvance();
    }
  }

  /** Set only while one thread advances the clock. */
  std::function<void()> mAfterAdvance;

private:
  std::atomic<Duration::rep> mNow{ Duration(std::chrono::hours(1)).count() };
};

/** What goes wrong with one statement. */
enum class Fault : std::uint8_t
{
  None,
  /** It runs, its answer does not arrive by the deadline. */
  LoseAnswer,
  /** It does not arrive, which shows only at the deadline. */
  LoseRequest,
  /** Nothing is sent. */
  Unreachable,
};

struct FakeEntry
{
  LogPosition mPosition;
  std::string mRequestId;
  std::string mStatement;
};

struct FakeMember
{
  std::uint64_t mTerm = 1;
  bool mIsPrimary = false;
  bool mIsReachable = true;
  /** Whether it gets the primary's entries. */
  bool mReplicates = true;
  std::vector<FakeEntry> mLog;
  std::deque<Fault> mFaults;
};

/** One statement that arrived at a member. */
struct RunRecord
{
  MemberId mMember;
  ConnectionId mConnection = 0;
  v1::SessionRequest mRequest;
};

/**
 * A group of members a, b and c behind Connections and MemberControl. Statements are
 * `PUT key value`, `GET key`, `FAIL`.
 */
class FakeGroup
  : public Connections
  , public MemberControl
{
public:
  explicit FakeGroup(ManualClock& aClock);

  /** Promotes a member; the named followers take its log. */
  void Promote(const std::string& aPrimary,
               std::uint64_t aTerm,
               const std::vector<std::string>& aFollowers);
  FakeMember& Member(const std::string& aName) { return mMembers[MemberId(aName)]; }
  /** @return entries with that request id in the member's log */
  std::size_t CountOf(const std::string& aMember, const std::string& aRequestId);
  [[nodiscard]] std::size_t OpenConnections() const { return mConnections.size(); }

  Result<ConnectionId> Acquire(const AcquireRequest& aRequest) override;
  Result<v1::SessionAnswer> Run(ConnectionId aConnection,
                                v1::SessionRequest aRequest,
                                TimePoint aDeadline) override;
  void Release(ConnectionId aConnection, ConnectionState aState) override;

  Result<v1::StatusReply> Status(std::string_view aAddress,
                                 std::chrono::milliseconds aTimeout) override;
  Result<v1::StatusReply> WaitForPosition(std::string_view aAddress,
                                          const LogPosition& aPosition,
                                          PositionReached aReached,
                                          std::chrono::milliseconds aTimeout) override;
  Result<v1::FindRequestReply> FindRequest(std::string_view aAddress,
                                           const v1::FindRequestRequest& aRequest,
                                           std::chrono::milliseconds aTimeout) override;
  Result<v1::RaiseTermReply> RaiseTerm(std::string_view,
                                       const v1::RaiseTermRequest&,
                                       std::chrono::milliseconds) override;
  Result<v1::PromoteReply> Promote(std::string_view,
                                   const v1::PromoteRequest&,
                                   std::chrono::milliseconds) override;
  Result<v1::FollowReply> Follow(std::string_view,
                                 const v1::FollowRequest&,
                                 std::chrono::milliseconds) override;

  /** Error of the next calls of Acquire, by member. */
  std::map<MemberId, ErrorKind> mAcquireErrors;
  /** Called after each statement, without a lock held. */
  std::function<void(const RunRecord&)> mAfterRun;
  std::vector<RunRecord> mRuns;
  /** Connections that were closed, not pooled. */
  std::vector<ConnectionId> mCondemned;

private:
  struct Connection
  {
    MemberId mMember;
    bool mHasTransaction = false;
    std::string mWrites;
  };

  v1::SessionAnswer Answer(Connection& aConnection, const v1::SessionRequest& aRequest);
  v1::SessionAnswer Append(FakeMember& aMember, const FakeEntry& aEntry);
  void Replicate(const FakeMember& aPrimary);
  static std::string ValueOf(const FakeMember& aMember, const std::string& aKey);
  v1::StatusReply StatusOf(const MemberId& aMember);

  ManualClock& mClock;
  std::recursive_mutex mMutex;
  std::map<MemberId, FakeMember> mMembers;
  std::map<ConnectionId, Connection> mConnections;
  ConnectionId mNextConnection = 0;
};

} // namespace papayaspindle::test
