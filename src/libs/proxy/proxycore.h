#pragma once

#include "proxy/admission/admissioninput.h"
#include "proxy/admission/admissionplan.h"
#include "proxy/admission/workestimates.h"
#include "proxy/explanation.h"
#include "proxy/group.h"
#include "proxy/leadership/primaryhealth.h"
#include "proxy/member.h"
#include "proxy/operation.h"
#include "proxy/poolconnection.h"
#include "proxy/proxyhooks.h"
#include "proxy/proxysettings.h"
#include "proxy/session.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayaspindle::proxy {

/**
 * Data path of an instance: client sessions, operations and connections to members.
 *
 * Receives events together with the current time, and acts only through its hooks. Not
 * thread-safe: all calls must come from one thread.
 */
class ProxyCore
{
public:
  ProxyCore(const ProxySettings& aSettings, ProxyHooks aHooks);

  // Clients

  /** @param aKey digest of the key that the client sent; nothing if it sent none */
  void OnSessionOpened(SessionKey aSession,
                       std::string_view aDatabase,
                       const std::optional<KeyDigest>& aKey,
                       TimePoint aNow);
  void OnStatement(SessionKey aSession, Statement aStatement, TimePoint aNow);
  /** Handles that a client has closed or lost its connection. */
  void OnSessionClosed(SessionKey aSession, TimePoint aNow);

  // Members

  /** Handles that the member's host has accepted the connection; the member's greeting
   * has yet to arrive. */
  void OnConnectionAccepted(ConnectionKey aConnection);
  void OnConnectionReady(ConnectionKey aConnection,
                         const std::optional<LogPosition>& aPosition,
                         TimePoint aNow);
  /** Handles that the member has refused the connection with an error code. */
  void OnConnectionRefused(ConnectionKey aConnection, AnswerCode aCode, TimePoint aNow);
  /** Handles that the connection has ended or could not be opened. */
  void OnConnectionFailed(ConnectionKey aConnection, TimePoint aNow);
  void OnReply(ConnectionKey aConnection, MemberReply aReply, TimePoint aNow);

  // Other instances

  /**
   * Runs a statement of another instance's client for a group of which this instance is a
   * home.
   *
   * The answer is passed to ProxyHooks::mAnswer with the same session key.
   */
  void OnForwardedStatement(SessionKey aSession,
                            ForwardedStatement aStatement,
                            TimePoint aNow);
  /** Handles a home's answer to a forwarded operation. */
  void OnForwardAnswer(OperationKey aOperation, ClientAnswer aAnswer, TimePoint aNow);
  /**
   * Handles that the home instance of a forwarded operation can no longer be reached.
   *
   * @param aWasSent whether the home may have received the statement
   */
  void OnForwardFailed(OperationKey aOperation, bool aWasSent, TimePoint aNow);
  /** Handles that the home has refused a statement, which it has not run. */
  void OnForwardRefused(OperationKey aOperation, TimePoint aNow);
  /** Forwards the reads that an unresponsive home has not answered to other homes. All
   * other statements continue to wait for their answer. */
  void OnHomeUnresponsive(std::string_view aHome, TimePoint aNow);

  /** Handles the decision on an operation whose token was pending. */
  void OnTokenDecision(OperationKey aOperation,
                       const TokenDecision& aDecision,
                       TimePoint aNow);

  /** Handles a report of another home of a group. */
  void OnCapacityReport(const CapacityReport& aReport, TimePoint aNow);

  // Control

  /** Applies a newer version of the configuration; ignores older versions. */
  void OnConfiguration(const ProxyConfiguration& aConfiguration, TimePoint aNow);
  /** Replaces the list of members by the directory's current entries. */
  void OnDirectory(std::span<const MemberEntry> aEntries, TimePoint aNow);
  /** Dispatches waiting statements after the results of the hooks mIsHome, mHomeCount,
   * mPickHome, mLeader or mHasLeaderLease may have changed. */
  void OnRoutesToMembersChanged(TimePoint aNow);
  /** Applies reloaded settings. */
  void OnSettings(const ProxySettings& aSettings) { mSettings = aSettings; }
  /** Sets whether this instance is partitioned from most availability zones. While the
   * instance is partitioned, it closes idle sessions as soon as the load balancer sends
   * new connections elsewhere. */
  void SetCutOff(bool aIsCutOff, TimePoint aNow);
  /** Starts closing sessions: idle ones first, open transactions next, and all others
   * shortly before the grace period ends. */
  void StartDrain(TimePoint aNow);
  void OnTimer(TimePoint aNow);

