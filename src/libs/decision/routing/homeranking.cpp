#include "decision/routing/homeranking.h"

#include "decision/routing/stablehash.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace papayaspindle {

namespace {

constexpr std::size_t kConnectionsPerHome = 4;
// A second home confirms a suspicion and takes over when the keeper does not act.
constexpr std::size_t kMinHomes = 2;

struct Candidate
{
  InstanceId mInstance;
  AvailabilityZone mZone;
  double mScore = 0;
  std::uint64_t mHash = 0;
};

bool
RanksBefore(const Candidate& aLeft, const Candidate& aRight)
{
  return std::tie(aRight.mScore, aRight.mHash, aRight.mInstance) <
         std::tie(aLeft.mScore, aLeft.mHash, aLeft.mInstance);
}

std::set<AvailabilityZone>
MemberZones(const GroupSettings& aGroup)
{
  std::set<AvailabilityZone> staying;
  std::set<AvailabilityZone> all;
  for (const auto& member : aGroup.mMembers) {
    all.insert(member.mAvailabilityZone);
    if (!member.mLeaving) {
      staying.insert(member.mAvailabilityZone);
    }
  }
  return staying.empty() ? all : staying;
}

bool
MayBeHome(const InstanceInfo& aInfo)
{
  return aInfo.mLiveness == Liveness::Alive || aInfo.mLiveness == Liveness::Suspect;
}

/** Maps the hash to (0, 1) and weights it, so that the wins are in proportion. */
double
Score(std::uint64_t aHash, double aWeight)
{
  constexpr unsigned kDroppedBits = 11;
  constexpr double kRange = 9007199254740992.0; // 2^53, the doubles' precision
  const double uniform = (static_cast<double>(aHash >> kDroppedBits) + 0.5) / kRange;
  return aWeight / -std::log(uniform);
}

/** Moves the best of each zone to the front, in order of score. */
void
SpreadOverZones(std::vector<Candidate>& aRanked)
{
  std::set<AvailabilityZone> seen;
  std::vector<Candidate> first;
  std::vector<Candidate> rest;
  for (auto& candidate : aRanked) {
    const bool isFirst = seen.insert(candidate.mZone).second;
    (isFirst ? first : rest).push_back(std::move(candidate));
  }
  aRanked = std::move(first);
  std::move(rest.begin(), rest.end(), std::back_inserter(aRanked));
}

} // namespace

HomeRanking::HomeRanking(WeightHook aWeight)
  : mWeight(std::move(aWeight))
{
}

std::vector<InstanceId>
HomeRanking::Rank(const GroupSettings& aGroup, std::span<const InstanceInfo> aLive) const
{
  const auto zones = MemberZones(aGroup);
  const bool zonesHaveInstances =
    std::any_of(aLive.begin(), aLive.end(), [&](const InstanceInfo& aInfo) {
      return MayBeHome(aInfo) && zones.contains(aInfo.mAvailabilityZone);
    });
  std::vector<Candidate> ranked;
  for (const auto& info : aLive) {
    if (!MayBeHome(info) ||
        (zonesHaveInstances && !zones.contains(info.mAvailabilityZone))) {
      continue;
    }
    const auto hash = StableHash({ aGroup.mGroup.Text(), info.mInstance.Text() });
    const double weight = mWeight ? mWeight(info) : 1.0;
    ranked.push_back(
      { info.mInstance, info.mAvailabilityZone, Score(hash, weight), hash });
  }
  std::sort(ranked.begin(), ranked.end(), RanksBefore);
  SpreadOverZones(ranked);
  const auto wanted =
    std::max<std::size_t>(aGroup.mConnectionLimit / kConnectionsPerHome, kMinHomes);
  ranked.resize(std::min(wanted, ranked.size()));
  std::sort(ranked.begin(), ranked.end(), RanksBefore);
  std::vector<InstanceId> homes;
  for (const auto& candidate : ranked) {
    homes.push_back(candidate.mInstance);
  }
  return homes;
}

} // namespace papayaspindle
