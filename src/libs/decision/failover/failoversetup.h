#pragma once

#include "core/ids.h"
#include "core/timetypes.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace papayaspindle {

/** Why a failover starts. */
enum class FailoverReason : std::uint8_t
{
  /** The primary does not answer. Needs confirmation by a home or replica. */
  PrimaryUnresponsive,
  /** The primary's host refuses connections. Needs confirmation by a home or replica. */
  PrimaryRefused,
  /** The highest term among the members has no primary, for example because a keeper died
   * during a failover. */
  Leaderless,
  /** The primary answers but is leaving and must get no new work. */
  PrimaryLeaving,
  /** The group is new: all its members report term 0. */
  FirstStart,
};

/** A member of the group in a failover's setup. */
struct FailoverMember
{
  MemberId mMember;
  bool mLeaving = false;
};

/** Another live home of the group, which may confirm a suspicion of the primary. */
struct FailoverHome
{
  InstanceId mInstance;
  bool mSameAvailabilityZone = false;
};

/** State of the group when a failover starts. */
struct FailoverSetup
{
  GroupId mGroup;
  /** This instance. */
  InstanceId mKeeper;
  FailoverReason mReason = FailoverReason::PrimaryUnresponsive;
  std::vector<FailoverMember> mMembers;
  std::vector<FailoverHome> mOtherHomes;
  /** Highest term of the group that this instance has seen. */
  std::uint64_t mTerm = 0;
  /** Primary of this instance's view; empty for none. */
  MemberId mOldPrimary;
};

/** Time limits of a failover. */
struct FailoverSettings
{
  /** Time after which an unanswered request is sent again. */
  std::chrono::milliseconds mResendInterval{ 200 };
  /** Wait for the remaining members' replies after a majority has granted the term. */
  std::chrono::milliseconds mGrantGracePeriod{ 100 };
  /** Time limit of each of the stages fence, promote and verify. */
  std::chrono::milliseconds mStepTimeout{ 1000 };
  /** Time limit of the confirmation. */
  std::chrono::milliseconds mConfirmTimeout{ 2000 };
  /** Age up to which a member's status counts as proof of the new term. */
  std::chrono::milliseconds mMaxProofAge{ 500 };
  /** Time without an answer from the primary that a home or replica must report to
   * confirm a suspicion. A primary that pauses for 500 ms and is polled every 250 ms
   * leaves up to 750 ms between two answers; the threshold is above that. */
  std::chrono::milliseconds mMinConfirmedSilence{ 800 };
  /** The same threshold when the primary's host refuses connections. */
  std::chrono::milliseconds mMinConfirmedSilenceRefused{ 300 };
  std::chrono::milliseconds mBackoffMin{ 50 };
  std::chrono::milliseconds mBackoffMax{ 300 };
};

} // namespace papayaspindle