  /** @return when OnTimer is due */
  [[nodiscard]] TimePoint NextTimer() const;
  /** @return bytes that are held on behalf of a session, also a forwarded one */
  [[nodiscard]] SessionUsage UsageOf(SessionKey aSession) const;
  [[nodiscard]] bool HasConfiguration() const { return mConfiguration.mVersion > 0; }
  [[nodiscard]] bool IsDraining() const { return mDrainStart.has_value(); }
  [[nodiscard]] bool IsDrained() const { return IsDraining() && mSessions.empty(); }
  [[nodiscard]] const ProxyConfiguration& Configuration() const { return mConfiguration; }
  [[nodiscard]] std::vector<std::string> GroupNames() const;
  [[nodiscard]] PrimaryHealth PrimaryOf(std::string_view aGroup, TimePoint aNow) const;
  /** @return availability zone of the group's primary, or of the member that claims to be
   * primary when none is confirmed; nothing when there is neither */
  [[nodiscard]] std::optional<std::string> PrimaryZone(std::string_view aGroup,
                                                       TimePoint aNow) const;
  /** @return listed members of the group */
  [[nodiscard]] std::vector<MemberEntry> ListedMembers(std::string_view aGroup) const;
  /** @return listed members of the group except the primary */
  [[nodiscard]] std::vector<MemberEntry> ReplicasOf(std::string_view aGroup) const;
  /** @return when any member of the availability zone last answered this instance */
  [[nodiscard]] TimePoint LastMemberReplyAt(std::string_view aZone) const;
  /** @return highest term that the group's members have reported */
  [[nodiscard]] std::uint64_t NewestTerm(std::string_view aGroup) const;

  /**
   * Sends a status command to a member over a pooled connection.
   *
   * @param aHook called once with the reply, or with nothing at aTimeout at the latest
   */
  void QueryStatus(std::string_view aMember,
                   const MemberCommand& aCommand,
                   Duration aTimeout,
                   TimePoint aNow,
                   StatusHook aHook);
  /** Handles that the platform has accepted a promotion of the member, which may lead the
   * group from now on. */
  void OnPromotionAccepted(std::string_view aGroup,
                           std::string_view aMember,
                           TimePoint aNow);

  /** @return where a statement would go now, and what would refuse it; sends nothing and
   * takes no token */
  [[nodiscard]] Explanation Explain(const StatementInquiry& aInquiry, TimePoint aNow);

private:
  struct StatusQuery
  {
    std::string mMember;
    MemberCommand mCommand;
    TimePoint mDeadline;
    StatusHook mHook;
    std::optional<ConnectionKey> mConnection;
  };

  /** A client that connected before the first configuration arrived. */
  struct EarlySession
  {
    std::string mDatabase;
    std::optional<KeyDigest> mKey;
    TimePoint mArrivedAt;
  };

  // proxycore_sessionlife.cpp
  void RefuseSession(SessionKey aSession,
                     std::string_view aDatabase,
                     AnswerCode aCode,
                     std::string_view aReason);
  /** Opens the early sessions once there is a configuration, and refuses those that have
   * waited for kConfigurationTimeout. */
  void AdmitEarlySessions(TimePoint aNow);
  /** Ends the operation of a session whose client has disconnected. */
  void AbandonOperation(OperationKey aKey, Session& aSession);
  /** Removes an operation from all tables; its connection and session stay. */
  void RemoveOperation(OperationKey aKey);
  /** Answers all pending statements of a session with errors before a stop. */
  void AnswerBeforeStop(SessionKey aKey, TimePoint aNow);
  /** Looks up the keys of all sessions in a new version of the configuration. */
  void UpdateSessionKeys(TimePoint aNow);
  /** Refuses what a session has not sent to a member yet, and closes the session as soon
   * as its running statement is answered. */
  void WithdrawKey(SessionKey aKey, TimePoint aNow);
  /** @return whether the key of the operation's session was withdrawn */
  [[nodiscard]] bool HasWithdrawnKey(const Operation& aOperation) const;
  /** Closes the session if a withdrawn key, a drain or a partition requires it and its
   * state allows it. */
  void CloseIfRequired(SessionKey aKey, TimePoint aNow);

