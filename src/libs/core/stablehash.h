#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace papayaspindle {

/**
 * A 64-bit hash of fixed definition, equal in every process and version: FNV-1a over each
 * part and its length, then the finalizer of splitmix64.
 *
 * @param aParts hashed in order; their borders count
 * @param aSeed distinguishes uses of the same parts
 */
[[nodiscard]] std::uint64_t StableHash(std::initializer_list<std::string_view> aParts,
                                       std::uint64_t aSeed = 0);

} // namespace papayaspindle
