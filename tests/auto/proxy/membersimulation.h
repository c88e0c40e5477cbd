#pragma once

#include "memberfaults.h"
#include "proxy/proxycore.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/**
 * Simulates one group of members that several data paths share, with seeded delays,
 * refusals, lost answers, broken connections and changes of primary, on simulated time.
 *
 * The members check for each received statement that the state of its connection is the
 * one that the client expects.
 */
class MemberSimulation
{
public:
  /** State that a client expects for the execution of a statement. */
  struct Expectation
  {
    SessionKey mSession = 0;
    std::map<std::string, std::string, std::less<>> mValues;
    std::string mShape;
    bool mIsWrite = false;
    bool mInTransaction = false;
    Consistency mConsistency = Consistency::Primary;
    /** Log position that a read must see. */
    std::uint64_t mRequiredIndex = 0;
  };

  MemberSimulation(std::size_t aCores, std::uint64_t aSeed, MemberFaults aFaults = {})
    : mFaults(aFaults)
    , mRandom(aSeed)
  {
    for (const char* id : { "p", "r1", "r2" }) {
      mMembers[id];
    }
    for (std::size_t index = 0; index < aCores; index++) {
      ProxySettings settings;
      settings.mInstance = "instance-" + std::to_string(index);
      settings.mZone = "zone-a";
      mCores.push_back(std::make_unique<ProxyCore>(settings, Hooks(index)));
      mCores.back()->OnConfiguration(Configuration(), mNow);
    }
    ListMembers();
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += 5ms;
      while (!mScheduledTasks.empty() && mScheduledTasks.begin()->first <= mNow) {
        const auto task = std::move(mScheduledTasks.begin()->second);
        mScheduledTasks.erase(mScheduledTasks.begin());
        task();
      }
      for (auto& core : mCores) {
        core->OnTimer(mNow);
      }
    }
  }

  double Chance() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }
  std::uint64_t RandomBelow(std::uint64_t aLimit) { return mRandom() % aLimit; }

  /** Makes another member the primary; it has all commits. */
  void ChangePrimary()
  {
    mTerm++;
    mPrimary = mPrimary == "p" ? "r1" : mPrimary == "r1" ? "r2" : "p";
    mMembers[mPrimary].mApplied = mCommitted;
    for (auto& [key, connection] : mConnections) {
      if (connection.mMember != mPrimary && connection.mIsWriteTransaction) {
        connection.mHasLostPrimary = true;
      }
    }
    ListMembers();
  }

  void BreakConnections(double aShare)
  {
    std::vector<std::pair<std::size_t, ConnectionKey>> broken;
    for (const auto& [key, connection] : mConnections) {
      if (Chance() < aShare) {
        broken.push_back(key);
      }
    }
    for (const auto& key : broken) {
      mConnections.erase(key);
      mCores[key.first]->OnConnectionFailed(key.second, mNow);
    }
  }

  /** Records that commits up to a position have been acknowledged to a client. */
  void RecordAcknowledged(std::uint64_t aPosition)
  {
    mAcknowledged.emplace_back(mNow, aPosition);
  }

  /** @return newest position that was acknowledged before a given time */
  std::uint64_t AcknowledgedBefore(TimePoint aTime) const
  {
    std::uint64_t newest = 0;
    for (const auto& [at, position] : mAcknowledged) {
      newest = at < aTime ? std::max(newest, position) : newest;
    }
    return newest;
  }

  TimePoint mNow{ std::chrono::hours(1) };
  std::vector<std::unique_ptr<ProxyCore>> mCores;
  std::map<std::string, Expectation> mExpectations;
  /** Ids of committed statements with the log positions of their commits. */
  std::map<std::string, std::uint64_t> mCommittedStatements;
  std::uint64_t mCommitted = 0;
  std::vector<std::string> mViolations;
  /** Called with each answer to a client. */
  std::function<void(std::size_t aCore, SessionKey, const ClientAnswer&)> mOnAnswer;
  std::function<void(std::size_t aCore, SessionKey)> mOnClosed;
  double mRefusedShare = 0;
  double mLostAnswerShare = 0;
  std::size_t mMaxOpenConnections = 0;

  static constexpr std::uint32_t kMaxConnections = 16;