  // proxycore_sessions.cpp
  void HandleStatement(SessionKey aKey,
                       Session& aSession,
                       Statement aStatement,
                       TimePoint aNow);
  void HandleBegin(SessionKey aKey, Session& aSession, bool aMayWrite);
  void HandleRollback(SessionKey aKey, Session& aSession, TimePoint aNow);
  void HandleInFailedTransaction(SessionKey aKey,
                                 Session& aSession,
                                 const Statement& aStatement);
  void StartOperation(SessionKey aKey,
                      Session& aSession,
                      Statement aStatement,
                      TimePoint aNow);
  /** Sets what a statement outside a transaction requires under its route. */
  static void PlanSingleStatement(Operation& aOperation);
  void SubmitOperation(OperationKey aKey, Operation& aOperation, TimePoint aNow);
  /** Queues an operation for this instance's own connections. */
  void WaitForMember(OperationKey aKey, Operation& aOperation, TimePoint aNow);
  void SendAnswer(SessionKey aKey, Session& aSession, ClientAnswer aAnswer);
  void AnswerError(SessionKey aKey,
                   Session& aSession,
                   AnswerCode aCode,
                   std::string_view aText);
  void AnswerSuccess(SessionKey aKey, Session& aSession);
  void RunBacklog(SessionKey aKey, TimePoint aNow);
  /** Rolls back the session's transaction and returns its connection to the pool, or ends
   * the transaction at its home instance. */
  void ReleaseTransaction(SessionKey aKey, Session& aSession, TimePoint aNow);
  void AbortTransaction(SessionKey aKey,
                        Session& aSession,
                        std::string_view aReason,
                        TimePoint aNow);

  // proxycore_sessionstate.cpp
  void HandleSessionCommand(SessionKey aKey,
                            Session& aSession,
                            const Statement& aStatement);
  /** @return false if the session's values and prepared statements would exceed their
   * limit; the statement is then answered */
  bool ReserveState(SessionKey aKey,
                    Session& aSession,
                    std::size_t aOldBytes,
                    std::size_t aNewBytes);

  // proxycore_capacity.cpp
  /** Updates what the homes of each group agree on, and reports to the other homes. */
  void ShareCapacity(TimePoint aNow);
  /** Records the numbers of statements at the group's members. */
  void RecordInFlight(const Group& aGroup, TimePoint aNow);

  // proxycore_tokens.cpp
  /** Submits the operation once its customer's rate limit permits it. */
  void RequestToken(OperationKey aKey, Operation& aOperation, TimePoint aNow);
  /** @return whether the operation counts towards a rate limit at this instance */
  [[nodiscard]] bool NeedsToken(const Operation& aOperation) const;

  // proxycore_forwarding.cpp
  /** @return number of homes of the group that the customer uses */
  [[nodiscard]] std::uint32_t HomesOf(const std::string& aCustomer,
                                      const std::string& aGroup) const;
  /** @return the home that runs the operation, possibly this instance, or nothing when
   * none is left */
  [[nodiscard]] std::optional<std::string> PickHome(
    const Operation& aOperation,
    const std::set<std::string>& aExcluded,
    TimePoint aNow) const;
  /** @return whether this instance's own connections run the operation */
  [[nodiscard]] bool IsServedHere(const Operation& aOperation, TimePoint aNow) const;
  /** @return whether this instance is the home of an operation of its own client */
  [[nodiscard]] bool IsOwnHome(const Operation& aOperation, TimePoint aNow) const;
  void ForwardToHome(OperationKey aKey, Operation& aOperation, TimePoint aNow);
  void FinishForwardedOperation(OperationKey aKey, ClientAnswer aAnswer, TimePoint aNow);
  void EndForwardedSession(SessionKey aKey);

