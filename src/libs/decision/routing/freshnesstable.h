#pragma once

#include "core/groupsettings.h"
#include "decision/routing/memberprogress.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace papayaspindle {

/**
 * Tracks the proven maximum age of the data of each member of a group.
 *
 * A position sample is a log position P that the primary reported, with the time t just
 * before the report was requested. A member that has applied P in the same term has every
 * write that was acknowledged before t, provided that no later term had begun at t. That
 * condition is proven by a majority of members that report the term in replies to
 * requests sent at or after t. A replica is therefore proven as of the earlier of both
 * times, and an old primary that is isolated by a partition proves nothing.
 */
class FreshnessTable
{
public:
  /** Processes a status reply; replies may arrive late and out of order. */
  void OnStatus(const MemberProgress& aStatus);
  /**
   * Processes the term and position from a member's answer to a statement.
   *
   * @param aAnswer progress with the position that the statement wrote or read at;
   * mIsLeaving is ignored, since answers do not contain it
   */
  void OnAnswer(MemberProgress aAnswer);
  /**
   * Records how long a replica took to apply a position after the primary's answer.
   *
   * @param aDuration time until the replica had applied the position; for a wait that
   * timed out, more than the length of the wait
   */
  void OnCatchUp(const MemberId& aMember, Duration aDuration, TimePoint aNow);
  /** Removes members that are no longer in the group. */
  void Retain(const GroupSettings& aSettings);

  /** @return the member's latest status, or nothing before the first one */
  [[nodiscard]] std::optional<MemberProgress> StatusOf(const MemberId& aMember) const;
  /** @return the latest status of each member */
  [[nodiscard]] std::vector<MemberProgress> Statuses() const;
  /**
   * @param aTerm the group's term; nothing is proven for a member in another term
   * @param aMemberCount number of members in the group
   * @return the time up to which the member is proven to have all acknowledged writes
   */
  [[nodiscard]] std::optional<TimePoint> ProvenAsOf(const MemberId& aMember,
                                                    std::uint64_t aTerm,
                                                    std::size_t aMemberCount) const;
  /** @return the same for any member of the term that has applied the position */
  [[nodiscard]] std::optional<TimePoint> ProvenAsOf(const LogPosition& aApplied,
                                                    std::uint64_t aTerm,
                                                    std::size_t aMemberCount) const;
  /** @return the lowest position such that a member that has applied it is proven as of
   * aSince or later */
  [[nodiscard]] std::optional<LogPosition> PositionProvingSince(
    TimePoint aSince,
    std::uint64_t aTerm,
    std::size_t aMemberCount) const;
  /** @return the replica's smoothed catch-up time, or nothing if it was not measured in
   * the last second, so that a replica whose lag has ended is tried again */
  [[nodiscard]] std::optional<Duration> PredictedCatchUp(const MemberId& aMember,
                                                         TimePoint aNow) const;

private:
  struct Sample
  {
    LogPosition mPosition;
    TimePoint mRequestedAt;
  };

  struct Member
  {
    MemberProgress mStatus;
    /** Time of the latest sample of its status's term that the member has applied. */
    std::optional<TimePoint> mProvenAsOf;
    std::optional<Duration> mSmoothedCatchUp;
    TimePoint mCatchUpMeasuredAt;
  };

  void AddSample(std::uint64_t aTerm, const Sample& aSample);
  void UpdateProof(Member& aMember) const;
  /** @return time of the latest sample that a member with this applied position has */
  [[nodiscard]] std::optional<TimePoint> SampleProvenBy(
    const LogPosition& aApplied) const;
  /** @return the latest time such that a majority reported the term in replies to
   * requests sent at or after that time */
  [[nodiscard]] std::optional<TimePoint> MajorityReportedAt(
    std::uint64_t aTerm,
    std::size_t aMemberCount) const;

  std::map<MemberId, Member> mMembers;
  std::uint64_t mSampleTerm = 0;
  /** Samples of mSampleTerm, in rising order of position and time. */
  std::deque<Sample> mSamples;
};

} // namespace papayaspindle
