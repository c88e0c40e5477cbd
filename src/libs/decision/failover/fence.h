#pragma once

#include "core/ids.h"
#include "core/logposition.h"
#include "decision/failover/failoversetup.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace papayaspindle {

/**
 * Collects the members' answers to one raise of the term, and chooses the new primary.
 *
 * Each member grants a term to one keeper name, so a majority of grants makes this fence
 * the only one that may promote in the term.
 */
class Fence
{
public:
  /** @param aTerm the term that is raised to, above every term known */
  Fence(const FailoverSetup& aSetup, std::uint64_t aTerm);

  [[nodiscard]] std::uint64_t Term() const;
  /** @param aLast last entry in the member's log, which can no longer change in an older
   * term */
  void OnGrant(const MemberId& aMember, const LogPosition& aLast);
  void OnRefusal(const MemberId& aMember);
  /** Notes that the member did not answer; it may still do so. */
  void OnNoAnswer(const MemberId& aMember);

  [[nodiscard]] bool HasMajority() const;
  /** @return whether a majority can no longer be reached */
  [[nodiscard]] bool IsLost() const;
  /** @return whether no member's first answer is outstanding */
  [[nodiscard]] bool IsComplete() const;
  [[nodiscard]] bool IsGrantedBy(const MemberId& aMember) const;

  /**
   * Leaving members are passed over when the others alone are a majority: every
   * acknowledged write is on one of those too.
   *
   * @return the member with the most advanced log among the grants, or nothing without a
   * majority. Among equals, one that is neither leaving nor suspect.
   */
  [[nodiscard]] std::optional<MemberId> Choose() const;

private:
  [[nodiscard]] bool IsMember(const MemberId& aMember) const;
  [[nodiscard]] bool IsMajority(std::size_t aCount) const;
  [[nodiscard]] int Preference(const FailoverMember& aMember) const;

  FailoverSetup mSetup;
  std::uint64_t mTerm;
  std::map<MemberId, LogPosition> mGrants;
  std::set<MemberId> mRefusals;
  std::set<MemberId> mNoAnswers;
};

} // namespace papayaspindle
