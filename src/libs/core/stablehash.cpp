#include "core/stablehash.h"

namespace papayaspindle {

namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

constexpr std::uint64_t
Finalize(std::uint64_t aHash)
{
  aHash = (aHash ^ (aHash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aHash = (aHash ^ (aHash >> 27)) * 0x94d049bb133111ebULL;
  return aHash ^ (aHash >> 31);
}

} // namespace

std::uint64_t
StableHash(std::initializer_list<std::string_view> aParts, std::uint64_t aSeed)
{
  std::uint64_t hash = kFnvOffset ^ Finalize(aSeed);
  const auto take = [&hash](std::uint64_t aByte) { hash = (hash ^ aByte) * kFnvPrime; };
  for (const auto part : aParts) {
    for (const char byte : part) {
      take(static_cast<unsigned char>(byte));
    }
    for (unsigned shift = 0; shift < 64; shift += 8) {
      take((part.size() >> shift) & 0xff);
    }
  }
  return Finalize(hash);
}

} // namespace papayaspindle
