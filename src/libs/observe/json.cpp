#include "observe/json.h"

#include <fmt/format.h>

namespace papayaspindle {

std::string
JsonString(std::string_view aText)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  std::string text = "\"";
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else if (static_cast<unsigned char>(c) < kFirstPrintable) {
      text += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
    } else {
      text += c;
    }
  }
  text += '"';
  return text;
}

} // namespace papayaspindle
