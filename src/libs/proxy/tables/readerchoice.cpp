#include "proxy/tables/readerchoice.h"

#include "core/stablehash.h"

#include <algorithm>
#include <tuple>

namespace papayaspindle::proxy {

namespace {

// Few instances read for themselves: a relay would save little.
constexpr std::size_t kFewInstances = 12;
// One may be lost at any time.
constexpr std::size_t kReaders = 2;

} // namespace

ReaderChoice
ChooseReaders(std::string_view aInstance, std::span<const RegisteredInstance> aInstances)
{
  const auto self =
    std::find_if(aInstances.begin(), aInstances.end(), [&](const auto& aOther) {
      return aOther.mInstance == aInstance;
    });
  if (aInstances.size() <= kFewInstances || self == aInstances.end()) {
    return { true, false, {} };
  }
  // Instances with more processor time and wider links serve the others sooner.
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
    if (readers.size() < kReaders) {
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
