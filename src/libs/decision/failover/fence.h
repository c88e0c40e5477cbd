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
 * Collects the members' replies to RaiseTerm for one term, and chooses the new primary.
 *
 * Each member grants a term to only one keeper name. Therefore, once a majority of
 * members has granted the term, no other failover run can promote a primary in that term.
 */
class Fence
{
public:
  /** @param aTerm the new term, above every term seen so far */
  Fence(const FailoverSetup& aSetup, std::uint64_t aTerm);

  [[nodiscard]] std::uint64_t Term() const;
  /** @param aLast last entry in the member's log; since the grant, the member accepts no
   * entries from primaries of older terms */
  void OnGrant(const MemberId& aMember, const LogPosition& aLast);
  void OnRefusal(const MemberId& aMember);
  /** Records that the member did not answer in time; its answer may still arrive. */
  void OnNoAnswer(const MemberId& aMember);

  [[nodiscard]] bool HasMajority() const;
  /** @return whether so many members refused that no majority can grant the term */
  [[nodiscard]] bool IsMajorityUnreachable() const;
  /** @return whether each member has granted, refused or failed to answer in time */
  [[nodiscard]] bool HasEveryMemberResponded() const;
  [[nodiscard]] bool IsGrantedBy(const MemberId& aMember) const;

  /**
   * Chooses the member with the most advanced log among those that granted the term.
   *
   * Leaving members are skipped if the remaining grants are a majority of the group,
   * since every acknowledged write is then also on one of the remaining members. Among
   * equal logs, members that are neither leaving nor suspect are preferred.
   *
   * @return the member to promote, or nothing without a majority of grants
   */
  [[nodiscard]] std::optional<MemberId> ChoosePrimary() const;

private:
  [[nodiscard]] bool IsMember(const MemberId& aMember) const;
  [[nodiscard]] bool IsMajority(std::size_t aCount) const;
  /** @return rank among members with equal logs; the highest is preferred */
  [[nodiscard]] int PreferenceOf(const FailoverMember& aMember) const;

  FailoverSetup mSetup;
  std::uint64_t mTerm;
  std::map<MemberId, LogPosition> mGrants;
  std::set<MemberId> mRefusals;
  std::set<MemberId> mNoAnswers;
};

} // namespace papayaspindle
