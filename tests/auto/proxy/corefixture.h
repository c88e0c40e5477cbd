#pragma once

#include "proxy/proxycore.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/** A ProxyCore with recorded hook calls, a manual clock, and members whose replies the
 * test provides. */
class CoreFixture
{
public:
  struct SentCommand
  {
    ConnectionKey mConnection = 0;
    MemberCommand mCommand;
  };

  enum class InitialState
  {
    Configured,
    Unconfigured,
  };

  explicit CoreFixture(InitialState aInitialState = InitialState::Configured)
    : mCore(Settings(), Hooks())
  {
    if (aInitialState == InitialState::Unconfigured) {
      return;
    }
    mCore.OnConfiguration(Configuration(1), mNow);
    ListMembers();
    OpenRequestedConnections();
    mSent.clear();
  }

  static ProxySettings Settings()
  {
    ProxySettings settings;
    settings.mInstance = "instance-1";
    settings.mZone = "zone-a";
    return settings;
  }

  static Route MakeRoute(const std::string& aDatabase, Consistency aConsistency)
  {
    Route route;
    route.mDatabase = aDatabase;
    route.mGroup = "group";
    route.mConsistency = aConsistency;
    route.mStatementTimeout = 800ms;
    route.mLatencyObjective = 200ms;
    route.mMaxStaleness = aConsistency == Consistency::Primary ? 0ms : 1500ms;
    route.mPriority = aConsistency == Consistency::Primary ? 1 : 2;
    return route;
  }

  static ProxyConfiguration Configuration(std::uint64_t aVersion)
  {
    ProxyConfiguration configuration;
    configuration.mVersion = aVersion;
    for (const auto& [name, consistency] :
         { std::pair{ "main", Consistency::Primary },
           std::pair{ "views", Consistency::Bounded },
           std::pair{ "ledger", Consistency::ReadYourWrites } }) {
      configuration.mRoutes[name] = MakeRoute(name, consistency);
    }
    configuration.mGroups["group"] = { "group", 16, 0 };
    return configuration;
  }

  static MemberEntry Entry(const std::string& aId, MemberRole aRole)
  {
    MemberEntry entry;
    entry.mId = aId;
    entry.mGroup = "group";
    entry.mAddress = "127.0.0.1:1";
    entry.mZone = "zone-a";
    entry.mSlots = 2;
    entry.mRole = aRole;
    entry.mRevision = 10;
    return entry;
  }

  void ListMembers()
  {
    mEntries = { Entry("p", MemberRole::Primary),
                 Entry("r1", MemberRole::Replica),
                 Entry("r2", MemberRole::Replica) };
    mCore.OnDirectory(mEntries, mNow);
  }

  /** Advances the clock by 100 ms and completes the connections that the core has
   * requested. */
  void OpenRequestedConnections()
  {
    Advance(100ms);
    for (const auto& [key, member] : std::exchange(mOpening, {})) {
      mMemberOf[key] = member;
      mCore.OnConnectionReady(key, LogPosition{ 1, 1 }, mNow);
    }
  }

  void Advance(Duration aTime)
  {
    mNow += aTime;
    mCore.OnTimer(mNow);
  }

  void OpenSession(SessionKey aSession,
                   const std::string& aDatabase,
                   const std::optional<KeyDigest>& aKey = std::nullopt)
  {
    mCore.OnSessionOpened(aSession, aDatabase, aKey, mNow);
  }

  void SendStatement(SessionKey aSession,
                     StatementKind aKind,
                     const std::string& aArguments = "",
                     const std::string& aName = "")
  {
    Statement statement;
    statement.mId = "id" + std::to_string(++mNextId);
    statement.mKind = aKind;
    statement.mArguments = aArguments;
    statement.mName = aName;
    mCore.OnStatement(aSession, statement, mNow);
  }

  /** @return the last command of the given kind that was sent; throws, and thereby fails
   * the test, when there was none */
  const SentCommand& LastSent(CommandKind aKind) const
  {
    const auto found =
      std::find_if(mSent.rbegin(), mSent.rend(), [&](const SentCommand& aSent) {
        return aSent.mCommand.mKind == aKind;
      });
    if (found == mSent.rend()) {
      throw std::runtime_error("no such command was sent");
    }
    return *found;
  }

  std::size_t SentCount(CommandKind aKind) const
  {
    return static_cast<std::size_t>(
      std::count_if(mSent.begin(), mSent.end(), [&](const SentCommand& aSent) {
        return aSent.mCommand.mKind == aKind;
      }));
  }

