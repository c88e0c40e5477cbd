#include "proxy/positionsamples.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Samples closer together than this don't improve the choice of a replica.
constexpr Duration kMinSampleSpacing = std::chrono::milliseconds(20);

} // namespace

PositionSamples::PositionSamples(Duration aWindow)
  : mWindow(aWindow)
{
}

void
PositionSamples::Add(const LogPosition& aPosition, TimePoint aRequestedAt)
{
  if (!mTermStart || aPosition.mTerm > mTermStart->mTerm) {
    mTermStart = aPosition;
  }
  if (!mSamples.empty()) {
    const Sample& last = mSamples.back();
    if (aRequestedAt <= last.mRequestedAt || aPosition < last.mPosition) {
      return;
    }
    const bool isCrowded =
      mSamples.size() > 1 && aRequestedAt - last.mRequestedAt < kMinSampleSpacing &&
      last.mRequestedAt - mSamples[mSamples.size() - 2].mRequestedAt < kMinSampleSpacing;
    if (isCrowded) {
      mSamples.pop_back();
    }
  }
  mSamples.push_back({ aPosition, aRequestedAt });
  Expire(aRequestedAt);
}

void
PositionSamples::Expire(TimePoint aNow)
{
  while (!mSamples.empty() && mSamples.front().mRequestedAt < aNow - mWindow) {
    mSamples.pop_front();
  }
}

std::optional<LogPosition>
PositionSamples::ProofOfFreshness(TimePoint aSince) const
{
  const auto found = std::lower_bound(
    mSamples.begin(), mSamples.end(), aSince, [](const Sample& aSample, TimePoint aTime) {
      return aSample.mRequestedAt < aTime;
    });
  return found == mSamples.end() ? std::nullopt : std::optional(found->mPosition);
}

std::optional<LogPosition>
PositionSamples::FirstAfterTerm(std::uint64_t aTerm) const
{
  return mTermStart && mTermStart->mTerm > aTerm ? mTermStart : std::nullopt;
}

std::optional<LogPosition>
PositionSamples::Newest() const
{
  return mSamples.empty() ? std::nullopt : std::optional(mSamples.back().mPosition);
}

std::optional<TimePoint>
PositionSamples::NewestRequestedAt() const
{
  return mSamples.empty() ? std::nullopt : std::optional(mSamples.back().mRequestedAt);
}

} // namespace papayaspindle::proxy
