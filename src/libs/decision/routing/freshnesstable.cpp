#include "decision/routing/freshnesstable.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace papayaspindle {

namespace {

using namespace std::chrono_literals;

// With the spacing below, the samples cover at least 6.4 s of lag. A replica that is
// further behind keeps its last proven time, so its proven age grows.
constexpr std::size_t kMaxSamples = 128;
constexpr Duration kMinSampleSpacing = 50ms;
// The newest measurement has a weight of 1/4, so a few slow answers change the
// prediction.
constexpr int kSmoothingDivisor = 4;
// With a validity of 1 s, only one read a second waits in vain for a replica that stays
// behind.
constexpr Duration kCatchUpValidity = 1s;

/**
 * Merges a position field of two replies of one term that may arrive out of order.
 *
 * A member never removes entries of its current term from its log, but may remove older
 * ones. Positions of the current term therefore only rise, and of two older positions the
 * later reported one is valid.
 *
 * @return the member's position after both replies
 */
LogPosition
MergeWithinTerm(const MemberProgress& aCurrent,
                const MemberProgress& aReceived,
                LogPosition MemberProgress::*aField)
{
  const auto& oldPosition = aCurrent.*aField;
  const auto& newPosition = aReceived.*aField;
  if (oldPosition.mTerm == aReceived.mTerm || newPosition.mTerm == aReceived.mTerm) {
    return std::max(oldPosition, newPosition);
  }
  return aReceived.mRequestedAt >= aCurrent.mRequestedAt ? newPosition : oldPosition;
}

} // namespace

void
FreshnessTable::OnStatus(const MemberProgress& aStatus)
{
  auto& member = mMembers[aStatus.mMember];
  auto& status = member.mStatus;
  if (aStatus.mTerm < status.mTerm) {
    return;
  }
  if (status.mMember.IsEmpty() || aStatus.mTerm > status.mTerm) {
    status = aStatus;
    member.mProvenAsOf.reset();
  } else {
    const auto last = MergeWithinTerm(status, aStatus, &MemberProgress::mLastPosition);
    const auto applied = MergeWithinTerm(status, aStatus, &MemberProgress::mApplied);
    const auto requestedAt = std::max(status.mRequestedAt, aStatus.mRequestedAt);
    if (aStatus.mRequestedAt >= status.mRequestedAt) {
      status = aStatus;
    }
    status.mLastPosition = last;
    status.mApplied = applied;
    status.mRequestedAt = requestedAt;
  }
  if (aStatus.mIsPrimary) {
    AddSample(
      aStatus.mTerm,
      { std::max(aStatus.mLastPosition, aStatus.mApplied), aStatus.mRequestedAt });
  }
  UpdateProof(member);
}

void
FreshnessTable::OnAnswer(MemberProgress aAnswer)
{
  const auto current = StatusOf(aAnswer.mMember);
  aAnswer.mIsLeaving = current && current->mIsLeaving;
  OnStatus(aAnswer);
}

void
FreshnessTable::OnCatchUp(const MemberId& aMember, Duration aDuration, TimePoint aNow)
{
  const auto predicted = PredictedCatchUp(aMember, aNow);
  auto& member = mMembers[aMember];
  member.mSmoothedCatchUp =
    predicted ? *predicted + (aDuration - *predicted) / kSmoothingDivisor : aDuration;
  member.mCatchUpMeasuredAt = aNow;
}

void
FreshnessTable::Retain(const GroupSettings& aSettings)
{
  std::erase_if(mMembers, [&](const auto& aEntry) {
    return std::none_of(
      aSettings.mMembers.begin(),
      aSettings.mMembers.end(),
      [&](const MemberSettings& aMember) { return aMember.mMember == aEntry.first; });
  });
}

std::optional<MemberProgress>
FreshnessTable::StatusOf(const MemberId& aMember) const
{
  const auto found = mMembers.find(aMember);
  if (found == mMembers.end() || found->second.mStatus.mMember.IsEmpty()) {
    return std::nullopt;
  }
  return found->second.mStatus;
}

std::vector<MemberProgress>
FreshnessTable::Statuses() const
{
  std::vector<MemberProgress> statuses;
  for (const auto& [id, member] : mMembers) {
    if (!member.mStatus.mMember.IsEmpty()) {
      statuses.push_back(member.mStatus);
    }
  }
  return statuses;
}

