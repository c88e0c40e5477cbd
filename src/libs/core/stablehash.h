#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace papayaspindle {

/**
 * Computes a 64-bit hash that is the same in every process and version: FNV-1a over each
 * part and its length, then the finalizer of splitmix64.
 *
 * @param aParts strings that are hashed in order; { "ab", "c" } and { "a", "bc" } have
 * different hashes
 * @param aSeed different seeds give independent hashes of the same parts
 */
[[nodiscard]] std::uint64_t StableHash(std::initializer_list<std::string_view> aParts,
                                       std::uint64_t aSeed = 0);

} // namespace papayaspindle
