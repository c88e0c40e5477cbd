#pragma once

#include <string>
#include <string_view>

namespace papayaspindle {

/**
 * @param aText UTF-8 text
 * @return the text as a JSON string, with its quotes
 */
std::string JsonString(std::string_view aText);

} // namespace papayaspindle