std::optional<TimePoint>
FreshnessTable::ProvenAsOf(const MemberId& aMember,
                           std::uint64_t aTerm,
                           std::size_t aMemberCount) const
{
  const auto found = mMembers.find(aMember);
  const auto majority = MajorityReportedAt(aTerm, aMemberCount);
  if (found == mMembers.end() || !majority || found->second.mStatus.mTerm != aTerm ||
      !found->second.mProvenAsOf) {
    return std::nullopt;
  }
  return std::min(*found->second.mProvenAsOf, *majority);
}

std::optional<TimePoint>
FreshnessTable::ProvenAsOf(const LogPosition& aApplied,
                           std::uint64_t aTerm,
                           std::size_t aMemberCount) const
{
  const auto majority = MajorityReportedAt(aTerm, aMemberCount);
  const auto sample = aTerm == mSampleTerm ? SampleProvenBy(aApplied) : std::nullopt;
  if (!majority || !sample) {
    return std::nullopt;
  }
  return std::min(*sample, *majority);
}

std::optional<LogPosition>
FreshnessTable::PositionProvingSince(TimePoint aSince,
                                     std::uint64_t aTerm,
                                     std::size_t aMemberCount) const
{
  const auto majority = MajorityReportedAt(aTerm, aMemberCount);
  if (aTerm != mSampleTerm || !majority || *majority < aSince) {
    return std::nullopt;
  }
  const auto found =
    std::find_if(mSamples.begin(), mSamples.end(), [&](const Sample& aSample) {
      return aSample.mRequestedAt >= aSince;
    });
  return found == mSamples.end() ? std::nullopt : std::optional(found->mPosition);
}

std::optional<Duration>
FreshnessTable::PredictedCatchUp(const MemberId& aMember, TimePoint aNow) const
{
  const auto found = mMembers.find(aMember);
  const bool isKnown = found != mMembers.end() && found->second.mSmoothedCatchUp &&
                       aNow - found->second.mCatchUpMeasuredAt < kCatchUpValidity;
  return isKnown ? found->second.mSmoothedCatchUp : std::nullopt;
}

void
FreshnessTable::AddSample(std::uint64_t aTerm, const Sample& aSample)
{
  if (aTerm < mSampleTerm) {
    return;
  }
  if (aTerm > mSampleTerm) {
    mSampleTerm = aTerm;
    mSamples.clear();
  }
  while (!mSamples.empty() && mSamples.back().mPosition >= aSample.mPosition &&
         mSamples.back().mRequestedAt <= aSample.mRequestedAt) {
    mSamples.pop_back();
  }
  if (!mSamples.empty() &&
      aSample.mRequestedAt < mSamples.back().mRequestedAt + kMinSampleSpacing) {
    return;
  }
  mSamples.push_back(aSample);
  if (mSamples.size() > kMaxSamples) {
    mSamples.pop_front();
  }
  for (auto& [id, member] : mMembers) {
    UpdateProof(member);
  }
}

void
FreshnessTable::UpdateProof(Member& aMember) const
{
  if (aMember.mStatus.mTerm != mSampleTerm) {
    return;
  }
  const auto proven = SampleProvenBy(aMember.mStatus.mApplied);
  if (proven) {
    aMember.mProvenAsOf = std::max(aMember.mProvenAsOf.value_or(*proven), *proven);
  }
}

std::optional<TimePoint>
FreshnessTable::SampleProvenBy(const LogPosition& aApplied) const
{
  for (auto sample = mSamples.rbegin(); sample != mSamples.rend(); ++sample) {
    // If the applied position is in an older term, the member's log may end in entries
    // that the primary's log does not have. It then proves only a sample at the same
    // position.
    const bool isCovered = aApplied.mTerm == mSampleTerm ? aApplied >= sample->mPosition
                                                         : aApplied == sample->mPosition;
    if (isCovered) {
      return sample->mRequestedAt;
    }
  }
  return std::nullopt;
}

std::optional<TimePoint>
FreshnessTable::MajorityReportedAt(std::uint64_t aTerm, std::size_t aMemberCount) const
{
  std::vector<TimePoint> times;
  for (const auto& [id, member] : mMembers) {
    if (member.mStatus.mTerm == aTerm && !member.mStatus.mMember.IsEmpty()) {
      times.push_back(member.mStatus.mRequestedAt);
    }
  }
  const std::size_t needed = aMemberCount / 2 + 1;
  if (times.size() < needed) {
    return std::nullopt;
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[needed - 1];
}

} // namespace papayaspindle
