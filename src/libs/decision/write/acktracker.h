#pragma once

#include "decision/write/memberreport.h"

#include <cstddef>
#include <map>

namespace papayaspindle {

/**
 * Decides from member reports when a log position is certain to survive every failover.
 *
 * The primary counts towards the majority, because its own answer contained the position.
 * A report by another member counts only if the member is still in the term of the
 * position. A majority that holds the position in that term shares at least one member
 * with the majority of each later fence. This member already held the position when it
 * granted the later term, so the new primary has the position too.
 */
class AckTracker
{
public:
  /**
   * @param aPrimary member that answered as the primary
   * @param aPosition position of the write; for a position of an older term, see Target()
   * @param aMemberCount number of members of the group, including the primary
   */
  AckTracker(MemberId aPrimary, const LogPosition& aPosition, std::size_t aMemberCount);

  /**
   * Computes the position that a majority must hold before an answer of the primary may
   * be returned to the caller.
   *
   * An entry of an older term may still be replaced although a majority holds it. It is
   * safe once a majority also holds a later entry of the primary's own term.
   *
   * @param aAnswered position in the answer, either of a repeated write or seen by a read
   * @param aTerm term of the primary when it answered
   * @return aAnswered, or the first possible position of aTerm when that is higher
   */
  [[nodiscard]] static LogPosition Target(const LogPosition& aAnswered,
                                          std::uint64_t aTerm);

  /** Adds a report. Reports may arrive in any order and more than once. */
  void OnReport(const MemberReport& aReport);

  /** @return whether a majority, including the primary, holds the position */
  [[nodiscard]] bool IsAcknowledged() const;

  /**
   * @param aSince a time on the clock of MemberReport::mRequestedAt, not after the
   * primary's answer
   * @return whether a majority, including the primary, holds the position and was still
   * in its term at aSince or later
   */
  [[nodiscard]] bool IsConfirmedSince(TimePoint aSince) const;

  /** @return the position that a majority must hold */
  [[nodiscard]] const LogPosition& Position() const;

private:
  MemberId mPrimary;
  LogPosition mPosition;
  std::size_t mNeededReplicas;
  /** Members, except the primary, that reported the position in its term, each with the
   * request time of its latest report. */
  std::map<MemberId, TimePoint> mReportTimes;
};

} // namespace papayaspindle
