#include "decision/write/acktracker.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

AckTracker::AckTracker(MemberId aPrimary,
                       const LogPosition& aPosition,
                       std::size_t aMemberCount)
  : mPrimary(std::move(aPrimary))
  , mPosition(aPosition)
  , mNeededReplicas(aMemberCount / 2)
{
}

LogPosition
AckTracker::Target(const LogPosition& aAnswered, std::uint64_t aTerm)
{
  return std::max(aAnswered, LogPosition{ aTerm, 1 });
}

void
AckTracker::OnReport(const MemberReport& aReport)
{
  const bool sameTerm = aReport.mTerm == mPosition.mTerm;
  if (aReport.mMember == mPrimary || !sameTerm || aReport.mPosition < mPosition) {
    return;
  }
  const auto [reportTime, isNew] =
    mReportTimes.try_emplace(aReport.mMember, aReport.mRequestedAt);
  if (!isNew) {
    reportTime->second = std::max(reportTime->second, aReport.mRequestedAt);
  }
}

bool
AckTracker::IsAcknowledged() const
{
  return mReportTimes.size() >= mNeededReplicas;
}

bool
AckTracker::IsConfirmedSince(TimePoint aSince) const
{
  const auto recent =
    std::count_if(mReportTimes.begin(), mReportTimes.end(), [&](const auto& aEntry) {
      return aEntry.second >= aSince;
    });
  return static_cast<std::size_t>(recent) >= mNeededReplicas;
}

const LogPosition&
AckTracker::Position() const
{
  return mPosition;
}

} // namespace papayaspindle
