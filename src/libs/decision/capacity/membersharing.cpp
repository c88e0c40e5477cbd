#include "decision/capacity/membersharing.h"

#include <algorithm>

namespace papayaspindle {

namespace {

using namespace std::chrono_literals;

// The ratio from which OrderReadOptions treats members as uneven.
constexpr double kSlowRatio = 1.5;
// Cost as a multiple of the cost that queued statements explain.
constexpr double kUnevenRatio = 1.5;
// Number of updates in a row that must find a member uneven. Reports of the other homes
// arrive meanwhile; with fewer, bursts at even members were taken for it.
constexpr std::uint32_t kUnevenUpdates = 4;
// With 0.6, a primary with a knee had more than half of the late answers of the rule
// without estimates for two of six sets of ten seeds.
constexpr double kAverageWeight = 0.4;
// Costs fall more slowly than queues after a burst, so the expected cost does too. With
// 0.03, more bursts at even members were taken for uneven ones.
constexpr double kExpectedCostFall = 0.015;
// A home that was silent for this time is taken for lost.
constexpr Duration kSilence = 3s;
constexpr Duration kSlowHold = 3s;
// While one home sends the reads, the member answers as fast as others. After this time,
// all homes try it again.
constexpr Duration kUnevenHold = 30s;

bool
IsRecent(const std::optional<TimePoint>& aAt, Duration aHold, TimePoint aNow)
{
  return aAt && aNow - *aAt < aHold;
}

} // namespace

void
MemberSharing::OnInFlight(std::uint32_t aInFlight, TimePoint aNow)
{
  mOccupied += (aNow - mInFlightSince) * mInFlight;
  mInFlightSince = aNow;
  mInFlight = aInFlight;
}

void
MemberSharing::OnReport(const std::string& aHome,
                        const MemberLoadReport& aReport,
                        TimePoint aNow)
{
  mHeard[aHome] = { aNow, aReport.mAverageInFlight };
  if (aReport.mIsSlow) {
    mSlowAt = aNow;
  }
  if (aReport.mIsUneven) {
    mUnevenAt = aNow;
  }
}

std::optional<MemberLoadReport>
MemberSharing::Update(const MemberSpeed& aSpeed, TimePoint aNow)
{
  std::erase_if(mHeard,
                [&](const auto& aHeard) { return aNow - aHeard.second.mAt >= kSilence; });
  UpdateAverage(aNow);
  UpdateExpectedCost(aSpeed.mSlots);
  const bool isSlow = aSpeed.mRelativeCost >= aSpeed.mBestRelativeCost * kSlowRatio;
  const bool isUneven = isSlow && aSpeed.mRelativeCost >= mExpectedCost * kUnevenRatio;
  mUnevenUpdates = isUneven ? mUnevenUpdates + 1 : 0;
  const MemberLoadReport report{ mAverageInFlight,
                                 isSlow,
                                 mUnevenUpdates >= kUnevenUpdates };
  if (report.mIsSlow) {
    mSlowAt = aNow;
  }
  if (report.mIsUneven) {
    mUnevenAt = aNow;
  }
  if (IsRecent(mSlowAt, kSlowHold, aNow) || IsUneven(aNow)) {
    return report;
  }
  return std::nullopt;
}

void
MemberSharing::UpdateAverage(TimePoint aNow)
{
  OnInFlight(mInFlight, aNow);
  const Duration passed = aNow - mUpdatedAt;
  if (passed > Duration::zero()) {
    const double average =
      std::chrono::duration<double>(mOccupied) / std::chrono::duration<double>(passed);
    mAverageInFlight += (average - mAverageInFlight) * kAverageWeight;
  }
  mOccupied = Duration::zero();
  mUpdatedAt = aNow;
}

void
MemberSharing::UpdateExpectedCost(std::uint32_t aSlots)
{
  double total = mAverageInFlight;
  for (const auto& [home, heard] : mHeard) {
    total += heard.mAverageInFlight;
  }
  const double cost = std::max(1.0, total / std::max(aSlots, 1U));
  mExpectedCost +=
    (cost - mExpectedCost) * (cost > mExpectedCost ? 1 : kExpectedCostFall);
}

bool
MemberSharing::IsUneven(TimePoint aNow) const
{
  return IsRecent(mUnevenAt, kUnevenHold, aNow);
}

bool
MemberSharing::LeavesReads(const std::string& aHome, TimePoint aNow) const
{
  return IsUneven(aNow) &&
         std::any_of(mHeard.begin(), mHeard.end(), [&](const auto& aHeard) {
           return aHeard.first < aHome && aNow - aHeard.second.mAt < kSilence;
         });
}

} // namespace papayaspindle
