#include "decision/routing/freshnesstable.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace papayaspindle {

namespace {

using namespace std::chrono_literals;

// Together they cover at least 6.4 s of lag; a replica further behind keeps its last
// proven time and grows older.
constexpr std::size_t kMaxSamples = 128;
constexpr Duration kMinSampleSpacing = 50ms;
// Weight of the newest measurement is 1/4: a few slow answers change the prediction.
constexpr int kSmoothing = 4;
// One read a second waits in vain for a replica that stays behind.
constexpr Duration kCatchUpValid = 1s;

/**
 * Entries of the status's own term are never dropped from a log, older ones may be.
 *
 * @return the applied position after both replies of one term
 */
LogPosition
MergeWithinTerm(const MemberProgress& aOld,
                const MemberProgress& aNew,
                LogPosition MemberProgress::*aField)
{
  const auto& oldPosition = aOld.*aField;
  const auto& newPosition = aNew.*aField;
  if (oldPosition.mTerm == aNew.mTerm || newPosition.mTerm == aNew.mTerm) {
    return std::max(oldPosition, newPosition);
  }
  return aNew.mAskedAt >= aOld.mAskedAt ? newPosition : oldPosition;
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
    member.mProven.reset();
  } else {
    const auto last = MergeWithinTerm(status, aStatus, &MemberProgress::mLast);
    const auto applied = MergeWithinTerm(status, aStatus, &MemberProgress::mApplied);
    const auto askedAt = std::max(status.mAskedAt, aStatus.mAskedAt);
    if (aStatus.mAskedAt >= status.mAskedAt) {
      status = aStatus;
    }
    status.mLast = last;
    status.mApplied = applied;
    status.mAskedAt = askedAt;
  }
  if (aStatus.mIsPrimary) {
    AddSample(aStatus.mTerm,
              { std::max(aStatus.mLast, aStatus.mApplied), aStatus.mAskedAt });
  }
  Prove(member);
}

void
FreshnessTable::OnAnswer(MemberProgress aAnswer)
{
  const auto known = StatusOf(aAnswer.mMember);
  aAnswer.mIsLeaving = known && known->mIsLeaving;
  OnStatus(aAnswer);
}

void
FreshnessTable::OnCatchUp(const MemberId& aMember, Duration aTook, TimePoint aNow)
{
  const auto predicted = PredictedCatchUp(aMember, aNow);
  auto& member = mMembers[aMember];
  member.mCatchUp = predicted ? *predicted + (aTook - *predicted) / kSmoothing : aTook;
  member.mCatchUpAt = aNow;
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
      !found->second.mProven) {
    return std::nullopt;
  }
  return std::min(*found->second.mProven, *majority);
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
FreshnessTable::PositionProving(TimePoint aSince,
                                std::uint64_t aTerm,
                                std::size_t aMemberCount) const
{
  const auto majority = MajorityReportedAt(aTerm, aMemberCount);
  if (aTerm != mSampleTerm || !majority || *majority < aSince) {
    return std::nullopt;
  }
  const auto found =
    std::find_if(mSamples.begin(), mSamples.end(), [&](const Sample& aSample) {
      return aSample.mAskedAt >= aSince;
    });
  return found == mSamples.end() ? std::nullopt : std::optional(found->mPosition);
}

std::optional<Duration>
FreshnessTable::PredictedCatchUp(const MemberId& aMember, TimePoint aNow) const
{
  const auto found = mMembers.find(aMember);
  const bool isKnown = found != mMembers.end() && found->second.mCatchUp &&
                       aNow - found->second.mCatchUpAt < kCatchUpValid;
  return isKnown ? found->second.mCatchUp : std::nullopt;
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
         mSamples.back().mAskedAt <= aSample.mAskedAt) {
    mSamples.pop_back();
  }
  if (!mSamples.empty() &&
      aSample.mAskedAt < mSamples.back().mAskedAt + kMinSampleSpacing) {
    return;
  }
  mSamples.push_back(aSample);
  if (mSamples.size() > kMaxSamples) {
    mSamples.pop_front();
  }
  for (auto& [id, member] : mMembers) {
    Prove(member);
  }
}

void
FreshnessTable::Prove(Member& aMember) const
{
  if (aMember.mStatus.mTerm != mSampleTerm) {
    return;
  }
  const auto proven = SampleProvenBy(aMember.mStatus.mApplied);
  if (proven) {
    aMember.mProven = std::max(aMember.mProven.value_or(*proven), *proven);
  }
}

std::optional<TimePoint>
FreshnessTable::SampleProvenBy(const LogPosition& aApplied) const
{
  for (auto sample = mSamples.rbegin(); sample != mSamples.rend(); ++sample) {
    // A log that ends in an older term may end differently from the primary's: it proves
    // a sample of an older term only by ending at the same entry.
    const bool isCovered = aApplied.mTerm == mSampleTerm ? aApplied >= sample->mPosition
                                                         : aApplied == sample->mPosition;
    if (isCovered) {
      return sample->mAskedAt;
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
      times.push_back(member.mStatus.mAskedAt);
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
