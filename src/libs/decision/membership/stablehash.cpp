#include "decision/membership/stablehash.h"

namespace papayaspindle {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037U;
constexpr std::uint64_t kFnvPrime = 1099511628211U;

// Finalizer of SplitMix64: FNV-1a alone leaves the high bits of short texts alike.
std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 30U;
  aValue *= 0xbf58476d1ce4e5b9U;
  aValue ^= aValue >> 27U;
  aValue *= 0x94d049bb133111ebU;
  return aValue ^ (aValue >> 31U);
}

} // namespace

std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed)
{
  std::uint64_t hash = kFnvOffset ^ Mix(aSeed);
  for (const char character : aText) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kFnvPrime;
  }
  return Mix(hash);
}

} // namespace papayaspindle
