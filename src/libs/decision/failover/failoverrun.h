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
  /** Whether the member granted the term, became primary or follows. */
  bool mAccepted = false;
  MemberStatus mStatus;
};

/**
 * One failover of one group, run by the group's keeper: it confirms the suspicion, fences
 * the old term, chooses and promotes a new primary, verifies the promotion and announces
 * it.
 *
 * The run may be interleaved with others, paused or aborted at any point without harm.
 * Every change is a request with a term, which members in a higher term refuse. The name
 * under which the term is raised is unique to the run, so a restarted instance or a
 * second run of the same instance can't promote another member in that term. Within a
 * term the run sends Promote to at most one member.
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

  /** Sends the first requests, resends unanswered ones and applies the time limits. */
  FailoverActions OnTick(TimePoint aNow);
  FailoverActions OnConfirmation(const ConfirmationReply& aReply, TimePoint aNow);
  FailoverActions OnStatus(const MemberStatus& aStatus, TimePoint aNow);
  FailoverActions OnRaiseTermReply(const ControlReply& aReply, TimePoint aNow);
  FailoverActions OnPromoteReply(const ControlReply& aReply, TimePoint aNow);
  FailoverActions OnFollowReply(const ControlReply& aReply, TimePoint aNow);
  /** Handles a request that the member did not answer; it may still have taken effect. */
  FailoverActions OnNoAnswer(const MemberId& aMember, TimePoint aNow);

  [[nodiscard]] Stage CurrentStage() const;
  /** @return the outcome, or nothing while the run is in progress */
  [[nodiscard]] std::optional<FailoverOutcome> Outcome() const;
  /** @return the term that the run has raised; 0 before the first fence */
  [[nodiscard]] std::uint64_t Term() const;
  /** @return the member that is chosen as primary; empty while there is none */
  [[nodiscard]] const MemberId& NewPrimary() const;
  [[nodiscard]] const FailoverSetup& Setup() const;
  [[nodiscard]] const std::vector<FailoverStep>& Timeline() const;

private:
  void UpdateHighestTerm(std::uint64_t aTerm);
  void AddStep(TimePoint aNow, std::string_view aEvent, std::string_view aDetail = {});
  void EnterStage(Stage aStage, TimePoint aNow);
  void CheckConfirmed(TimePoint aNow, FailoverActions& aActions);
  void BeginFence(TimePoint aNow, FailoverActions& aActions);
  void CheckFence(TimePoint aNow, FailoverActions& aActions);
  void CheckVerified(TimePoint aNow, FailoverActions& aActions);
  void CheckTimeouts(TimePoint aNow, FailoverActions& aActions);
  void SendPending(TimePoint aNow, FailoverActions& aActions);
  void RecordProof(const MemberStatus& aStatus);
  void FinishRun(FailoverOutcome aOutcome, TimePoint aNow, FailoverActions& aActions);
  [[nodiscard]] bool IsReplyForStage(Stage aStage, const ControlReply& aReply) const;

  FailoverSetup mSetup;
  FailoverSettings mSettings;
  RandomHook mRandom;
  std::string mKeeperName;
  Confirmation mConfirmation;
  std::optional<Fence> mFence;
  MemberId mNewPrimary;
  std::uint64_t mHighestTerm;
  Stage mStage = Stage::Confirm;
  std::optional<FailoverOutcome> mOutcome;
  TimePoint mStartedAt;
  TimePoint mStageEnteredAt;
  std::optional<TimePoint> mLastSentAt;
  std::optional<TimePoint> mMajorityReachedAt;
  /** For each member, request time of the latest status that proves the new term. */
  std::map<MemberId, TimePoint> mProofTimes;
  std::vector<FailoverStep> mTimeline;
};

} // namespace papayaspindle