  // proxycore_dispatch.cpp
  void DispatchWaiting(Group& aGroup, TimePoint aNow);
  bool TryStartOperation(OperationKey aKey,
                         Operation& aOperation,
                         Group& aGroup,
                         TimePoint aNow);
  bool TryStartOnPrimary(OperationKey aKey,
                         Operation& aOperation,
                         Group& aGroup,
                         TimePoint aNow);
  bool StartOnIdleConnection(OperationKey aKey,
                             Operation& aOperation,
                             Member& aMember,
                             const std::optional<LogPosition>& aAfter,
                             TimePoint aNow);

  // proxycore_operations.cpp
  void StartOnConnection(OperationKey aKey,
                         Operation& aOperation,
                         ConnectionKey aConnection,
                         const std::optional<LogPosition>& aAfter,
                         TimePoint aNow);
  /** Logs which member receives a statement, and on what proof of freshness. */
  void LogRouting(const Operation& aOperation,
                  const std::optional<LogPosition>& aAfter,
                  TimePoint aNow);
  void SendStatement(Operation& aOperation,
                     const std::optional<LogPosition>& aAfter,
                     bool aWithRollback,
                     TimePoint aNow);
  /** Returns an operation to its group's queue for an attempt after aPause. */
  void Requeue(OperationKey aKey, Operation& aOperation, Duration aPause, TimePoint aNow);
  void RemoveFromInFlight(Operation& aOperation);
  void FinishOperation(OperationKey aKey, ClientAnswer aAnswer, TimePoint aNow);
  void FailOperation(OperationKey aKey,
                     AnswerCode aCode,
                     std::string_view aReason,
                     TimePoint aNow);
  void OnOperationTimer(OperationKey aKey, TimePoint aNow);
  void ScheduleOperation(OperationKey aKey, TimePoint aAt);

  // proxycore_admission.cpp
  std::vector<Member*> ReadCandidates(const Operation& aOperation,
                                      const Group& aGroup,
                                      TimePoint aNow);
  [[nodiscard]] TimePoint WaitLimit(const Operation& aOperation) const;
  /** @return time until which the operation can start within its latency objective */
  [[nodiscard]] TimePoint ObjectiveLimit(const Operation& aOperation) const;
  /** @return predicted time until a member can run the operation, or nothing when no
   * suitable member is known */
  [[nodiscard]] std::optional<Duration> PredictedWait(const Operation& aOperation,
                                                      const Group& aGroup,
                                                      TimePoint aNow);
  /** Refuses a new operation whose predicted wait exceeds the latency objective. */
  void RefuseIfOverloaded(OperationKey aKey, Group& aGroup, TimePoint aNow);
  void OnWaitingTimer(OperationKey aKey, Operation& aOperation, TimePoint aNow);
  /** @return number of waiting operations that compete for the same members and are
   * dispatched earlier */
  [[nodiscard]] std::size_t WaitingAhead(const Operation& aOperation,
                                         const Group& aGroup,
                                         TimePoint aNow);
  [[nodiscard]] std::optional<LogPosition> RequiredPosition(const Operation& aOperation,
                                                            const Group& aGroup,
                                                            TimePoint aNow,
                                                            bool& aIsProven) const;

  // proxycore_customeradmission.cpp
  /** @param aNew operation that has arrived just now, which need not be queued yet */
  AdmissionPlan PlanByCustomer(Group& aGroup, const Operation* aNew, TimePoint aNow);
  /** @return waiting operations of the group in the order of dispatch */
  std::vector<OperationKey> OrderByCustomer(Group& aGroup, TimePoint aNow);
  /** @return number of waiting operations that are dispatched before aOperation, by
   * customer */
  std::size_t AheadByCustomer(const Operation& aOperation, TimePoint aNow);
  /** Refuses a new operation that can't be served in time, marks the waiting ones that
   * miss their objectives, and schedules the refusal of those that exceed their
   * customers' shares. */
  void RefuseByCustomer(OperationKey aKey, Group& aGroup, TimePoint aNow);
  /** @return whether the waiting operation was refused */
  bool RefuseWaitingByCustomer(OperationKey aKey, Group& aGroup, TimePoint aNow);
  [[nodiscard]] CompletionRates RatesOf(const Group& aGroup, TimePoint aNow) const;
  /** @return weight of the customer at one of its homes of the group; 0 for a customer
   * without a limit */
  [[nodiscard]] double WeightOf(const std::string& aCustomer, const Group& aGroup) const;
  /** @return whether only the primary can run the operation at the moment */
  [[nodiscard]] static bool NeedsPrimaryNow(const Operation& aOperation)
  {
    return aOperation.mNeedsPrimary || aOperation.mNeedsLeadershipProof;
  }

