#pragma once

#include <string>
#include <string_view>

namespace papayaspindle {

/**
 * @param aText UTF-8 text
 * @return the text as a JSON string literal, including the quotes
 */
std::string JsonString(std::string_view aText);

} // namespace papayaspindle
