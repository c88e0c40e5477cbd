#include "proxy/positionsamples.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Samples closer together than this add nothing to the choice of a replica.
constexpr Duration kSpacing = std::chrono::milliseconds(20);

} // namespace

PositionSamples::PositionSamples(Duration aWindow)
  : mWindow(aWindow)
{
}

void
PositionSamples::Add(const LogPosition& aPosition, TimePoint aAskedAt)
{
  if (!mTermStart || aPosition.mTerm > mTermStart->mTerm) {
    mTermStart = aPosition;
  }
  if (!mSamples.empty()) {
    const Sample& last = mSamples.back();
    if (aAskedAt <= last.mAskedAt || aPosition < last.mPosition) {
      return;
    }
    const bool isCrowded =
      mSamples.size() > 1 && aAskedAt - last.mAskedAt < kSpacing &&
      last.mAskedAt - mSamples[mSamples.size() - 2].mAskedAt < kSpacing;
    if (isCrowded) {
      mSamples.pop_back();
    }
  }
  mSamples.push_back({ aPosition, aAskedAt });
  Expire(aAskedAt);
}

void
PositionSamples::Expire(TimePoint aNow)
{
  while (!mSamples.empty() && mSamples.front().mAskedAt < aNow - mWindow) {
    mSamples.pop_front();
  }
}

std::optional<LogPosition>
PositionSamples::ProofOf(TimePoint aSince) const
{
  const auto found = std::lower_bound(
    mSamples.begin(), mSamples.end(), aSince, [](const Sample& aSample, TimePoint aTime) {
      return aSample.mAskedAt < aTime;
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
PositionSamples::NewestAt() const
{
  return mSamples.empty() ? std::nullopt : std::optional(mSamples.back().mAskedAt);
}

} // namespace papayaspindle::proxy
