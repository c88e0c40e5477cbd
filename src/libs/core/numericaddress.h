#pragma once

#include <string_view>

namespace papayaspindle {

/** @return whether the text is an IP address and a port, as "10.0.0.1:80" or "[::1]:80".
 * A host name is refused: its lookup would block the event loop. */
bool IsNumericAddress(std::string_view aText);

} // namespace papayaspindle