private:
  struct Member
  {
    /** Newest commit that is visible to reads. */
    std::uint64_t mApplied = 0;
  };

  struct Connection
  {
    std::string mMember;
    std::map<std::string, std::string, std::less<>> mValues;
    std::map<std::string, std::string> mShapes;
    TransactionState mState = TransactionState::Idle;
    bool mIsWriteTransaction = false;
    bool mHasLostPrimary = false;
    /** Session that owns the open transaction. */
    std::optional<SessionKey> mOwner;
    std::vector<std::string> mPending;
    TimePoint mFreeAt;
  };

  using Key = std::pair<std::size_t, ConnectionKey>;

  void Schedule(TimePoint aTime, std::function<void()> aTask)
  {
    mScheduledTasks.emplace(aTime, std::move(aTask));
  }

  Duration RandomDelay(int aMostMs)
  {
    return std::chrono::milliseconds(1 +
                                     RandomBelow(static_cast<std::uint64_t>(aMostMs)));
  }

  static ProxyConfiguration Configuration()
  {
    ProxyConfiguration configuration;
    configuration.mVersion = 1;
    const std::pair<const char*, Consistency> routes[] = {
      { "main", Consistency::Primary },
      { "views", Consistency::Bounded },
      { "ledger", Consistency::ReadYourWrites },
    };
    for (const auto& [name, consistency] : routes) {
      Route route;
      route.mDatabase = name;
      route.mGroup = "group";
      route.mConsistency = consistency;
      route.mStatementTimeout = 800ms;
      route.mLatencyObjective = 300ms;
      route.mMaxStaleness = consistency == Consistency::Primary ? 0ms : 1500ms;
      configuration.mRoutes[name] = route;
    }
    configuration.mGroups["group"] = { "group", kMaxConnections, 0 };
    return configuration;
  }

  void ListMembers()
  {
    mRevision++;
    std::vector<MemberEntry> entries;
    for (const auto& [id, member] : mMembers) {
      MemberEntry entry;
      entry.mId = id;
      entry.mGroup = "group";
      entry.mAddress = "127.0.0.1:1";
      entry.mZone = "zone-a";
      entry.mSlots = 2;
      entry.mRole = id == mPrimary ? MemberRole::Primary : MemberRole::Replica;
      entry.mRevision = mRevision;
      entries.push_back(entry);
    }
    for (auto& core : mCores) {
      core->OnDirectory(entries, mNow);
    }
  }

  LogPosition PositionOf(const std::string& aMember)
  {
    return { mTerm, mMembers[aMember].mApplied };
  }

  void OnOpen(const Key& aKey, const std::string& aMember)
  {
    Schedule(mNow + RandomDelay(15), [this, aKey, aMember] {
      const auto openConnections =
        std::count_if(mConnections.begin(), mConnections.end(), [&](const auto& aOther) {
          return aOther.second.mMember == aMember;
        });
      mMaxOpenConnections =
        std::max(mMaxOpenConnections, static_cast<std::size_t>(openConnections));
      if (mClosedEarly.erase(aKey) > 0) {
        return;
      }
      if (openConnections >= kMaxConnections) {
        mCores[aKey.first]->OnConnectionRefused(aKey.second, AnswerCode::TooMany, mNow);
        return;
      }
      mConnections[aKey].mMember = aMember;
      mCores[aKey.first]->OnConnectionReady(aKey.second, PositionOf(aMember), mNow);
    });
  }

  void OnSend(const Key& aKey, std::span<const MemberCommand> aCommands)
  {
    const auto found = mConnections.find(aKey);
    if (found == mConnections.end()) {
      return;
    }
    TimePoint at = std::max(mNow, found->second.mFreeAt);
    for (const MemberCommand& command : aCommands) {
      at += RandomDelay(12);
      Schedule(at, [this, aKey, command] { Execute(aKey, command); });
    }
    found->second.mFreeAt = at;
  }

  void Execute(const Key& aKey, const MemberCommand& aCommand)
  {
    const auto found = mConnections.find(aKey);
    if (found == mConnections.end()) {
      return;
    }
    Connection& connection = found->second;
    const MemberReply reply = ExecuteCommand(connection, aCommand);
    if (Chance() < mLostAnswerShare) {
      mConnections.erase(found);
      Schedule(mNow + RandomDelay(10), [this, aKey] {
        mCores[aKey.first]->OnConnectionFailed(aKey.second, mNow);
      });
      return;
    }
    const TimePoint arrival = mNow + RandomDelay(3);
    Schedule(arrival, [this, aKey, reply] {
      if (mConnections.contains(aKey)) {
        mCores[aKey.first]->OnReply(aKey.second, reply, mNow);
      }
    });
  }

  static MemberReply ErrorReply(AnswerCode aCode, const Connection& aConnection)
  {
    MemberReply reply;
    reply.mError = aCode;
    reply.mText = "refused";
    reply.mState = aConnection.mState;
    return reply;
  }

  MemberReply ExecuteCommand(Connection& aConnection, const MemberCommand& aCommand)
  {
    const bool isPrimary = aConnection.mMember == mPrimary;
    MemberReply reply;
    reply.mText = kUnsigned;
    switch (aCommand.mKind) {
      case CommandKind::Set:
        aConnection.mValues[aCommand.mName] = aCommand.mArguments;
        break;
      case CommandKind::Prepare:
        aConnection.mShapes[aCommand.mName] = aCommand.mArguments;
        break;
      case CommandKind::Reset:
        if (!mFaults.mIgnoresReset) {
          aConnection.mValues.clear();
          aConnection.mShapes.clear();
        }
        break;
      case CommandKind::Begin:
      case CommandKind::BeginRead:
        if (const auto refusal = RefusalOf(aConnection, aCommand, isPrimary)) {
          return *refusal;
        }
        aConnection.mState = TransactionState::Open;
        aConnection.mIsWriteTransaction = aCommand.mKind == CommandKind::Begin;
        aConnection.mHasLostPrimary = false;
        break;
      case CommandKind::Rollback:
        EndTransaction(aConnection);
        break;
      default:
        return RunStatement(aConnection, aCommand, isPrimary);
    }
    reply.mState = aConnection.mState;
    reply.mPosition = PositionOf(aConnection.mMember);
    return reply;
  }

  std::optional<MemberReply> RefusalOf(const Connection& aConnection,
                                       const MemberCommand& aCommand,
                                       bool aIsPrimary)
  {
    if (Chance() < mRefusedShare) {
      return ErrorReply(AnswerCode::Busy, aConnection);
    }
    const bool lacks =
      aCommand.mAfter && aCommand.mAfter->mIndex > mMembers[aConnection.mMember].mApplied;
    if (lacks && !mFaults.mIgnoresAfter) {
      return ErrorReply(AnswerCode::Lagging, aConnection);
    }
    if (aCommand.mKind == CommandKind::Begin && !aIsPrimary) {
      return ErrorReply(AnswerCode::ReadOnly, aConnection);
    }
    return std::nullopt;
  }

  static void EndTransaction(Connection& aConnection)
  {
    aConnection.mState = TransactionState::Idle;
    aConnection.mPending.clear();
    aConnection.mOwner.reset();
    aConnection.mHasLostPrimary = false;
    aConnection.mIsWriteTransaction = false;
  }

  MemberReply RunStatement(Connection& aConnection,
                           const MemberCommand& aCommand,
                           bool aIsPrimary)
  {
    const auto expected = mExpectations.find(aCommand.mId);
    if (expected == mExpectations.end()) {
      mViolations.push_back("unexpected statement: " + aCommand.mId);
      return ErrorReply(AnswerCode::BadMessage, aConnection);
    }
    if (auto refusal = RefusalOf(aConnection, aCommand, aIsPrimary)) {
      return *refusal;
    }
    const Expectation& client = expected->second;
    const bool isWrite = client.mIsWrite;
    const bool isCommit = aCommand.mKind == CommandKind::Commit;
    const bool wrote = !aConnection.mPending.empty();
    if ((aConnection.mIsWriteTransaction && aConnection.mHasLostPrimary &&
         !(isCommit && !wrote)) ||
        (isWrite && !aIsPrimary)) {
      MemberReply refusal = ErrorReply(AnswerCode::ReadOnly, aConnection);
      if (aConnection.mState == TransactionState::Open) {
        aConnection.mState = TransactionState::Failed;
        aConnection.mPending.clear();
        refusal.mState = TransactionState::Failed;
      }
      return refusal;
    }
    CheckExpectation(aConnection, aCommand, client);
    if (aConnection.mState == TransactionState::Open && client.mInTransaction) {
      aConnection.mOwner = client.mSession;
    }
    if (isCommit) {
      CommitStatements(aConnection, aConnection.mPending);
      EndTransaction(aConnection);
    } else if (isWrite && aConnection.mState == TransactionState::Open) {
      aConnection.mPending.push_back(aCommand.mId);
    } else if (isWrite) {
      CommitStatements(aConnection, { aCommand.mId });
      if (mFaults.mRunsRefused && Chance() < 0.2) {
        return ErrorReply(AnswerCode::Busy, aConnection);
      }
    }
    MemberReply reply;
    reply.mText = "sig-" + aCommand.mId;
    reply.mRows = { "row" };
    reply.mState = aConnection.mState;
    reply.mPosition = PositionOf(aConnection.mMember);
    return reply;
  }

  void CheckExpectation(const Connection& aConnection,
                        const MemberCommand& aCommand,
                        const Expectation& aClient)
  {
    if (aConnection.mValues != aClient.mValues) {
      mViolations.push_back("session values differ: " + aCommand.mId);
    }
    if (aCommand.mKind == CommandKind::Execute) {
      const auto shape = aConnection.mShapes.find(aCommand.mName);
      if (shape == aConnection.mShapes.end() || shape->second != aClient.mShape) {
        mViolations.push_back("prepared statement differs: " + aCommand.mId);
      }
    }
    if (aConnection.mOwner && aConnection.mOwner != aClient.mSession) {
      mViolations.push_back("in another session's transaction: " + aCommand.mId);
    }
    if (aClient.mInTransaction && aConnection.mState != TransactionState::Open) {
      mViolations.push_back("outside its transaction: " + aCommand.mId);
    }
    const bool isRead = !aClient.mIsWrite && aCommand.mKind != CommandKind::Commit;
    if (isRead && mMembers[aConnection.mMember].mApplied < aClient.mRequiredIndex) {
      mViolations.push_back("stale read: " + aCommand.mId);
    }
  }

  void CommitStatements(const Connection& aConnection,
                        const std::vector<std::string>& aIds)
  {
    if (aIds.empty()) {
      return;
    }
    mCommitted++;
    mMembers[aConnection.mMember].mApplied = mCommitted;
    for (const std::string& id : aIds) {
      if (!mCommittedStatements.emplace(id, mCommitted).second) {
        mViolations.push_back("executed twice: " + id);
      }
    }
    for (auto& [id, member] : mMembers) {
      if (id != aConnection.mMember) {
        Schedule(mNow + RandomDelay(200), [&replica = member, position = mCommitted] {
          replica.mApplied = std::max(replica.mApplied, position);
        });
      }
    }
  }

  ProxyHooks Hooks(std::size_t aCore)
  {
    ProxyHooks hooks;
    hooks.mAnswer = [this, aCore](SessionKey aKey, const ClientAnswer& aAnswer) {
      mOnAnswer(aCore, aKey, aAnswer);
    };
    hooks.mAcceptSession = [](SessionKey) {};
    hooks.mCloseSession = [this, aCore](SessionKey aKey) { mOnClosed(aCore, aKey); };
    hooks.mOpen =
      [this, aCore](ConnectionKey aKey, const MemberEntry& aMember, std::string_view) {
        OnOpen({ aCore, aKey }, aMember.mId);
      };
    hooks.mSend = [this, aCore](ConnectionKey aKey,
                                std::span<const MemberCommand> aCommands) {
      OnSend({ aCore, aKey }, aCommands);
    };
    hooks.mCloseConnection = [this, aCore](ConnectionKey aKey) {
      if (mConnections.erase({ aCore, aKey }) == 0) {
        mClosedEarly.insert({ aCore, aKey });
      }
    };
    hooks.mIsHome = [](std::string_view) { return true; };
    hooks.mHomeCount = [this](std::string_view) {
      return static_cast<std::uint32_t>(mCores.size());
    };
    hooks.mPickHome = [](std::string_view, const std::set<std::string>&, TimePoint) {
      return std::optional<std::string>();
    };
    hooks.mForward = [](const std::string&, OperationKey, const ForwardedStatement&) {};
    hooks.mCancelForward = [](OperationKey) {};
    hooks.mEndForwardedTransaction = [](const std::string&, SessionKey) {};
    hooks.mHasLeaderLease = [](std::string_view, std::string_view, TimePoint) {
      return true;
    };
    hooks.mLeader = [](std::string_view) { return std::nullopt; };
    hooks.mLog = [](LogLevel, std::string_view, std::initializer_list<LogField>) {};
    hooks.mCount = [](std::string_view) {};
    hooks.mRecordLatency = [](std::string_view, Duration) {};
    return hooks;
  }

  MemberFaults mFaults;
  std::mt19937_64 mRandom;
  std::multimap<TimePoint, std::function<void()>> mScheduledTasks;
  std::map<std::string, Member> mMembers;
  std::map<Key, Connection> mConnections;
  /** Connections that were closed before they were open. */
  std::set<Key> mClosedEarly;
  std::string mPrimary = "p";
  std::uint64_t mTerm = 1;
  std::uint64_t mRevision = 1;
  std::vector<std::pair<TimePoint, std::uint64_t>> mAcknowledged;
};

} // namespace papayaspindle::proxy
