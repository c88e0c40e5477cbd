#pragma once

#include "core/logposition.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace papayaspindle::proxy {

/** What a change of leadership knows about one member other than the replaced primary. */
struct CandidateReport
{
  std::string mMember;
  /** Position that the member has received; empty if the member hasn't answered, or may
   * still receive commits that the old primary acknowledges. */
  std::optional<LogPosition> mReceived;
  /** Term that the member has reported with mReceived. */
  std::uint64_t mTerm = 0;
  /** Term for which the member is paused; 0 if it isn't. */
  std::uint64_t mPausedTerm = 0;
  /** The directory lists the member, and the platform has not refused it lately. */
  bool mMayLead = false;
  bool mIsDraining = false;
};

/**
 * @param aMembers number of members other than the primary that can have received an
 * acknowledged commit
 * @return number of members that have to report, so that one of them has all acknowledged
 * commits
 */
std::size_t RequiredReports(std::size_t aMembers, std::uint32_t aSynchronousReplicas);

/**
 * Chooses the member that is promoted, where the platform terminates the old leadership
 * and where the instances do.
 *
 * @param aReports all members other than the replaced primary, also those that can't be
 * promoted
 * @param aSynchronousReplicas number of replicas that receive a commit before it is
 * acknowledged; without any, no replica is known to have the acknowledged commits
 * @return the member that has received most; nothing if it may lack an acknowledged
 * commit, or no member can be promoted
 */
std::optional<std::string> ChooseCandidate(std::span<const CandidateReport> aReports,
                                           std::uint32_t aSynchronousReplicas);

} // namespace papayaspindle::proxy
