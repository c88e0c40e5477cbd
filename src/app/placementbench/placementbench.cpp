#include "placementbench/placementbench.h"

#include "commandline/commandline.h"
#include "core/timetypes.h"
#include "placementbench/placement.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>

namespace papayaspindle {

namespace {

constexpr double kLoadChange = 0.2;
// Two instances that measure the same loads differ by this much.
constexpr double kMeasurementError = 0.05;

struct PlacementFigures
{
  double mMaxOverMean = 0;
  double mP99OverMean = 0;
  double mMovedByOneFailure = 0;
  double mMovedByLoadChange = 0;
  double mGroupsDisagreed = 0;
  double mComputeMs = 0;
};

std::vector<double>
InstanceLoads(const Placement& aPlacement, const PlacementWorld& aWorld)
{
  std::vector<double> loads(aWorld.mInstances.size(), 0.0);
  for (std::size_t group = 0; group < aPlacement.size(); ++group) {
    const auto& homes = aPlacement[group];
    for (const std::uint32_t home : homes) {
      loads[home] += aWorld.mLoads[group] / static_cast<double>(homes.size());
    }
  }
  return loads;
}

/** @return share of the homes in aBefore that aAfter no longer has */
double
MovedShare(const Placement& aBefore, const Placement& aAfter)
{
  std::size_t homes = 0;
  std::size_t kept = 0;
  for (std::size_t group = 0; group < aBefore.size(); ++group) {
    homes += aBefore[group].size();
    for (const std::uint32_t home : aBefore[group]) {
      kept +=
        std::binary_search(aAfter[group].begin(), aAfter[group].end(), home) ? 1 : 0;
    }
  }
  return 1.0 - static_cast<double>(kept) / static_cast<double>(homes);
}

double
DisagreedShare(const Placement& aLeft, const Placement& aRight)
{
  std::size_t differing = 0;
  for (std::size_t group = 0; group < aLeft.size(); ++group) {
    differing += aLeft[group] != aRight[group] ? 1 : 0;
  }
  return static_cast<double>(differing) / static_cast<double>(aLeft.size());
}

PlacementFigures
Measure(PlacementMethod aMethod, const PlacementWorld& aWorld, std::mt19937_64 aRandom)
{
  const std::vector<bool> allAlive(aWorld.mInstances.size(), true);
  const TimePoint start = Clock::now();
  const Placement base = PlaceGroups(aMethod, aWorld, aWorld.mLoads, allAlive);
  const std::chrono::duration<double, std::milli> took = Clock::now() - start;

  PlacementFigures figures;
  figures.mComputeMs = took.count();
  std::vector<double> loads = InstanceLoads(base, aWorld);
  std::sort(loads.begin(), loads.end());
  const double mean =
    std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(loads.size());
  figures.mMaxOverMean = loads.back() / mean;
  figures.mP99OverMean = loads[loads.size() * 99 / 100] / mean;

  std::vector<bool> oneFailed = allAlive;
  oneFailed[0] = false;
  figures.mMovedByOneFailure =
    MovedShare(base, PlaceGroups(aMethod, aWorld, aWorld.mLoads, oneFailed));
  const auto changed = JitterLoads(aWorld.mLoads, kLoadChange, aRandom);
  figures.mMovedByLoadChange =
    MovedShare(base, PlaceGroups(aMethod, aWorld, changed, allAlive));
  const auto otherView = JitterLoads(aWorld.mLoads, kMeasurementError, aRandom);
  figures.mGroupsDisagreed =
    DisagreedShare(base, PlaceGroups(aMethod, aWorld, otherView, allAlive));
  return figures;
}

std::string
ToJson(PlacementMethod aMethod, const PlacementFigures& aFigures)
{
  return fmt::format("\"{}\":{{\"max_over_mean\":{:.3f},\"p99_over_mean\":{:.3f},"
                     "\"homes_moved_by_one_failure\":{:.5f},"
                     "\"homes_moved_by_load_change\":{:.5f},"
                     "\"groups_disagreed\":{:.5f},\"compute_ms\":{:.1f}}}",
                     NameOf(aMethod),
                     aFigures.mMaxOverMean,
                     aFigures.mP99OverMean,
                     aFigures.mMovedByOneFailure,
                     aFigures.mMovedByLoadChange,
                     aFigures.mGroupsDisagreed,
                     aFigures.mComputeMs);
}

std::optional<std::uint64_t>
SeedFrom(std::string_view aArgument)
{
  constexpr std::string_view kFlag = "--seed=";
  std::uint64_t seed = 0;
  if (!aArgument.starts_with(kFlag)) {
    return std::nullopt;
  }
  const std::string_view digits = aArgument.substr(kFlag.size());
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seed);
  const bool isWhole =
    parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
  return isWhole ? std::optional(seed) : std::nullopt;
}

} // namespace

int
RunPlacementBench(int aArgumentCount, char** aArguments)
{
  std::uint64_t seed = 1;
  for (int i = 1; i < aArgumentCount; ++i) {
    const auto parsed = SeedFrom(aArguments[i]);
    if (!parsed) {
      fmt::print(stderr, "usage: papayaspindle placement [--seed=N]\n");
      return kExitUsage;
    }
    seed = *parsed;
  }
  std::mt19937_64 random(seed);
  const PlacementSize size;
  const PlacementWorld world = MakePlacementWorld(size, random);
  std::string figures;
  for (const auto method : { PlacementMethod::Rendezvous,
                             PlacementMethod::Greedy,
                             PlacementMethod::BestFit }) {
    fmt::print(stderr, "placing {} groups: {}\n", size.mGroups, NameOf(method));
    figures += "," + ToJson(method, Measure(method, world, random));
  }
  fmt::print("{{\"seed\":{},\"groups\":{},\"instances\":{}{}}}\n",
             seed,
             size.mGroups,
             size.mInstances,
             figures);
  return kExitDone;
}

} // namespace papayaspindle
