#include "decision/write/requestoutcome.h"

#include <set>

namespace papayaspindle {

namespace {

/** Members of one term that found the request, and those that did not. */
struct Votes
{
  std::set<MemberId> mFound;
  std::set<MemberId> mAbsent;
  const FindRequestReport* mFoundReport = nullptr;
};

Votes
VotesOf(std::uint64_t aTerm, std::span<const FindRequestReport> aReports)
{
  Votes votes;
  for (const FindRequestReport& report : aReports) {
    if (report.mTerm != aTerm || report.mLastPosition.mTerm != aTerm) {
      continue;
    }
    if (!report.mFound) {
      votes.mAbsent.insert(report.mMember);
      continue;
    }
    votes.mFound.insert(report.mMember);
    votes.mFoundReport = &report;
  }
  return votes;
}

} // namespace

RequestOutcome
DecideOutcome(std::optional<std::uint64_t> aHighestSentTerm,
              std::size_t aMemberCount,
              std::span<const FindRequestReport> aReports)
{
  const std::size_t majority = aMemberCount / 2 + 1;
  std::set<std::uint64_t> terms;
  for (const FindRequestReport& report : aReports) {
    terms.insert(report.mTerm);
  }
  for (const std::uint64_t term : terms) {
    const Votes votes = VotesOf(term, aReports);
    if (votes.mFound.size() >= majority) {
      return { Execution::Ran,
               votes.mFoundReport->mPosition,
               votes.mFoundReport->mAffected };
    }
    const bool noMoreSends = aHighestSentTerm && term > *aHighestSentTerm;
    if (noMoreSends && votes.mFound.empty() && votes.mAbsent.size() >= majority) {
      return { Execution::NotRun, {}, 0 };
    }
  }
  return {};
}

} // namespace papayaspindle
