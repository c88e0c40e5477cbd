#include "decision/routing/readchooser.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace papayaspindle {

namespace {

bool
PrimaryIsUsable(const ReadQuestion& aQuestion)
{
  const auto& primary = aQuestion.mView.mPrimary;
  return !primary.IsEmpty() && !aQuestion.mExcluded.contains(primary);
}

/** @return the replica to serve from, when one is proven fresh enough */
std::optional<ServeFromReplica>
FreshReplica(const ReadQuestion& aQuestion,
             const FreshnessTable& aFreshness,
             const std::vector<MemberProgress>& aReplicas,
             Duration aMaxAge)
{
  for (const auto& replica : aReplicas) {
    const auto provenAsOf = aFreshness.ProvenAsOf(
      replica.mMember, aQuestion.mView.mTerm, aQuestion.mGroup.mMembers.size());
    if (!provenAsOf || replica.mApplied < aQuestion.mSession) {
      continue;
    }
    const auto age = std::max(aQuestion.mNow - *provenAsOf, Duration::zero());
    if (age <= aMaxAge) {
      return ServeFromReplica{ replica.mMember, age };
    }
  }
  return std::nullopt;
}

/** @return the replica to wait for, when one is predicted to catch up in time */
std::optional<WaitForReplica>
ReplicaToWaitFor(const ReadQuestion& aQuestion,
                 const FreshnessTable& aFreshness,
                 const std::vector<MemberProgress>& aReplicas,
                 Duration aMaxAge,
                 Duration aBound)
{
  const auto proving = aFreshness.PositionProving(aQuestion.mNow - aMaxAge + aBound,
                                                  aQuestion.mView.mTerm,
                                                  aQuestion.mGroup.mMembers.size());
  if (!proving || aBound <= Duration::zero()) {
    return std::nullopt;
  }
  for (const auto& replica : aReplicas) {
    const auto predicted = aFreshness.PredictedCatchUp(replica.mMember, aQuestion.mNow);
    if (predicted.value_or(Duration::zero()) <= aBound) {
      const auto position = std::max(*proving, aQuestion.mSession);
      return WaitForReplica{ replica.mMember, position, aBound };
    }
  }
  return std::nullopt;
}

} // namespace

ReadChooser::ReadChooser(ReadSettings aSettings, LoadHook aLoad)
  : mSettings(aSettings)
  , mLoad(std::move(aLoad))
{
}

ReadAction
ReadChooser::Choose(const ReadQuestion& aQuestion, const FreshnessTable& aFreshness) const
{
  if (aQuestion.mSession.mTerm > aQuestion.mView.mTerm) {
    // The session wrote in a term that this instance has not heard of yet.
    return RefuseRead{ ErrorKind::StaleTerm };
  }
  const auto maxAge = MaxStaleness(aQuestion);
  const bool hasWritten = aQuestion.mSession != LogPosition{};
  const bool staysAtPrimary =
    mSettings.mPolicy == ReadPolicy::PrimaryOnly ||
    (mSettings.mPolicy == ReadPolicy::PrimaryAfterWrite && hasWritten);
  if (maxAge > Duration::zero() && !staysAtPrimary) {
    const auto replicas = Replicas(aQuestion, aFreshness);
    if (const auto serve = FreshReplica(aQuestion, aFreshness, replicas, maxAge)) {
      return *serve;
    }
    const auto bound = std::min(mSettings.mMaxReplicaWait, aQuestion.mTimeLeft);
    const bool mayWait =
      mSettings.mPolicy == ReadPolicy::BoundedWait && !aQuestion.mHasWaited;
    if (mayWait) {
      const auto wait = ReplicaToWaitFor(aQuestion, aFreshness, replicas, maxAge, bound);
      if (wait) {
        return *wait;
      }
    }
  }
  if (PrimaryIsUsable(aQuestion)) {
    return ServeFromPrimary{ aQuestion.mView.mPrimary };
  }
  const bool statesAge = aQuestion.mMaxStaleness > Duration::zero();
  return RefuseRead{ statesAge ? ErrorKind::NoFreshReplica : ErrorKind::NoPrimary };
}

Duration
ReadChooser::MaxStaleness(const ReadQuestion& aQuestion) const
{
  return aQuestion.mMaxStaleness > Duration::zero() ? aQuestion.mMaxStaleness
                                                    : mSettings.mDefaultMaxStaleness;
}

std::vector<MemberProgress>
ReadChooser::Replicas(const ReadQuestion& aQuestion,
                      const FreshnessTable& aFreshness) const
{
  struct Ranked
  {
    bool mIsOtherZone;
    std::uint64_t mLoad;
    MemberProgress mStatus;
  };
  std::vector<Ranked> ranked;
  for (const auto& member : aQuestion.mGroup.mMembers) {
    const auto status = aFreshness.StatusOf(member.mMember);
    const bool isUsable = status && !status->mIsLeaving && !status->mIsPrimary &&
                          !member.mLeaving && aQuestion.mView.mTerm != 0 &&
                          status->mTerm == aQuestion.mView.mTerm &&
                          member.mMember != aQuestion.mView.mPrimary &&
                          !aQuestion.mExcluded.contains(member.mMember);
    if (isUsable) {
      ranked.push_back({ member.mAvailabilityZone != aQuestion.mOwnZone,
                         mLoad ? mLoad(member.mMember) : 0,
                         *status });
    }
  }
  std::stable_sort(
    ranked.begin(), ranked.end(), [](const Ranked& aLeft, const Ranked& aRight) {
      return std::tie(aLeft.mIsOtherZone, aLeft.mLoad) <
             std::tie(aRight.mIsOtherZone, aRight.mLoad);
    });
  std::vector<MemberProgress> replicas;
  for (auto& entry : ranked) {
    replicas.push_back(std::move(entry.mStatus));
  }
  return replicas;
}

} // namespace papayaspindle
