#pragma once

#include "decision/write/memberreport.h"

#include <cstddef>
#include <map>

namespace papayaspindle {

/**
 * Decides when a log position is certain to survive every failover.
 *
 * The primary counts as one member: its own answer named the position. A report by
 * another member counts only while that member's term is the position's term. A majority
 * that holds the position in its own term intersects each later fence, and the member
 * that both share still had the position when it granted the later term.
 */
class AckTracker
{
public:
  /**
   * @param aPrimary member that answered
   * @param aPosition position of the write; for a position of an older term, see Target()
   * @param aMemberCount members of the group, the primary included
   */
  AckTracker(MemberId aPrimary, const LogPosition& aPosition, std::size_t aMemberCount);

  /**
   * The position to prove for an answer of a primary.
   *
   * An entry of an older term may still be replaced although a majority holds it. It is
   * certain once the majority also holds an entry of the primary's own term, which comes
   * after it in the same log.
   *
   * @param aAnswered position in the answer: of a repeated write, or seen by a read
   * @param aTerm the primary's term in the answer
   * @return aAnswered, or the first possible position of aTerm when that is higher
   */
  [[nodiscard]] static LogPosition Target(const LogPosition& aAnswered,
                                          std::uint64_t aTerm);

  /** Takes a report; reports may arrive in any order and more than once. */
  void OnReport(const MemberReport& aReport);

  /** @return whether a majority, the primary included, holds the position */
  [[nodiscard]] bool IsAcknowledged() const;

  /**
   * @param aSince a moment on the clock of MemberReport::mAskedAt, not after the moment
   * at which the primary answered
   * @return whether a majority, the primary included, holds the position and was still in
   * its term at or after that moment
   */
  [[nodiscard]] bool IsConfirmedSince(TimePoint aSince) const;

  /** @return the position to prove */
  [[nodiscard]] const LogPosition& Position() const;

private:
  MemberId mPrimary;
  LogPosition mPosition;
  std::size_t mNeededOthers;
  /** Latest request time of a report that counts, for each member but the primary. */
  std::map<MemberId, TimePoint> mHolders;
};

} // namespace papayaspindle
