#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace papayaspindle {

/** @return the bytes as lower-case hexadecimal digits */
std::string ToHex(std::string_view aBytes);

/**
 * @param aText a session token as `ctl` prints it: hexadecimal, or base64 in JSON
 * @return the token's bytes, or nothing when the text is neither
 */
std::optional<std::string> ParseSessionToken(std::string_view aText);

} // namespace papayaspindle
