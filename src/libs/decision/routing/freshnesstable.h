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
 * What is proven of the age of one group's members.
 *
 * A sample is a position P that the primary reported and the time t before it was asked.
 * Whoever has applied P in the same term has every write that was acknowledged before t,
 * provided that no later term had begun at t. A majority of members that still report the
 * term after t proves that. A replica is therefore proven as of the earlier of both
 * times, and an old primary that a partition isolates proves nothing.
 */
class FreshnessTable
{
public:
  /** Takes a status reply; replies may arrive late and out of order. */
  void OnStatus(const MemberProgress& aStatus);
  /**
   * Takes what a member's answer to a statement says: its term and the position that the
   * statement wrote or saw.
   *
   * @param aAnswer mIsLeaving is not read; answers don't tell
   */
  void OnAnswer(MemberProgress aAnswer);
  /**
   * Notes how long a replica took to apply a position after the primary answered.
   *
   * @param aTook time until it had applied it; for a wait that gave up, more than the
   * wait
   */
  void OnCatchUp(const MemberId& aMember, Duration aTook, TimePoint aNow);
  /** Forgets members that the group no longer has. */
  void Retain(const GroupSettings& aSettings);

  /** @return the member's last status, or nothing before the first */
  [[nodiscard]] std::optional<MemberProgress> StatusOf(const MemberId& aMember) const;
  /** @return the last status of each member */
  [[nodiscard]] std::vector<MemberProgress> Statuses() const;
  /**
   * @param aTerm the group's term; a member of another term has no age
   * @param aMemberCount members of the group
   * @return the time as of which the member has every acknowledged write
   */
  [[nodiscard]] std::optional<TimePoint> ProvenAsOf(const MemberId& aMember,
                                                    std::uint64_t aTerm,
                                                    std::size_t aMemberCount) const;
  /** @return the same for a member of the term that has applied the position */
  [[nodiscard]] std::optional<TimePoint> ProvenAsOf(const LogPosition& aApplied,
                                                    std::uint64_t aTerm,
                                                    std::size_t aMemberCount) const;
  /** @return the lowest position whose possession proves a time at or after aSince */
  [[nodiscard]] std::optional<LogPosition>
  PositionProving(TimePoint aSince, std::uint64_t aTerm, std::size_t aMemberCount) const;
  /** @return smoothed catch-up time of the replica, or nothing when it was not measured
   * in the last second; a replica whose lag has ended is then tried again */
  [[nodiscard]] std::optional<Duration> PredictedCatchUp(const MemberId& aMember,
                                                         TimePoint aNow) const;

private:
  struct Sample
  {
    LogPosition mPosition;
    TimePoint mAskedAt;
  };

  struct Member
  {
    MemberProgress mStatus;
    /** Time of the latest sample that the member has applied, in its status's term. */
    std::optional<TimePoint> mProven;
    std::optional<Duration> mCatchUp;
    TimePoint mCatchUpAt;
  };

  void AddSample(std::uint64_t aTerm, const Sample& aSample);
  void Prove(Member& aMember) const;
  /** @return time of the latest sample that this applied position proves */
  [[nodiscard]] std::optional<TimePoint> SampleProvenBy(
    const LogPosition& aApplied) const;
  /** @return latest time at or after which a majority reported the term */
  [[nodiscard]] std::optional<TimePoint> MajorityReportedAt(
    std::uint64_t aTerm,
    std::size_t aMemberCount) const;

  std::map<MemberId, Member> mMembers;
  std::uint64_t mSampleTerm = 0;
  /** Rising in position and in time. */
  std::deque<Sample> mSamples;
};

} // namespace papayaspindle
