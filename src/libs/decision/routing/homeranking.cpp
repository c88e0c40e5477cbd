#include "decision/routing/homeranking.h"

#include "core/stablehash.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace papayaspindle {

namespace {

constexpr std::size_t kConnectionsPerHome = 4;
// The second home confirms suspicions and takes over if the keeper does not act.
constexpr std::size_t kMinHomes = 2;

/** A live instance that may become a home. It is referenced by its index instead of
 * copied, because a region has over a thousand candidates for each of its groups. */
struct Candidate
{
  /** Index in the live instances. */
  std::uint32_t mIndex = 0;
  /** Index in the zones of the group's members. */
  std::size_t mZone = 0;
  double mScore = 0;
  std::uint64_t mHash = 0;
};

std::vector<AvailabilityZone>
MemberZones(const GroupSettings& aGroup)
{
  std::set<AvailabilityZone> notLeavingZones;
  std::set<AvailabilityZone> all;
  for (const auto& member : aGroup.mMembers) {
    all.insert(member.mAvailabilityZone);
    if (!member.mLeaving) {
      notLeavingZones.insert(member.mAvailabilityZone);
    }
  }
  const auto& zones = notLeavingZones.empty() ? all : notLeavingZones;
  return { zones.begin(), zones.end() };
}

bool
IsEligible(const InstanceInfo& aInfo)
{
  return aInfo.mLiveness == Liveness::Alive || aInfo.mLiveness == Liveness::Suspect;
}

/** Maps the hash to (0, 1) and applies the weight, so that an instance is ranked first in
 * proportion to its weight. */
double
WeightedScore(std::uint64_t aHash, double aWeight)
{
  constexpr unsigned kDroppedBits = 11;
  constexpr double kRange = 9007199254740992.0; // 2^53, the doubles' precision
  const double uniform = (static_cast<double>(aHash >> kDroppedBits) + 0.5) / kRange;
  return aWeight / -std::log(uniform);
}

/** Orders candidates by descending score; equal scores by hash, then by name. */
class RankOrder
{
public:
  explicit RankOrder(std::span<const InstanceInfo> aLive)
    : mLive(aLive)
  {
  }

  bool operator()(const Candidate& aLeft, const Candidate& aRight) const
  {
    return std::tie(aRight.mScore, aRight.mHash, mLive[aRight.mIndex].mInstance) <
           std::tie(aLeft.mScore, aLeft.mHash, mLive[aLeft.mIndex].mInstance);
  }

private:
  std::span<const InstanceInfo> mLive;
};

/** Moves the best candidate of each zone to the front; both parts stay in rank order. */
void
MoveZoneWinnersToFront(std::vector<Candidate>& aRanked)
{
  std::set<std::size_t> seen;
  std::vector<Candidate> first;
  std::vector<Candidate> rest;
  for (const Candidate& candidate : aRanked) {
    const bool isFirst = seen.insert(candidate.mZone).second;
    (isFirst ? first : rest).push_back(candidate);
  }
  aRanked = std::move(first);
  aRanked.insert(aRanked.end(), rest.begin(), rest.end());
}

/** Removes all candidates but the aTargetCount best and the best of each zone, and sorts
 * the remaining ones in rank order. */
void
RetainBestCandidates(std::vector<Candidate>& aCandidates,
                     std::size_t aTargetCount,
                     std::size_t aZones,
                     const RankOrder& aRanksBefore)
{
  std::vector<std::optional<Candidate>> bestOfZone(aZones);
  for (const Candidate& candidate : aCandidates) {
    auto& best = bestOfZone[candidate.mZone];
    if (!best || aRanksBefore(candidate, *best)) {
      best = candidate;
    }
  }
  const auto end = aCandidates.begin() + static_cast<std::ptrdiff_t>(
                                           std::min(aTargetCount, aCandidates.size()));
  std::partial_sort(aCandidates.begin(), end, aCandidates.end(), aRanksBefore);
  aCandidates.erase(end, aCandidates.end());
  for (const auto& best : bestOfZone) {
    const bool isRetained =
      !best || std::any_of(
                 aCandidates.begin(), aCandidates.end(), [&](const Candidate& aRetained) {
                   return aRetained.mIndex == best->mIndex;
                 });
    if (!isRetained) {
      aCandidates.push_back(*best);
    }
  }
  std::sort(aCandidates.begin(), aCandidates.end(), aRanksBefore);
}

} // namespace

HomeRanking::HomeRanking(WeightHook aWeight)
  : mWeight(std::move(aWeight))
{
}

std::size_t
HomeRanking::TargetHomeCount(const GroupSettings& aGroup)
{
  return std::max<std::size_t>(aGroup.mConnectionLimit / kConnectionsPerHome, kMinHomes);
}

std::vector<InstanceId>
HomeRanking::Rank(const GroupSettings& aGroup, std::span<const InstanceInfo> aLive) const
{
  return Rank(aGroup, aLive, TargetHomeCount(aGroup));
}

std::vector<InstanceId>
HomeRanking::Rank(const GroupSettings& aGroup,
                  std::span<const InstanceInfo> aLive,
                  std::size_t aTargetCount) const
{
  const auto zones = MemberZones(aGroup);
  const auto zoneOf = [&](const InstanceInfo& aInfo) {
    const auto found = std::find(zones.begin(), zones.end(), aInfo.mAvailabilityZone);
    return static_cast<std::size_t>(found - zones.begin());
  };
  const bool zonesHaveInstances =
    std::any_of(aLive.begin(), aLive.end(), [&](const InstanceInfo& aInfo) {
      return IsEligible(aInfo) && zoneOf(aInfo) < zones.size();
    });
  std::vector<Candidate> ranked;
  ranked.reserve(aLive.size());
  for (std::uint32_t i = 0; i < aLive.size(); ++i) {
    const InstanceInfo& info = aLive[i];
    const std::size_t zone = zoneOf(info);
    if (!IsEligible(info) || (zonesHaveInstances && zone == zones.size())) {
      continue;
    }
    const auto hash = StableHash({ aGroup.mGroup.Text(), info.mInstance.Text() });
    const double weight = mWeight ? mWeight(info) : 1.0;
    ranked.push_back({ i, zone, WeightedScore(hash, weight), hash });
  }
  const RankOrder ranksBefore(aLive);
  RetainBestCandidates(ranked, aTargetCount, zones.size() + 1, ranksBefore);
  MoveZoneWinnersToFront(ranked);
  ranked.resize(std::min(aTargetCount, ranked.size()));
  std::sort(ranked.begin(), ranked.end(), ranksBefore);
  std::vector<InstanceId> homes;
  for (const auto& candidate : ranked) {
    homes.push_back(aLive[candidate.mIndex].mInstance);
  }
  return homes;
}

} // namespace papayaspindle