  // proxycore_explain.cpp
  void ExplainMembers(const Operation& aOperation,
                      Explanation& aExplanation,
                      TimePoint aNow);

  // proxycore_replies.cpp
  void OnBeginReply(ConnectionKey aKey, const MemberReply& aReply, TimePoint aNow);
  void OnStatementReply(ConnectionKey aKey,
                        const OutstandingCommand& aCommand,
                        MemberReply aReply,
                        TimePoint aNow);
  /** Updates the member's slowness from the time of an answer, and logs each change. */
  void UpdateSlowness(Member& aMember, Duration aTook, Duration aUsualTime);
  void RecordLeadershipRefusal(Member& aMember, TimePoint aNow);
  void FinishSuccess(ConnectionKey aConnection,
                     OperationKey aKey,
                     MemberReply aReply,
                     TimePoint aNow);
  [[nodiscard]] bool InTransaction(const Operation& aOperation) const;
  /** @return whether a success of the operation acknowledges a commit */
  [[nodiscard]] bool CommitsData(const Operation& aOperation) const;
  void RecordPosition(const PoolConnection& aConnection,
                      const OutstandingCommand& aCommand,
                      const MemberReply& aReply,
                      TimePoint aNow);

  // proxycore_errors.cpp
  void OnTransactionError(OperationKey aKey,
                          Operation& aOperation,
                          const MemberReply& aReply,
                          TimePoint aNow);
  void OnSingleError(OperationKey aKey,
                     Operation& aOperation,
                     const MemberReply& aReply,
                     TimePoint aNow);
  void RecordRefusal(Operation& aOperation, AnswerCode aCode, TimePoint aNow);
  /**
   * @param aWasSent whether a member may have run the operation
   * @return error code that is correct for an operation whose outcome is not known
   */
  [[nodiscard]] AnswerCode LostAnswerCode(const Operation& aOperation,
                                          const Session& aSession,
                                          bool aWasSent) const;
  void OnAnswerLost(OperationKey aKey, std::string_view aReason, TimePoint aNow);
  /** Closes a connection whose answers no longer match the commands sent on it. */
  void AbandonConnection(ConnectionKey aKey, std::string_view aReason, TimePoint aNow);

  // proxycore_connections.cpp
  /** @return part of the connections to a member of the group that this instance may use
   */
  [[nodiscard]] PoolShare ShareOf(const Group& aGroup) const;
  bool MayOpen(const Member& aMember, const Group& aGroup, TimePoint aNow) const;
  void OpenConnection(Member& aMember, std::string_view aCustomer, TimePoint aNow);
  /** @return whether the connections of the configuration's groups bear the names of
   * customers */
  [[nodiscard]] bool HasCustomers() const { return !mConfiguration.mCustomers.empty(); }
  void SendCommands(ConnectionKey aKey,
                    PoolConnection& aConnection,
                    std::span<const MemberCommand> aCommands,
                    TimePoint aNow);
  /** Returns the connection to its pool, after a rollback if aNeedsRollback is set. */
  void ReleaseConnection(ConnectionKey aKey, bool aNeedsRollback, TimePoint aNow);
  /** Closes a connection and removes it from the pool. */
  void DiscardConnection(ConnectionKey aKey);
  void MakeIdle(ConnectionKey aKey, PoolConnection& aConnection, TimePoint aNow);
  std::vector<MemberCommand> SetupCommands(const Session& aSession,
                                           PoolConnection& aConnection,
                                           const Statement& aStatement);

