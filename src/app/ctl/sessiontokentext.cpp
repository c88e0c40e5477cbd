#include "ctl/sessiontokentext.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Exception.h>
#include <fmt/format.h>

#include <charconv>
#include <iterator>
#include <sstream>

namespace papayaspindle {

namespace {

constexpr std::size_t kDigitsPerByte = 2;

std::string
FromHex(std::string_view aText)
{
  constexpr int kHexBase = 16;
  std::string bytes;
  for (std::size_t at = 0; at < aText.size(); at += kDigitsPerByte) {
    unsigned byte = 0;
    std::from_chars(
      aText.data() + at, aText.data() + at + kDigitsPerByte, byte, kHexBase);
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

} // namespace

std::string
ToHex(std::string_view aBytes)
{
  std::string text;
  for (const char byte : aBytes) {
    text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  }
  return text;
}

std::optional<std::string>
ParseSessionToken(std::string_view aText)
{
  // A token ends with a checksum of 32 bytes, so base64 of one is never all hexadecimal.
  const bool hex = aText.size() % kDigitsPerByte == 0 &&
                   aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  if (hex) {
    return FromHex(aText);
  }
  try {
    std::istringstream input{ std::string(aText) };
    Poco::Base64Decoder decoder(input);
    return std::string(std::istreambuf_iterator<char>(decoder), {});
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

} // namespace papayaspindle
