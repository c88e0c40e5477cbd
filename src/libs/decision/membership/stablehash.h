#pragma once

#include <cstdint>
#include <string_view>

namespace papayaspindle {

/**
 * A hash that is the same in every process and build.
 *
 * @param aText any bytes
 * @param aSeed distinguishes uses
 */
[[nodiscard]] std::uint64_t StableHash(std::string_view aText, std::uint64_t aSeed);

} // namespace papayaspindle