  // proxycore_customerconnections.cpp
  /** Result of the attempt to get a connection for a waiting operation. */
  enum class OpeningResult : std::uint8_t
  {
    /** A connection is being opened for the operation. */
    Opening,
    /** No connection to this member can be opened now. */
    Unavailable,
  };
  /** Opens a connection for an operation that found no idle one, if its customer's part
   * of the connections allows it. */
  OpeningResult OpenForOperation(const Operation& aOperation,
                                 Member& aMember,
                                 const Group& aGroup,
                                 TimePoint aNow);
  /** @return number of the customer's connections to members of the group that are being
   * opened */
  [[nodiscard]] std::uint32_t OpeningCount(const Group& aGroup,
                                           std::string_view aCustomer) const;
  /** Takes an idle connection of the customer, if there is one. */
  std::optional<ConnectionKey> TakeIdle(Member& aMember,
                                        std::string_view aCustomer,
                                        const Session& aSession);

  // proxycore_maintenance.cpp
  void OnStatusReply(ConnectionKey aKey, const MemberReply& aReply, TimePoint aNow);
  void MaintainPools(TimePoint aNow);
  void CheckUnresponsiveConnections(TimePoint aNow);
  void RequestSample(Member& aMember, ConnectionKey aConnection, TimePoint aNow);
  /** Requests samples from all usable members; only the leader's answer yields one. */
  void SearchLeader(Group& aGroup, TimePoint aNow);
  void MaintainSamples(TimePoint aNow);
  void RunStatusQueries(TimePoint aNow);
  void FinishStatusQuery(std::size_t aIndex, const std::optional<MemberReply>& aReply);

  // proxycore_members.cpp
  /** Removes a member from its group and closes its connections, because its entry now
   * names another group. */
  void RemoveFromGroup(Member& aMember, TimePoint aNow);
  /** @return whether a member that has left the directory may still receive commits */
  [[nodiscard]] bool IsRetained(const Member& aMember, TimePoint aNow) const;
  /** @return whether there are usable replicas and all have lagged for kLagTolerance */
  [[nodiscard]] bool AllReplicasLag(const Group& aGroup,
                                    const Member& aPrimary,
                                    TimePoint aNow) const;
  /** @return the primary, or else the member that claimed last to be primary */
  [[nodiscard]] const Member* PresumedPrimary(const Group& aGroup, TimePoint aNow) const;
  [[nodiscard]] const Member* PrimaryMember(const Group& aGroup, TimePoint aNow) const;
  /** @return whether statements may be sent to the member that is presumed primary; null
   * if there is none */
  [[nodiscard]] PrimaryUse UseOfPrimary(std::string_view aGroup,
                                        const Member* aPrimary,
                                        TimePoint aNow) const;

  // proxycore.cpp
  /** @return shortest latency objective of the group's routes */
  [[nodiscard]] Duration ShortestObjective(std::string_view aGroup) const;
  void MaintainSessions(TimePoint aNow);
  Group* FindGroup(std::string_view aName);
  [[nodiscard]] const Group* FindGroup(std::string_view aName) const;
  Member* FindMember(std::string_view aId);
  [[nodiscard]] bool IsUsable(const Member& aMember) const;
  std::string PreparedName(PreparedKind aKind, const std::string& aShape);

  ProxySettings mSettings;
  ProxyHooks mHooks;
  ProxyConfiguration mConfiguration;
  std::map<std::string, Group, std::less<>> mGroups;
  std::map<std::string, Member, std::less<>> mMembers;
  std::unordered_map<SessionKey, Session> mSessions;
  std::map<SessionKey, EarlySession> mEarlySessions;
  std::unordered_map<OperationKey, Operation> mOperations;
  std::unordered_map<ConnectionKey, PoolConnection> mConnections;
  std::set<std::pair<TimePoint, OperationKey>> mOperationTimers;
  std::vector<StatusQuery> mStatusQueries;
  std::map<std::pair<PreparedKind, std::string>, std::string> mPreparedNames;
  /** Bytes of the shapes in mPreparedNames. */
  std::size_t mPreparedNameBytes = 0;
  /** Number of names given so far; a name never gets a second meaning. */
  std::uint64_t mPreparedNameCount = 0;
  WorkEstimates mWorkEstimates;
  OperationKey mNextOperation = 1;
  ConnectionKey mNextConnection = 1;
  TimePoint mNextMaintenance;
  TimePoint mNextCapacityUpdate;
  std::optional<TimePoint> mDrainStart;
  std::optional<TimePoint> mCutOffSince;
};

} // namespace papayaspindle::proxy
