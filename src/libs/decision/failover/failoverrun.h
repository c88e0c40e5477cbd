#pragma once

#include "core/hooks.h"
#include "decision/failover/confirmation.h"
#include "decision/failover/failoveraction.h"
#include "decision/failover/failoversetup.h"
#include "decision/failover/fence.h"
#include "decision/failover/memberstatus.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle {

/** A member's answer to RaiseTerm, Promote or Follow. */
struct ControlReply
{
  /** Term of the request. */
  std::uint64_t mTerm = 0;
  /** Granted, promoted or following. */
  bool mAccepted = false;
  MemberStatus mStatus;
};

/**
 * One failover of one group, as the keeper runs it: confirm, fence, choose, promote,
 * verify, announce.
 *
 * Safe at any interleaving, pause or end: every change is a request with a term, which
 * members refuse once they are in a higher one. The name under which the term is raised
 * is unique to the run, so that no restart or second run of the same instance can promote
 * another member in the term. Within a term, one member at most is ever sent Promote.
 *
 * Not thread-safe. Each event returns the actions to carry out, in order.
 */
class FailoverRun
{
public:
  enum class Stage : std::uint8_t
  {
    Confirm,
    Fence,
    Promote,
    Verify,
    Finished,
  };

  FailoverRun(const FailoverSetup& aSetup,
              const FailoverSettings& aSettings,
              RandomHook aRandom,
              TimePoint aNow);

  /** Begins the run, sends unanswered requests again and watches the time limits. */
  FailoverActions OnTick(TimePoint aNow);
  FailoverActions OnConfirmation(const ConfirmationReply& aReply, TimePoint aNow);
  FailoverActions OnStatus(const MemberStatus& aStatus, TimePoint aNow);
  FailoverActions OnRaiseTermReply(const ControlReply& aReply, TimePoint aNow);
  FailoverActions OnPromoteReply(const ControlReply& aReply, TimePoint aNow);
  FailoverActions OnFollowReply(const ControlReply& aReply, TimePoint aNow);
  /** A request to the member was not answered; it may still have taken effect. */
  FailoverActions OnNoAnswer(const MemberId& aMember, TimePoint aNow);

  [[nodiscard]] Stage CurrentStage() const;
  /** @return how the run ended, or nothing while it runs */
  [[nodiscard]] std::optional<FailoverEnd> End() const;
  /** @return term of the current fence; 0 before the first */
  [[nodiscard]] std::uint64_t Term() const;
  /** @return the chosen primary; empty before the choice */
  [[nodiscard]] const MemberId& NewPrimary() const;
  [[nodiscard]] const FailoverSetup& Setup() const;
  [[nodiscard]] const std::vector<FailoverStep>& Timeline() const;

private:
  void NoteTerm(std::uint64_t aTerm);
  void AddStep(TimePoint aNow, std::string_view aEvent, std::string_view aDetail = {});
  void EnterStage(Stage aStage, TimePoint aNow);
  void CheckConfirmed(TimePoint aNow, FailoverActions& aActions);
  void BeginFence(TimePoint aNow, FailoverActions& aActions);
  void CheckFence(TimePoint aNow, FailoverActions& aActions);
  void CheckVerified(TimePoint aNow, FailoverActions& aActions);
  void CheckTimeout(TimePoint aNow, FailoverActions& aActions);
  void SendPending(TimePoint aNow, FailoverActions& aActions);
  void NoteProof(const MemberStatus& aStatus);
  void EndRun(FailoverEnd aEnd, TimePoint aNow, FailoverActions& aActions);
  [[nodiscard]] bool IsRequestOfStage(Stage aStage, const ControlReply& aReply) const;

  FailoverSetup mSetup;
  FailoverSettings mSettings;
  RandomHook mRandom;
  std::string mKeeperName;
  Confirmation mConfirmation;
  std::optional<Fence> mFence;
  MemberId mNewPrimary;
  std::uint64_t mHighestTerm;
  Stage mStage = Stage::Confirm;
  std::optional<FailoverEnd> mEnd;
  TimePoint mBegan;
  TimePoint mStageSince;
  std::optional<TimePoint> mLastSent;
  std::optional<TimePoint> mMajoritySince;
  /** Latest request time of a report of the new term, for each member. */
  std::map<MemberId, TimePoint> mProofs;
  std::vector<FailoverStep> mTimeline;
};

} // namespace papayaspindle
