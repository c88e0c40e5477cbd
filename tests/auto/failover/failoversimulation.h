#pragma once

#include "decision/failover/groupkeeper.h"
#include "decision/write/acktracker.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/** Random delay, loss and duplication of messages between instances and members. */
struct NetworkSettings
{
  int mMaxDelayMs = 2;
  int mLossPercent = 0;
  int mDuplicatePercent = 0;
};

/**
 * Simulates one group in memory on a manual clock: members that implement
 * proto/backend.proto, one home in each member's zone with a real GroupKeeper, writes
 * that are tracked by a real AckTracker, and a table service. Nodes are numbered, first
 * the members, then the homes.
 */
class FailoverSimulation
{
public:
  struct Entry
  {
    papayaspindle::LogPosition mPosition;
    int mWrite = 0;
    bool operator==(const Entry&) const = default;
  };

  struct Member
  {
    std::uint64_t mTerm = 1;
    papayaspindle::MemberRole mRole = papayaspindle::MemberRole::Replica;
    std::string mRaisedBy;
    int mPrimary = 0;
    std::vector<Entry> mLog;
    papayaspindle::TimePoint mLastPrimaryContactAt;
    /** Whether replication to the member is suspended. */
    bool mLagging = false;
    bool mLeaving = false;
  };

  struct Write
  {
    int mNumber = 0;
    papayaspindle::TimePoint mSentAt;
    papayaspindle::AckTracker mTracker;
    /** Whether a majority was already in a higher term when the write was appended. */
    bool mAppendedInSupersededTerm = false;
  };

  struct Home
  {
    std::unique_ptr<papayaspindle::GroupKeeper> mKeeper;
    papayaspindle::GroupView mView;
    std::vector<Write> mPendingWrites;
  };

  /** A paused node handles messages when it resumes; a dead one refuses connections. */
  struct Node
  {
    bool mPaused = false;
    bool mDead = false;
    papayaspindle::TimePoint mKilledAt;
    int mStartCount = 0;
    std::vector<std::function<void()>> mDeferredCalls;
  };

  struct Store
  {
    papayaspindle::RecordedView mRow;
    bool mDown = false;
    int mDelayMs = 2;
    int mAnswersToLose = 0;
  };

  FailoverSimulation(int aMembers,
                     std::uint64_t aSeed,
                     const NetworkSettings& aNetwork = {});

  void RunFor(papayaspindle::Duration aTime);
  void Kill(int aNode);
  /** Restarts a node: a member keeps its log and term but loses its role, a home loses
   * all its state. */
  void Restart(int aNode);
  void SetPaused(int aNode, bool aPaused);
  /** Cuts or restores the link between two nodes. */
  void SetLinkCut(int aNode, int aOther, bool aCut);
  /** Cuts or restores the node's links to all other nodes but those in aExcept. */
  void Isolate(int aNode, bool aCut, const std::set<int>& aExcept = {});

  [[nodiscard]] int HomeNode(int aHome) const { return MemberCount() + aHome; }
  [[nodiscard]] int MemberCount() const { return static_cast<int>(mMembers.size()); }
  [[nodiscard]] std::uint64_t HighestTerm() const;

  papayaspindle::TimePoint mNow{ std::chrono::seconds(100) };
  std::vector<Member> mMembers;
  std::vector<Home> mHomes;
  std::vector<Node> mNodes;
  Store mStore;
  NetworkSettings mNetwork;
  /** Called before and after a home carries out an action, with the home's number. */
  std::function<void(int, const papayaspindle::KeeperAction&)> mBeforeAction;
  std::function<void(int, const papayaspindle::KeeperAction&)> mAfterAction;
  /** Numbers of the acknowledged writes. */
  std::set<int> mAcknowledged;
  /** Latest time at which an acknowledged write was sent. */
  papayaspindle::TimePoint mLastAcknowledgedSentAt;
  /** First violation of an invariant; empty for none. */
  std::string mViolation;
  bool mWritesEnabled = true;

private:
  using RequestHandler = std::function<papayaspindle::ControlReply(Member&, int)>;
  using ReplyCallback = std::function<void(const papayaspindle::ControlReply&)>;

  void Schedule(papayaspindle::Duration aAfter, std::function<void()> aCall);
  void RunOnNode(int aNode, const std::function<void()>& aCall);
  /** Schedules a call on a home; dropped if the home restarts before. */
  void ScheduleOnHome(int aHome,
                      papayaspindle::Duration aAfter,
                      const std::function<void()>& aCall);
  bool IsReachable(int aNode, int aOther) const;
  papayaspindle::Duration RandomDelay();
  bool RandomChance(int aPercent);
  papayaspindle::MemberStatus StatusOf(int aMember) const;
  void CallMember(int aHome,
                  int aMember,
                  const RequestHandler& aHandler,
                  const ReplyCallback& aOnReply);
  void DeliverRequest(int aHome,
                      int aMember,
                      const RequestHandler& aHandler,
                      const std::function<void(papayaspindle::ControlReply)>& aOnReply);
  void SchedulePoll(int aHome, int aMember);
  void HandleReport(int aHome, const papayaspindle::MemberStatus& aStatus);
  void CarryOut(int aHome, const papayaspindle::KeeperActions& aActions);
  void Send(int aHome, const papayaspindle::SendRaiseTerm& aAction);
  void Send(int aHome, const papayaspindle::SendPromote& aAction);
  void Send(int aHome, const papayaspindle::SendFollow& aAction);
  void Send(int aHome, const papayaspindle::SendStatus& aAction);
  void Send(int aHome, const papayaspindle::RequestConfirmation& aAction);
  void Send(int aHome, const papayaspindle::AnnounceView& aAction);
  void Send(int aHome, const papayaspindle::ReadRecord& aAction);
  void Send(int aHome, const papayaspindle::WriteRecord& aAction);
  void UpdateView(int aHome, const papayaspindle::GroupView& aView);
  void StartHome(int aHome);
  int RankOf(int aHome) const;
  void ScheduleTick(int aHome);
  void ScheduleWrites(int aHome);
  void ScheduleReplication();
  int MembersInTerm(std::uint64_t aTerm, bool aOrHigher) const;
  void RecordViolation(const std::string& aText);
  /** Checks that each primary whose term a majority of members is in has these writes. */
  void CheckPrimaries(const std::set<int>& aWrites);
  void CheckAnnouncedView(int aHome, const papayaspindle::GroupView& aView);

  struct Event
  {
    papayaspindle::TimePoint mTime;
    std::uint64_t mSequence = 0;
    std::function<void()> mCall;
    bool operator<(const Event& aOther) const
    {
      return std::pair(mTime, mSequence) > std::pair(aOther.mTime, aOther.mSequence);
    }
  };

  std::mt19937_64 mRandom;
  std::priority_queue<Event> mEvents;
  std::uint64_t mLastSequence = 0;
  std::set<std::pair<int, int>> mCutLinks;
  int mWriteCount = 0;
  /** Whether a member's term or role changed since the last check. */
  bool mRolesChanged = false;
  /** For each term, the first member that was promoted, and when. */
  std::map<std::uint64_t, std::pair<int, papayaspindle::TimePoint>> mFirstPromotions;
};

/** @return the id of the member with this number */
papayaspindle::MemberId MemberIdOf(int aMember);

/** @return the number that follows the first letter of a member's or home's name */
int NumberInName(const std::string& aName);
