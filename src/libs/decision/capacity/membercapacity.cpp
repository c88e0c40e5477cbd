#include "decision/capacity/membercapacity.h"

#include <algorithm>
#include <tuple>

namespace papayaspindle {

namespace {

using namespace std::chrono_literals;

// Limits the effect of a single long statement.
constexpr double kMaxRatio = 10;
// Shorter times are dominated by the network round trip to the member.
constexpr Duration kMinUsualTime = 1ms;
// Times of statements vary by about their mean; averages of this weight stay within about
// 15% of the mean, well below the ratio at which members count as uneven (1.5).
constexpr double kAnswerWeight = 1.0 / 24;
// Some answers of a slow member are fast by chance. A slower fall keeps reads from
// returning to it for such answers. It raises the averages of all members alike.
constexpr double kFallFactor = 0.5;
// After a pause, the first answers count more, in proportion to the pause. One answer
// alone must not decide, because a slow member can run a short statement quickly.
constexpr Duration kForgetTime = 16s;
constexpr double kMaxWeight = 0.15;
// A failure costs the caller more than a slow answer. With this cost, a member that fails
// one statement in twenty counts as uneven.
constexpr double kFailureCost = 20;
// Number of statements after which the estimate of a level is used, and over which it is
// smoothed later.
constexpr std::uint32_t kMinLevelSamples = 24;
constexpr std::uint32_t kLevelSmoothing = 64;
// A level is too high if the member completes less than this share of what it completes
// at the best lower level. Where statements only wait for slots, also for those that
// other homes use, a higher level completes no less; averages over kMinLevelSamples
// statements vary by less than the rest.
constexpr double kTooHighShare = 0.7;
// A level without statements for this time is forgotten, so that old times are not
// compared with new ones. The level above the limit is thereby tried again.
constexpr Duration kForgetLevelAfter = 10s;
// The first answers say nothing about levels: until the usual times of a starting
// instance have settled (150 answers of a kind), they change by more than levels differ.
constexpr std::uint32_t kSettlingSamples = 200;
// A probe of a slow member delays its caller. The interval between probes is this
// multiple of the delay, so that they delay callers for at most 1% of the time.
constexpr int kProbeIntervalPerDelay = 100;
constexpr Duration kMinProbeInterval = 1s;
constexpr Duration kMaxProbeInterval = 8s;
// Starts of statements that never ended are dropped beyond this number.
constexpr std::size_t kMaxStarts = 256;

} // namespace

std::size_t
MemberCapacity::IndexOf(std::uint32_t aLevel)
{
  return std::clamp<std::size_t>(aLevel, 1, std::tuple_size_v<decltype(mLevels)>) - 1;
}

void
MemberCapacity::OnStart(std::uint32_t aLevel, TimePoint aNow)
{
  if (mStarts.size() >= kMaxStarts) {
    mStarts.pop_front();
  }
  mStarts.push_back({ aNow, aLevel });
  mLastStart = aNow;
}

std::uint32_t
MemberCapacity::TakeStart(TimePoint aStartedAt)
{
  const auto found =
    std::find_if(mStarts.begin(), mStarts.end(), [&](const Start& aStart) {
      return aStart.mAt == aStartedAt;
    });
  if (found == mStarts.end()) {
    return 0;
  }
  const std::uint32_t level = found->mLevel;
  mStarts.erase(found);
  return level;
}

void
MemberCapacity::OnEnd(const StatementSample& aSample)
{
  const std::uint32_t level = TakeStart(aSample.mStartedAt);
  if (level == 0 || aSample.mOutcome == StatementOutcome::NoInformation ||
      aSample.mUsualTime <= Duration::zero()) {
    return;
  }
  const TimePoint now = aSample.mEndedAt;
  const double pause = std::chrono::duration<double>(now - mLastEnd) / kForgetTime;
  const double weight = std::clamp(pause, kAnswerWeight, kMaxWeight);
  mLastEnd = now;
  const bool failed = aSample.mOutcome == StatementOutcome::Failed;
  mFailureShare += ((failed ? 1.0 : 0.0) - mFailureShare) * weight;
  const std::chrono::duration<double> usual = std::max(aSample.mUsualTime, kMinUsualTime);
  if (!failed) {
    const std::chrono::duration<double> took = now - aSample.mStartedAt;
    const double ratio = std::min(took / usual, kMaxRatio);
    mRelativeTime +=
      (ratio - mRelativeTime) * weight * (ratio < mRelativeTime ? kFallFactor : 1);
    AddToLevel(level, ratio, now);
  }
  const auto excess = std::chrono::duration_cast<Duration>(usual * (RelativeCost() - 1));
  mExcessTime += (std::max(excess, Duration::zero()) - mExcessTime) / 8;
  ForgetOldLevels(now);
  UpdateLimit(aSample.mSlots);
}

void
MemberCapacity::AddToLevel(std::uint32_t aLevel, double aRatio, TimePoint aNow)
{
  if (mSamples < kSettlingSamples) {
    mSamples++;
    return;
  }
  Level& level = mLevels[IndexOf(aLevel)];
  level.mSamples = std::min(level.mSamples + 1, kLevelSmoothing);
  level.mRelativeTime += (aRatio - level.mRelativeTime) / level.mSamples;
  level.mLastSample = aNow;
}

void
MemberCapacity::ForgetOldLevels(TimePoint aNow)
{
  for (std::size_t i = 0; i < mLevels.size(); i++) {
    // Above the limit, only the next level is tried, and only after enough is known about
    // the limit itself.
    const bool isAbove = i >= mLimit;
    const bool isTried = i == mLimit && mLevels[i - 1].mSamples >= kMinLevelSamples;
    if (aNow - mLevels[i].mLastSample > kForgetLevelAfter && (!isAbove || isTried)) {
      mLevels[i] = {};
    }
  }
}

void
MemberCapacity::UpdateLimit(std::uint32_t aSlots)
{
  mLimit = kNoLimit;
  double bestRate = 0;
  // Above its slots, a member makes statements wait, which ConcurrencyWindow limits.
  const std::size_t end = std::min<std::size_t>(aSlots, mLevels.size());
  for (std::size_t i = 0; i < end; i++) {
    if (mLevels[i].mSamples < kMinLevelSamples) {
      continue;
    }
    const auto level = static_cast<std::uint32_t>(i + 1);
    const double rate = level / mLevels[i].mRelativeTime;
    if (rate < bestRate * kTooHighShare) {
      mLimit = level - 1;
      return;
    }
    bestRate = std::max(bestRate, rate);
  }
}

double
MemberCapacity::RelativeCost() const
{
  return mRelativeTime + mFailureShare * kFailureCost;
}

double
MemberCapacity::RelativeTimeAt(std::uint32_t aLevel) const
{
  const Level& level = mLevels[IndexOf(aLevel)];
  return level.mSamples < kMinLevelSamples ? mRelativeTime : level.mRelativeTime;
}

bool
MemberCapacity::NeedsProbe(TimePoint aNow) const
{
  const Duration interval = std::clamp<Duration>(
    mExcessTime * kProbeIntervalPerDelay, kMinProbeInterval, kMaxProbeInterval);
  return aNow - mLastStart >= interval;
}

} // namespace papayaspindle
