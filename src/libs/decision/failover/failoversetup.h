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
  /** The primary does not answer; needs agreement. */
  PrimarySilent,
  /** The primary's host refuses connections; needs agreement. */
  PrimaryRefused,
  /** The members' highest term has no primary, for example after a keeper died. */
  Leaderless,
  /** The primary answers but is to get no new work. */
  PrimaryLeaving,
  /** A new group, whose members all report term 0. */
  FirstStart,
};

/** A member of the group, as a failover sees it. */
struct FailoverMember
{
  MemberId mMember;
  bool mLeaving = false;
};

/** Another live home of the group, which may agree that the primary is gone. */
struct FailoverHome
{
  InstanceId mInstance;
  bool mSameAvailabilityZone = false;
};

/** What one failover starts from. */
struct FailoverSetup
{
  GroupId mGroup;
  /** This instance. */
  InstanceId mKeeper;
  FailoverReason mReason = FailoverReason::PrimarySilent;
  std::vector<FailoverMember> mMembers;
  std::vector<FailoverHome> mOtherHomes;
  /** Highest term that is known of the group. */
  std::uint64_t mTerm = 0;
  /** Primary of the view; empty for none. */
  MemberId mOldPrimary;
};

/** Time limits of a failover. */
struct FailoverSettings
{
  /** Pause before an unanswered request is sent again. */
  std::chrono::milliseconds mResend{ 200 };
  /** Wait for the remaining members once a majority has granted the term. */
  std::chrono::milliseconds mGrantGrace{ 100 };
  /** Longest wait for a majority of grants, for a promotion and for its proof, each. */
  std::chrono::milliseconds mStepTimeout{ 1000 };
  std::chrono::milliseconds mConfirmTimeout{ 2000 };
  /** Oldest report that counts as proof of the new term. */
  std::chrono::milliseconds mVerifyFresh{ 500 };
  /** Silence that another home or a replica must have seen. Above 750 ms, the longest gap
   * that a 500 ms pause makes between answers to polls of 250 ms. */
  std::chrono::milliseconds mConfirmSilence{ 800 };
  /** The same when the primary's host refuses connections. */
  std::chrono::milliseconds mConfirmSilenceRefused{ 300 };
  std::chrono::milliseconds mBackoffLeast{ 50 };
  std::chrono::milliseconds mBackoffMost{ 300 };
};

} // namespace papayaspindle
