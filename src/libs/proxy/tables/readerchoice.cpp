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

} // namespace

ReaderChoice
ChooseReaders(std::string_view aInstance, std::span<const RegisteredInstance> aInstances)
{
  const auto self =
    std::find_if(aInstances.begin(), aInstances.end(), [&](const auto& aOther) {
      return aOther.mInstance == aInstance;
    });
  if (aInstances.size() <= kMaxInstancesWithoutReaders || self == aInstances.end()) {
    return { true, false, {} };
  }
  // Instances of a higher weight have more processor time and bandwidth for the others.
  std::vector<std::tuple<double, std::uint64_t, std::string>> ranked;
  for (const RegisteredInstance& other : aInstances) {
    if (other.mZone == self->mZone && !other.mIsLeaving) {
      ranked.emplace_back(
        -other.mWeight, StableHash({ other.mInstance }), other.mInstance);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ReaderChoice choice;
  choice.mIsKnown = true;
  std::vector<std::string>& readers = choice.mReaders;
  for (const auto& [weight, hash, name] : ranked) {
    if (readers.size() < kReadersPerZone) {
      readers.push_back(name);
    }
  }
  if (std::find(readers.begin(), readers.end(), aInstance) != readers.end()) {
    return { true, true, {} };
  }
  if (!readers.empty()) {
    const auto first =
      static_cast<std::ptrdiff_t>(StableHash({ aInstance, "reader" }) % readers.size());
    std::rotate(readers.begin(), readers.begin() + first, readers.end());
  }
  return choice;
}

} // namespace papayaspindle::proxy