  std::string MemberOf(const SentCommand& aSent) const
  {
    return mMemberOf.at(aSent.mConnection);
  }

  void ReplySuccess(ConnectionKey aConnection,
                    const std::string& aSignature,
                    TransactionState aState = TransactionState::Idle,
                    LogPosition aPosition = { 1, 5 })
  {
    MemberReply reply;
    reply.mText = aSignature;
    reply.mState = aState;
    reply.mPosition = aPosition;
    if (aSignature != kUnsigned) {
      reply.mRows = { "row" };
    }
    mCore.OnReply(aConnection, reply, mNow);
  }

  void ReplyError(ConnectionKey aConnection,
                  AnswerCode aCode,
                  TransactionState aState = TransactionState::Idle)
  {
    MemberReply reply;
    reply.mError = aCode;
    reply.mText = "refused";
    reply.mState = aState;
    reply.mPosition = LogPosition{ 1, 5 };
    mCore.OnReply(aConnection, reply, mNow);
  }

  const ClientAnswer& LastAnswer(SessionKey aSession) const
  {
    return mAnswers.at(aSession).back();
  }

  std::size_t AnswerCount(SessionKey aSession) const
  {
    const auto found = mAnswers.find(aSession);
    return found == mAnswers.end() ? 0 : found->second.size();
  }

  /** @return log lines that name the aNumber-th statement of the test */
  std::vector<std::string> LogLinesOf(std::uint64_t aNumber) const
  {
    std::vector<std::string> lines;
    for (const std::string& line : mLog) {
      if (line.find(" id=id" + std::to_string(aNumber) + " ") != std::string::npos) {
        lines.push_back(line);
      }
    }
    return lines;
  }

  /** @return the last log line of an event, or an empty string if there is none */
  std::string LogLine(const std::string& aEvent) const
  {
    const auto found =
      std::find_if(mLog.rbegin(), mLog.rend(), [&](const std::string& aLine) {
        return aLine.starts_with(aEvent + " ");
      });
    return found == mLog.rend() ? std::string() : *found;
  }

  /** Answers the core's requests for position samples. */
  void AnswerSamples(LogPosition aPosition)
  {
    for (const SentCommand& sent : std::exchange(mSent, {})) {
      if (sent.mCommand.mKind == CommandKind::Begin) {
        ReplySuccess(sent.mConnection, kUnsigned, TransactionState::Open, aPosition);
      } else if (sent.mCommand.mKind == CommandKind::Rollback) {
        ReplySuccess(sent.mConnection, kUnsigned, TransactionState::Idle, aPosition);
      }
    }
  }

  /** Runs a write whose reply provides a position sample. */
  void SampleByWrite(LogPosition aPosition)
  {
    constexpr SessionKey kWriter = 9000;
    OpenSession(kWriter, "main");
    SendStatement(kWriter, StatementKind::Write, "item data");
    ReplySuccess(
      LastSent(CommandKind::Write).mConnection, "sig", TransactionState::Idle, aPosition);
    mCore.OnSessionClosed(kWriter, mNow);
    mSent.clear();
  }

