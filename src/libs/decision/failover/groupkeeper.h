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

/** What a home knows of the group at a tick. */
struct KeeperInput
{
  std::vector<FailoverMember> mMembers;
  std::vector<FailoverHome> mOtherHomes;
  GroupView mView;
  /** This instance's rank among the homes; -1 when it is no home of the group. */
  int mRank = -1;
  /** False after a pause of this instance until a peer answered. */
  bool mMayAct = false;
};

/** The operator's report of a failover. */
struct FailoverSummary
{
  /** 0 while there was no failover. */
  std::uint64_t mTerm = 0;
  MemberId mOldPrimary;
  MemberId mNewPrimary;
  std::vector<FailoverStep> mSteps;
};

using KeeperAction = std::variant<AskConfirmation,
                                  SendRaiseTerm,
                                  SendPromote,
                                  SendFollow,
                                  SendStatus,
                                  AnnounceView,
                                  ReadRecord,
                                  WriteRecord>;
using KeeperActions = std::vector<KeeperAction>;

/**
 * Everything that one home decides about the primary of one group: when the primary is
 * suspect, the failover that follows, stray members, and the record in the table service.
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

  /** Called at least every 100 ms. */
  KeeperActions OnTick(const KeeperInput& aInput, TimePoint aNow);

  KeeperActions OnStatus(const MemberStatus& aStatus, TimePoint aNow);
  /** A poll or another call to the member was not answered. */
  KeeperActions OnNoAnswer(const MemberId& aMember, PollFailure aFailure, TimePoint aNow);
  KeeperActions OnConfirmation(const ConfirmationReply& aReply, TimePoint aNow);
  KeeperActions OnRaiseTermReply(const ControlReply& aReply, TimePoint aNow);
  KeeperActions OnPromoteReply(const ControlReply& aReply, TimePoint aNow);
  KeeperActions OnFollowReply(const ControlReply& aReply, TimePoint aNow);

  /** The group's row, as read or as it was when a write found another version. */
  KeeperActions OnRecordRow(const RecordedView& aRow, TimePoint aNow);
  void OnRecordCommitted(TimePoint aNow);
  void OnRecordFailure(TimePoint aNow);

  /** @return this home's answer to another home that suspects a member */
  ConfirmationReply Confirm(const MemberId& aMember, TimePoint aNow);
  /** @return whether a failover runs here */
  [[nodiscard]] bool IsRunning() const;
  /** @return how the last failover here ended, or nothing before the first */
  [[nodiscard]] std::optional<FailoverEnd> LastEnd() const;
  /** @return the failover that runs, or else the last one that fenced the group */
  [[nodiscard]] FailoverSummary Summary() const;
  /** @return time since the member's last answer */
  [[nodiscard]] Duration Silence(const MemberId& aMember, TimePoint aNow) const;

private:
  void StartRun(FailoverReason aReason, std::uint64_t aTerm, TimePoint aNow);
  bool IsSuperseded() const;
  void Decide(TimePoint aNow, KeeperActions& aActions);
  void Reconcile(TimePoint aNow, KeeperActions& aActions);
  KeeperActions Take(const FailoverActions& aActions, TimePoint aNow);
  void NoteAnswer(const MemberStatus& aStatus, TimePoint aNow);

  GroupId mGroup;
  InstanceId mInstance;
  KeeperSettings mSettings;
  RandomHook mRandom;
  KeeperInput mInput;
  SuspicionTracker mSuspicion;
  GroupReconciler mReconciler;
  ViewRecorder mRecorder;
  /** Members that say so of themselves; the settings may say it of others. */
  std::set<MemberId> mLeaving;
  std::optional<FailoverRun> mRun;
  TimePoint mNotBefore;
  FailoverSummary mLast;
  std::optional<FailoverEnd> mLastEnd;
};

} // namespace papayaspindle
