#pragma once

#include "core/groupview.h"
#include "core/hooks.h"
#include "decision/failover/failoveraction.h"
#include "decision/failover/failoverrun.h"
#include "decision/failover/failoversetup.h"
#include "decision/failover/groupreconciler.h"
#include "decision/failover/memberstatus.h"
#include "decision/failover/suspiciontracker.h"
#include "decision/failover/viewrecorder.h"

#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace papayaspindle {

/** Thresholds and time limits of a group's keeper. */
struct KeeperSettings
{
  SuspicionSettings mSuspicion;
  FailoverSettings mFailover;
  ReconcileSettings mReconcile;
  RecordSettings mRecord;
};

/** State of the group at a tick, as this home sees it. */
struct KeeperInput
{
  std::vector<FailoverMember> mMembers;
  std::vector<FailoverHome> mOtherHomes;
  GroupView mView;
  /** This instance's rank among the group's homes; -1 when it is not a home. */
  int mRank = -1;
  /** False from a pause of this instance until a peer has answered a probe. */
  bool mMayAct = false;
};

/** Report of a failover for operators. */
struct FailoverSummary
{
  /** Term that the failover raised; 0 when there was no failover. */
  std::uint64_t mTerm = 0;
  MemberId mOldPrimary;
  MemberId mNewPrimary;
  std::vector<FailoverStep> mSteps;
};

using KeeperAction = std::variant<RequestConfirmation,
                                  SendRaiseTerm,
                                  SendPromote,
                                  SendFollow,
                                  SendStatus,
                                  AnnounceView,
                                  ReadRecord,
                                  WriteRecord>;
using KeeperActions = std::vector<KeeperAction>;

/**
 * Makes all decisions of one home about the primary of one group: it detects a suspect
 * primary, runs failovers, brings members that do not follow the primary back into line,
 * and records the group's view in the table service.
 *
 * Not thread-safe. Each event returns the actions to carry out, in order.
 */
class GroupKeeper
{
public:
  GroupKeeper(GroupId aGroup,
              InstanceId aInstance,
              const KeeperSettings& aSettings,
              RandomHook aRandom);

  /** Must be called at least every 100 ms. */
  KeeperActions OnTick(const KeeperInput& aInput, TimePoint aNow);

  KeeperActions OnStatus(const MemberStatus& aStatus, TimePoint aNow);
  /** Handles a poll or another call that the member did not answer. */
  KeeperActions OnNoAnswer(const MemberId& aMember, PollFailure aFailure, TimePoint aNow);
  KeeperActions OnConfirmation(const ConfirmationReply& aReply, TimePoint aNow);
  KeeperActions OnRaiseTermReply(const ControlReply& aReply, TimePoint aNow);
  KeeperActions OnPromoteReply(const ControlReply& aReply, TimePoint aNow);
  KeeperActions OnFollowReply(const ControlReply& aReply, TimePoint aNow);

  /** Handles the group's row from a read, or from a write that found another version. */
  KeeperActions OnRecordRow(const RecordedView& aRow, TimePoint aNow);
  void OnRecordCommitted(TimePoint aNow);
  void OnRecordFailure(TimePoint aNow);

  /** @return this home's reply to another home that suspects the member */
  ConfirmationReply AnswerConfirmation(const MemberId& aMember, TimePoint aNow);
  /** @return whether this home is running a failover */
  [[nodiscard]] bool IsRunning() const;
  /** @return outcome of this home's last failover, or nothing before the first */
  [[nodiscard]] std::optional<FailoverOutcome> LastOutcome() const;
  /** @return report of the running failover if it has fenced the group, else of the last
   * one that has */
  [[nodiscard]] FailoverSummary Summary() const;
  /** @return time since the member's last answer */
  [[nodiscard]] Duration Silence(const MemberId& aMember, TimePoint aNow) const;

private:
  void StartRun(FailoverReason aReason, std::uint64_t aTerm, TimePoint aNow);
  bool IsSuperseded() const;
  void AdvanceFailover(TimePoint aNow, KeeperActions& aActions);
  void Reconcile(TimePoint aNow, KeeperActions& aActions);
  KeeperActions ProcessRunActions(const FailoverActions& aActions, TimePoint aNow);
  void RecordAnswer(const MemberStatus& aStatus, TimePoint aNow);

  GroupId mGroup;
  InstanceId mInstance;
  KeeperSettings mSettings;
  RandomHook mRandom;
  KeeperInput mInput;
  SuspicionTracker mSuspicion;
  GroupReconciler mReconciler;
  ViewRecorder mRecorder;
  /** Members that report that they are leaving; the settings may mark others. */
  std::set<MemberId> mMembersReportingLeaving;
  std::optional<FailoverRun> mRun;
  TimePoint mNextRunAllowedAt;
  FailoverSummary mLastSummary;
  std::optional<FailoverOutcome> mLastOutcome;
};

} // namespace papayaspindle