  TimePoint mNow{ std::chrono::hours(1) };
  std::vector<MemberEntry> mEntries;
  std::vector<SentCommand> mSent;
  std::map<SessionKey, std::vector<ClientAnswer>> mAnswers;
  std::vector<std::pair<ConnectionKey, std::string>> mOpening;
  std::map<ConnectionKey, std::string> mMemberOf;
  std::vector<ConnectionKey> mClosedConnections;
  std::vector<SessionKey> mClosedSessions;
  std::vector<SessionKey> mWelcomed;
  std::vector<std::pair<OperationKey, ForwardedStatement>> mForwarded;
  /** Home to which each statement of mForwarded was sent. */
  std::vector<std::string> mForwardedHomes;
  /** Number of transactions that were ended at their homes. */
  std::size_t mEndedTransactions = 0;
  bool mIsHome = true;
  /** Customer in whose name each connection was opened. */
  std::map<ConnectionKey, std::string> mCustomerOf;
  /** Whether the instance holds a lease on the member as leader at a time; always true by
   * default. */
  std::function<bool(std::string_view aMember, TimePoint)> mHoldsLease =
    [](std::string_view, TimePoint) { return true; };
  /** Leader that the instances have agreed on; see ProxyHooks::mLeader. */
  std::optional<std::string> mAgreedLeader;
  /** Home that runs a customer's statements; this instance by default. */
  std::function<std::optional<std::string>(std::string_view aCustomer,
                                           std::uint32_t aSpread,
                                           const std::set<std::string>& aExcluded)>
    mPickCustomerHome =
      [](std::string_view, std::uint32_t, const std::set<std::string>&) {
        return std::optional<std::string>("instance-1");
      };
  std::vector<CapacityReport> mReports;
  /** Decision on each operation that needs a token. */
  TokenDecision mTokenDecision{ TokenOutcome::Granted, {}, mNow + 300ms };
  std::vector<std::pair<OperationKey, std::string>> mTokenRequests;
  std::vector<TimePoint> mReturnedTokens;
  std::vector<OperationKey> mCancelledTokens;
  std::vector<std::string> mLog;

private:
  ProxyHooks Hooks()
  {
    ProxyHooks hooks;
    hooks.mAnswer = [this](SessionKey aKey, const ClientAnswer& aAnswer) {
      mAnswers[aKey].push_back(aAnswer);
    };
    hooks.mAcceptSession = [this](SessionKey aKey) { mWelcomed.push_back(aKey); };
    hooks.mCloseSession = [this](SessionKey aKey) { mClosedSessions.push_back(aKey); };
    hooks.mOpen =
      [this](ConnectionKey aKey, const MemberEntry& aMember, std::string_view aCustomer) {
        mCustomerOf[aKey] = aCustomer;
        mOpening.emplace_back(aKey, aMember.mId);
      };
    hooks.mSend = [this](ConnectionKey aKey, std::span<const MemberCommand> aCommands) {
      for (const MemberCommand& command : aCommands) {
        mSent.push_back({ aKey, command });
      }
    };
    hooks.mCloseConnection = [this](ConnectionKey aKey) {
      mClosedConnections.push_back(aKey);
    };
    hooks.mIsHome = [this](std::string_view) { return mIsHome; };
    hooks.mHomeCount = [](std::string_view) { return 4U; };
    hooks.mPickHome = [](std::string_view,
                         const std::set<std::string>& aExcluded,
                         TimePoint) -> std::optional<std::string> {
      for (const char* home : { "home-1", "home-2" }) {
        if (!aExcluded.contains(home)) {
          return home;
        }
      }
      return std::nullopt;
    };
    hooks.mPickCustomerHome = [this](std::string_view,
                                     std::string_view aCustomer,
                                     std::uint32_t aSpread,
                                     const std::set<std::string>& aExcluded,
                                     TimePoint) {
      return mPickCustomerHome(aCustomer, aSpread, aExcluded);
    };
    AddTokenHooks(hooks);
    hooks.mForward = [this](const std::string& aHome,
                            OperationKey aOperation,
                            const ForwardedStatement& aStatement) {
      mForwarded.emplace_back(aOperation, aStatement);
      mForwardedHomes.push_back(aHome);
    };
    hooks.mCancelForward = [](OperationKey) {};
    hooks.mEndForwardedTransaction = [this](const std::string&, SessionKey) {
      mEndedTransactions++;
    };
    hooks.mReportCapacity = [this](const CapacityReport& aReport) {
      mReports.push_back(aReport);
    };
    hooks.mHasLeaderLease =
      [this](std::string_view aGroup, std::string_view aMember, TimePoint aAt) {
        // LeaderLeases accepts any member as the leader of a group without a row.
        return aGroup != "group" || mHoldsLease(aMember, aAt);
      };
    hooks.mLeader = [this](std::string_view) { return mAgreedLeader; };
    hooks.mLog =
      [this](LogLevel, std::string_view aEvent, std::initializer_list<LogField> aFields) {
        std::string line(aEvent);
        for (const LogField& field : aFields) {
          line += " " + std::string(field.mKey) + "=" + field.mValue;
        }
        mLog.push_back(std::move(line));
      };
    hooks.mCount = [](std::string_view) {};
    hooks.mRecordLatency = [](std::string_view, Duration) {};
    return hooks;
  }

  void AddTokenHooks(ProxyHooks& aHooks)
  {
    aHooks.mTakeToken = [this](std::string_view aCustomer, OperationKey aKey, TimePoint) {
      mTokenRequests.emplace_back(aKey, aCustomer);
      return mTokenDecision;
    };
    aHooks.mReturnToken = [this](std::string_view, TimePoint aExpiresAt, TimePoint) {
      mReturnedTokens.push_back(aExpiresAt);
    };
    aHooks.mCancelToken = [this](std::string_view, OperationKey aKey) {
      mCancelledTokens.push_back(aKey);
    };
  }

  std::uint64_t mNextId = 0;

public:
  ProxyCore mCore;
};

} // namespace papayaspindle::proxy
