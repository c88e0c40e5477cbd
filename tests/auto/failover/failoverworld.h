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

/** Random behaviour of the network between instances and members. */
struct NetworkSettings
{
  int mMostDelayMs = 2;
  int mLossPercent = 0;
  int mDuplicatePercent = 0;
};

/**
 * One group in memory on a manual clock: members that follow proto/backend.proto, one
 * home for each member's zone that runs the real GroupKeeper, writes with the real
 * AckTracker, and a table service. Nodes are numbered: members first, then homes.
 */
class FailoverWorld
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
    papayaspindle::TimePoint mHeard;
    /** Takes no new entries. */
    bool mLagging = false;
    bool mLeaving = false;
  };

  struct Write
  {
    int mNumber = 0;
    papayaspindle::TimePoint mAt;
    papayaspindle::AckTracker mTracker;
    /** A majority was in a higher term already. */
    bool mLate = false;
  };

  struct Home
  {
    std::unique_ptr<papayaspindle::GroupKeeper> mKeeper;
    papayaspindle::GroupView mView;
    std::vector<Write> mPending;
  };

  /** A paused node handles nothing and keeps what arrives; a dead one refuses. */
  struct Node
  {
    bool mPaused = false;
    bool mDead = false;
    papayaspindle::TimePoint mDeadSince;
    int mStarts = 0;
    std::vector<std::function<void()>> mKept;
  };

  struct Store
  {
    papayaspindle::RecordedView mRow;
    bool mDown = false;
    int mDelayMs = 2;
    int mLoseAnswers = 0;
  };

  FailoverWorld(int aMembers, std::uint64_t aSeed, const NetworkSettings& aNetwork = {});

  void RunFor(papayaspindle::Duration aTime);
  void Kill(int aNode);
  /** A member comes back with its log and without a role, a home without any state. */
  void Restart(int aNode);
  void SetPaused(int aNode, bool aPaused);
  /** Cuts or restores the link between two nodes. */
  void SetCut(int aNode, int aOther, bool aCut);
  /** Cuts or restores a member's or home's links to all others but the excepted ones. */
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
  /** Called before and after a home carries an action out. */
  std::function<void(int, const papayaspindle::KeeperAction&)> mOnAction;
  std::function<void(int, const papayaspindle::KeeperAction&)> mAfterAction;
  /** Acknowledged writes, and when the last of them was sent. */
  std::set<int> mAcknowledged;
  papayaspindle::TimePoint mLastAcknowledgedSent;
  /** First violation of a promise; empty for none. */
  std::string mViolation;
  bool mWriting = true;

private:
  using Handler = std::function<papayaspindle::ControlReply(Member&, int)>;
  using Replied = std::function<void(const papayaspindle::ControlReply&)>;

  void At(papayaspindle::Duration aAfter, std::function<void()> aCall);
  void OnNode(int aNode, const std::function<void()>& aCall);
  /** Hands something to a home, unless it restarts before. */
  void Return(int aHome,
              papayaspindle::Duration aAfter,
              const std::function<void()>& aCall);
  bool IsReachable(int aNode, int aOther) const;
  papayaspindle::Duration Delay();
  bool Chance(int aPercent);
  papayaspindle::MemberStatus StatusOf(int aMember) const;
  void Call(int aHome, int aMember, const Handler& aHandler, const Replied& aReplied);
  void Deliver(int aHome,
               int aMember,
               const Handler& aHandler,
               const std::function<void(papayaspindle::ControlReply)>& aReplied);
  void Poll(int aHome, int aMember);
  void TakeReports(int aHome, const papayaspindle::MemberStatus& aStatus);
  void CarryOut(int aHome, const papayaspindle::KeeperActions& aActions);
  void Send(int aHome, const papayaspindle::SendRaiseTerm& aAction);
  void Send(int aHome, const papayaspindle::SendPromote& aAction);
  void Send(int aHome, const papayaspindle::SendFollow& aAction);
  void Send(int aHome, const papayaspindle::SendStatus& aAction);
  void Send(int aHome, const papayaspindle::AskConfirmation& aAction);
  void Send(int aHome, const papayaspindle::AnnounceView& aAction);
  void Send(int aHome, const papayaspindle::ReadRecord& aAction);
  void Send(int aHome, const papayaspindle::WriteRecord& aAction);
  void OfferView(int aHome, const papayaspindle::GroupView& aView);
  void StartHome(int aHome);
  int RankOf(int aHome) const;
  void TickHome(int aHome);
  void WriteFrom(int aHome);
  void Replicate();
  int MembersInTerm(std::uint64_t aTerm, bool aOrHigher) const;
  void Violate(const std::string& aText);
  /** Checks that primaries whose term a majority holds have these writes. */
  void CheckPrimaries(const std::set<int>& aWrites);
  void CheckAnnounced(int aHome, const papayaspindle::GroupView& aView);

  struct Event
  {
    papayaspindle::TimePoint mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mCall;
    bool operator<(const Event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };

  std::mt19937_64 mRandom;
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  std::set<std::pair<int, int>> mCuts;
  int mWrites = 0;
  /** A term or a role changed in this step. */
  bool mChanged = false;
  std::map<std::uint64_t, std::pair<int, papayaspindle::TimePoint>> mPromoted;
};

/** @return the id of a member by its number */
papayaspindle::MemberId MemberName(int aMember);

/** @return the number in a member's or home's name */
int NumberOf(const std::string& aName);
