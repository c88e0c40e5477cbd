#include "proxy/tables/readerchoice.h"

#include "core/stablehash.h"

#include <algorithm>
#include <tuple>

namespace papayaspindle::proxy {

namespace {

// Up to this number of instances, relaying would save few calls to the store.
constexpr std::size_t kMaxInstancesWithoutReaders = 12;
// The second reader serves the zone if the first one fails.
constexpr std::size_t kReadersPerZone = 2;
// A failure of the store for single instances rarely concerns all of these. During an
// outage for all instances, each of them sends this many requests per retry.
constexpr std::size_t kMaxSubstitutes = 6;

using RankedInstances = std::vector<std::tuple<double, std::uint64_t, std::string>>;

/** @return the readers of a zone, heaviest first */
std::vector<std::string>
ReadersOfZone(std::string_view aZone, std::span<const RegisteredInstance> aInstances)
{
  // Instances of a higher weight have more processor time and bandwidth for the others.
  RankedInstances ranked;
  for (const RegisteredInstance& other : aInstances) {
    if (other.mZone == aZone && !other.mIsLeaving) {
      ranked.emplace_back(
        -other.mWeight, StableHash({ other.mInstance }), other.mInstance);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kReadersPerZone));
  std::vector<std::string> readers;
  for (const auto& [weight, hash, name] : ranked) {
    readers.push_back(name);
  }
  return readers;
}

/** @return the instances that read the store, other than aSelf: those of its own zone
 * first, then in an order that differs between instances */
std::vector<std::string>
ChooseSubstitutes(const RegisteredInstance& aSelf,
                  std::span<const RegisteredInstance> aInstances)
{
  const bool doAllReadStore = aInstances.size() <= kMaxInstancesWithoutReaders;
  std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
  for (const RegisteredInstance& other : aInstances) {
    if (other.mInstance == aSelf.mInstance || other.mIsLeaving) {
      continue;
    }
    const bool isRemote = other.mZone != aSelf.mZone;
    if (!doAllReadStore) {
      // The readers of the own zone are queried anyway.
      const std::vector<std::string> readers = ReadersOfZone(other.mZone, aInstances);
      const bool reads =
        std::find(readers.begin(), readers.end(), other.mInstance) != readers.end();
      if (!isRemote || !reads) {
        continue;
      }
    }
    ranked.emplace_back(
      isRemote, StableHash({ aSelf.mInstance, other.mInstance }), other.mInstance);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kMaxSubstitutes));
  std::vector<std::string> substitutes;
  for (const auto& [isRemote, hash, name] : ranked) {
    substitutes.push_back(name);
  }
  return substitutes;
}

} // namespace

ReaderChoice
ChooseReaders(std::string_view aInstance, std::span<const RegisteredInstance> aInstances)
{
  ReaderChoice choice;
  choice.mIsKnown = true;
  const auto self =
    std::find_if(aInstances.begin(), aInstances.end(), [&](const auto& aOther) {
      return aOther.mInstance == aInstance;
    });
  if (self == aInstances.end()) {
    return choice;
  }
  choice.mSubstitutes = ChooseSubstitutes(*self, aInstances);
  if (aInstances.size() <= kMaxInstancesWithoutReaders) {
    return choice;
  }
  std::vector<std::string> readers = ReadersOfZone(self->mZone, aInstances);
  if (std::find(readers.begin(), readers.end(), aInstance) != readers.end()) {
    choice.mIsReader = true;
    return choice;
  }
  if (!readers.empty()) {
    const auto first =
      static_cast<std::ptrdiff_t>(StableHash({ aInstance, "reader" }) % readers.size());
    std::rotate(readers.begin(), readers.begin() + first, readers.end());
  }
  choice.mReaders = std::move(readers);
  return choice;
}

} // namespace papayaspindle::proxy
