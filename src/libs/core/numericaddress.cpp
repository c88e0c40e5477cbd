#include "core/numericaddress.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace papayaspindle {

namespace {

bool
IsPort(std::string_view aText)
{
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port > 0;
}

} // namespace

bool
IsNumericAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || !IsPort(aText.substr(colon + 1))) {
    return false;
  }
  std::string host(aText.substr(0, colon));
  // inet_pton would read only the part before a zero byte.
  if (host.find('\0') != std::string::npos) {
    return false;
  }
  in6_addr address{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), &address) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

} // namespace papayaspindle
