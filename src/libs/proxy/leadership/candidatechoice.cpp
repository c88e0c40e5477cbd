#include "proxy/leadership/candidatechoice.h"

#include <algorithm>
#include <tuple>

namespace papayaspindle::proxy {

std::size_t
RequiredReports(std::size_t aMembers, std::uint32_t aSynchronousReplicas)
{
  // A commit is missing from at most aMembers - aSynchronousReplicas members.
  return aMembers - std::min<std::size_t>(aSynchronousReplicas, aMembers) + 1;
}

std::optional<std::string>
ChooseCandidate(std::span<const CandidateReport> aReports,
                std::uint32_t aSynchronousReplicas)
{
  const bool isSynchronous = aSynchronousReplicas > 0;
  // A promotion ends all pauses for its term, also if it took effect after the report.
  std::uint64_t term = 0;
  for (const CandidateReport& report : aReports) {
    term = std::max(term, report.mReceived ? report.mTerm : 0);
  }
  const CandidateReport* best = nullptr;
  std::size_t reports = 0;
  LogPosition newest;
  for (const CandidateReport& report : aReports) {
    const bool isPauseOver = report.mPausedTerm > 0 && report.mPausedTerm <= term;
    if (!report.mReceived || (isSynchronous && isPauseOver)) {
      continue;
    }
    reports++;
    newest = std::max(newest, *report.mReceived);
    // A draining member would have to be replaced again soon. It is only promoted if no
    // other member has all acknowledged commits.
    if (!report.mMayLead || (report.mIsDraining && !isSynchronous)) {
      continue;
    }
    if (best == nullptr || std::tuple(*report.mReceived, !report.mIsDraining) >
                             std::tuple(*best->mReceived, !best->mIsDraining)) {
      best = &report;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const std::size_t required = RequiredReports(aReports.size(), aSynchronousReplicas);
  if (isSynchronous && (reports < required || *best->mReceived < newest)) {
    return std::nullopt;
  }
  return best->mMember;
}

} // namespace papayaspindle::proxy
