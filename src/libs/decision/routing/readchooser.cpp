#include "decision/routing/readchooser.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace papayaspindle {

namespace {

bool
IsPrimaryUsable(const ReadRequest& aRequest)
{
  const auto& primary = aRequest.mView.mPrimary;
  return !primary.IsEmpty() && !aRequest.mExcluded.contains(primary);
}

/** @return the first replica that is proven fresh enough and has the session's writes */
std::optional<ServeFromReplica>
FindFreshReplica(const ReadRequest& aRequest,
                 const FreshnessTable& aFreshness,
                 const std::vector<MemberProgress>& aReplicas,
                 Duration aMaxAge)
{
  for (const auto& replica : aReplicas) {
    const auto provenAsOf = aFreshness.ProvenAsOf(
      replica.mMember, aRequest.mView.mTerm, aRequest.mGroup.mMembers.size());
    if (!provenAsOf || replica.mApplied < aRequest.mSessionPosition) {
      continue;
    }
    const auto age = std::max(aRequest.mNow - *provenAsOf, Duration::zero());
    if (age <= aMaxAge) {
      return ServeFromReplica{ replica.mMember, age };
    }
  }
  return std::nullopt;
}

/** @return the first replica that is predicted to catch up within aMaxWait */
std::optional<WaitForReplica>
FindReplicaToWaitFor(const ReadRequest& aRequest,
                     const FreshnessTable& aFreshness,
                     const std::vector<MemberProgress>& aReplicas,
                     Duration aMaxAge,
                     Duration aMaxWait)
{
  const auto proving = aFreshness.PositionProvingSince(aRequest.mNow - aMaxAge + aMaxWait,
                                                       aRequest.mView.mTerm,
                                                       aRequest.mGroup.mMembers.size());
  if (!proving || aMaxWait <= Duration::zero()) {
    return std::nullopt;
  }
  for (const auto& replica : aReplicas) {
    const auto predicted = aFreshness.PredictedCatchUp(replica.mMember, aRequest.mNow);
    if (predicted.value_or(Duration::zero()) <= aMaxWait) {
      const auto position = std::max(*proving, aRequest.mSessionPosition);
      return WaitForReplica{ replica.mMember, position, aMaxWait };
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
ReadChooser::Choose(const ReadRequest& aRequest, const FreshnessTable& aFreshness) const
{
  if (aRequest.mSessionPosition.mTerm > aRequest.mView.mTerm) {
    // The session wrote in a term that this instance's view has not reached yet.
    return RefuseRead{ ErrorKind::StaleTerm };
  }
  const auto maxAge = MaxStaleness(aRequest);
  const bool hasWritten = aRequest.mSessionPosition != LogPosition{};
  const bool staysAtPrimary =
    mSettings.mPolicy == ReadPolicy::PrimaryOnly ||
    (mSettings.mPolicy == ReadPolicy::PrimaryAfterWrite && hasWritten);
  if (maxAge > Duration::zero() && !staysAtPrimary) {
    const auto replicas = UsableReplicas(aRequest, aFreshness);
    if (const auto serve = FindFreshReplica(aRequest, aFreshness, replicas, maxAge)) {
      return *serve;
    }
    const auto maxWait = std::min(mSettings.mMaxReplicaWait, aRequest.mTimeLeft);
    const bool mayWait =
      mSettings.mPolicy == ReadPolicy::BoundedWait && !aRequest.mHasWaited;
    if (mayWait) {
      const auto wait =
        FindReplicaToWaitFor(aRequest, aFreshness, replicas, maxAge, maxWait);
      if (wait) {
        return *wait;
      }
    }
  }
  if (IsPrimaryUsable(aRequest)) {
    return ServeFromPrimary{ aRequest.mView.mPrimary };
  }
  const bool hasStatedAge = aRequest.mMaxStaleness > Duration::zero();
  return RefuseRead{ hasStatedAge ? ErrorKind::NoFreshReplica : ErrorKind::NoPrimary };
}

Duration
ReadChooser::MaxStaleness(const ReadRequest& aRequest) const
{
  return aRequest.mMaxStaleness > Duration::zero() ? aRequest.mMaxStaleness
                                                   : mSettings.mDefaultMaxStaleness;
}

std::vector<MemberProgress>
ReadChooser::UsableReplicas(const ReadRequest& aRequest,
                            const FreshnessTable& aFreshness) const
{
  struct Ranked
  {
    bool mIsOtherZone;
    std::uint64_t mLoad;
    MemberProgress mStatus;
  };
  std::vector<Ranked> ranked;
  for (const auto& member : aRequest.mGroup.mMembers) {
    const auto status = aFreshness.StatusOf(member.mMember);
    const bool isUsable = status && !status->mIsLeaving && !status->mIsPrimary &&
                          !member.mLeaving && aRequest.mView.mTerm != 0 &&
                          status->mTerm == aRequest.mView.mTerm &&
                          member.mMember != aRequest.mView.mPrimary &&
                          !aRequest.mExcluded.contains(member.mMember);
    if (isUsable) {
      ranked.push_back({ member.mAvailabilityZone != aRequest.mOwnZone,
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
